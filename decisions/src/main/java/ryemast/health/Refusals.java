package ryemast.health;

import java.util.EnumMap;
import java.util.Map;

/** Counts of jobs that were not served, by cause; for the log and for a console. */
public final class Refusals {

    /** Why jobs were not served, with its text in the log line, such as "3 jobs because ...". */
    public enum Cause {
        NO_BOX("no listed worker may take them"),
        OUTDATED_LIST("the list of workers was out of date, and no eligible worker took a job recently"),
        BUSY("every eligible worker was busy for longer than they could wait"),
        SILENT("workers with free capacity did not respond, or were full"),
        OVER_SHARE("they exceeded their tenant's share while capacity was short"),
        OUT_OF_TIME("their deadline was exceeded"),
        ATTEMPTS("they had reached the maximum number of attempts"),
        MAY_HAVE_RUN("they may have run already and must not run twice"),
        UNUSABLE("workers could not process them"),
        NO_BUDGET("the retry budget was exhausted");

        final String description;

        Cause(String description) {
            this.description = description;
        }
    }

    private final Map<Cause, Long> counts = new EnumMap<>(Cause.class);
    private final Map<Cause, Long> reported = new EnumMap<>(Cause.class);

    public void count(Cause cause) {
        counts.merge(cause, 1L, Long::sum);
    }

    /** The counts since the start; causes that never occurred are left out. */
    public Map<Cause, Long> counts() {
        return Map.copyOf(counts);
    }

    /** One log line on the jobs counted since the last call; empty if there were none. */
    public String summarizeNew() {
        var line = new StringBuilder();
        counts.forEach((cause, count) -> {
            long added = count - reported.getOrDefault(cause, 0L);
            if (added > 0) {
                line.append(line.isEmpty() ? "not served: " : "; ").append(added).append(" jobs because ")
                        .append(cause.description);
            }
        });
        reported.putAll(counts);
        return line.toString();
    }
}
