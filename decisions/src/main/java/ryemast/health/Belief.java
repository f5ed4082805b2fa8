package ryemast.health;

import java.util.Locale;

/**
 * What is believed of a box, how sure that is, and why.
 *
 * @param sick     how likely it is flaky or down, from 0 to 1
 * @param share    the part of its usual traffic that it gets
 * @param reason   the trouble seen most often since the box was last well; null if there was none
 * @param silence  seconds for which something is overdue now
 */
public record Belief(String box, State state, double sick, Standing standing, double share, Sign reason,
        double silence) {

    /** What it most probably is. */
    public enum State { WELL, FLAKY, DOWN, SILENT }

    /** One line for the operators. */
    public String words() {
        var opinion = switch (state) {
            case WELL -> "is well";
            case FLAKY -> "fails many jobs";
            case DOWN -> "lets nothing through";
            case SILENT -> "has gone silent";
        };
        var why = silence > 0.001 ? String.format(Locale.ROOT, "signs overdue for %.2f s", silence)
                : reason == null ? "nothing was amiss" : "jobs " + reason.words;
        var traffic = switch (standing) {
            case FULL -> "full traffic";
            case REDUCED -> String.format(Locale.ROOT, "%.0f%% of its traffic", 100 * share);
            case TRIAL -> "trials only";
        };
        return String.format(Locale.ROOT, "worker %s %s (%.0f%% sure): %s; %s", box, opinion,
                100 * (state == State.WELL ? 1 - sick : sick), why, traffic);
    }
}
