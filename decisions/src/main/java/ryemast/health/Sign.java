package ryemast.health;

/**
 * The result of an attempt, as evidence about the worker that it was sent to.
 *
 * <p>Each failure has the share of attempts that is expected to end in it at a well worker, before the fleet
 * has been observed. The rates are deliberately higher than in ordinary operation, so that a worker is not
 * blamed for failures that occur everywhere now and then.
 */
public enum Sign {
    SERVED(0, "served"),
    /** The job ran, or may have run, and ended in an error. */
    ERROR(0.03, "ended in errors"),
    /** The connection broke, or the worker reported that it lost the job. */
    RESET(0.03, "were reset or lost"),
    /** An idle kept-alive connection broke when it was next used: one in four such breaks is no fault. */
    KEPT_RESET(0.25, "broke on idle connections"),
    /** No connection could be opened; a running process accepts them, unless it is at its limit. */
    NO_CONNECTION(0.01, "could not connect"),
    /** No result came back, or it came too late. */
    NOTHING(0.03, "got no response"),
    /** The worker is full, which is no evidence about its health. */
    TURNED_AWAY(0, "were rejected"),
    /** The attempt was never sent, or was abandoned for a reason other than the worker. */
    NO_EVIDENCE(0, "give no evidence");

    final double baselineRate;
    final String description;

    Sign(double baselineRate, String description) {
        this.baselineRate = baselineRate;
        this.description = description;
    }

    boolean isFailure() {
        return baselineRate > 0;
    }
}
