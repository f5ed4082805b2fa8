package ryemast.health;

import java.util.Locale;

/**
 * The estimated health of a worker, with its probability and its cause.
 *
 * @param sickProbability  probability that it is flaky or down, from 0 to 1
 * @param share            the part of its usual traffic that it gets
 * @param reason           the most frequent failure since the worker was last well; null if there was none
 * @param overdueSeconds   seconds for which a sign of life is overdue now
 */
public record Belief(String worker, State state, double sickProbability, TrafficState trafficState,
        double share, Sign reason,
        double overdueSeconds) {

    /** The most probable state. */
    public enum State { WELL, FLAKY, DOWN, SILENT }

    /** One line for the operator log. */
    public String description() {
        var opinion = switch (state) {
            case WELL -> "is healthy";
            case FLAKY -> "fails many jobs";
            case DOWN -> "fails all jobs";
            case SILENT -> "does not respond";
        };
        var why = overdueSeconds > 0.001
                ? String.format(Locale.ROOT, "signs overdue for %.2f s", overdueSeconds)
                : reason == null ? "no failures" : "jobs " + reason.description;
        var traffic = switch (trafficState) {
            case FULL -> "full traffic";
            case REDUCED -> String.format(Locale.ROOT, "%.0f%% of its traffic", 100 * share);
            case EJECTED -> "recovery probes only";
        };
        return String.format(Locale.ROOT, "worker %s %s (probability %.0f%%): %s; %s", worker, opinion,
                100 * (state == State.WELL ? 1 - sickProbability : sickProbability), why, traffic);
    }
}
