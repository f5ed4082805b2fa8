package ryemast.health;

import java.util.EnumMap;
import java.util.Map;

/** Why jobs were not served, counted by cause; for the log and for a console. */
public final class Refusals {

    /** Each cause, in words that follow a number of jobs. */
    public enum Cause {
        NO_BOX("no worker was listed that may take them"),
        OUTDATED_LIST("the list of workers was out of date, and none that may take them took a job lately"),
        BUSY("every worker that may take them was busy for longer than they could wait"),
        SILENT("workers with room were waited for in vain, or were full"),
        OVER_SHARE("they were beyond their tenant's share, and room was short"),
        OUT_OF_TIME("their time was up"),
        ATTEMPTS("they had been sent as often as is allowed"),
        MAY_HAVE_RUN("they may have run, and must not run twice"),
        UNUSABLE("no worker could use them"),
        NO_BUDGET("repeats were a larger part of the load than is allowed");

        final String words;

        Cause(String words) {
            this.words = words;
        }
    }

    private final Map<Cause, Long> counts = new EnumMap<>(Cause.class);
    private final Map<Cause, Long> told = new EnumMap<>(Cause.class);

    public void count(Cause cause) {
        counts.merge(cause, 1L, Long::sum);
    }

    /** The counts since the start; causes that never came up are left out. */
    public Map<Cause, Long> counts() {
        return Map.copyOf(counts);
    }

    /** One line on what came since the last call, or an empty text if nothing did. */
    public String news() {
        var line = new StringBuilder();
        counts.forEach((cause, count) -> {
            long fresh = count - told.getOrDefault(cause, 0L);
            if (fresh > 0) {
                line.append(line.isEmpty() ? "not served: " : "; ").append(fresh).append(" jobs as ")
                        .append(cause.words);
            }
        });
        told.putAll(counts);
        return line.toString();
    }
}
