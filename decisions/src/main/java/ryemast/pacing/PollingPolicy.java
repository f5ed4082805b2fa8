package ryemast.pacing;

/**
 * Rate limit, time limits and backoff of polling calls. Times are in microseconds.
 *
 * @param maxWait         the longest time that a server may wait for a change before it answers
 * @param answerSlack     how much longer than that its answer may take
 * @param burst           number of consecutive answers that may be followed by the next call at once
 * @param interval        the least time between calls after that
 * @param initialBackoff  the backoff after a first failure; doubled with each consecutive one
 * @param maxBackoff      the longest backoff
 * @param slowBackoff     the first backoff after a failure that is unlikely to pass soon: a rate limit or a
 *                        rejected token
 * @param failbackAfter   the time at another server after which the first server is tried again
 */
public record PollingPolicy(long maxWait, long answerSlack, int burst, long interval, long initialBackoff,
        long maxBackoff, long slowBackoff, long failbackAfter) {

    private static final long MS = 1_000;

    /**
     * A drain must be known well within half a second, so that even calls without changes are at most a
     * quarter of a second apart; a burst of ten calls lets a series of changes through without delay.
     */
    public static final PollingPolicy DEFAULT = new PollingPolicy(10_000 * MS, 1_000 * MS, 10, 250 * MS,
            100 * MS, 2_000 * MS, 500 * MS, 30_000 * MS);

    public PollingPolicy withMaxWait(long newMaxWait) {
        return new PollingPolicy(newMaxWait, answerSlack, burst, interval, initialBackoff, maxBackoff,
                slowBackoff, failbackAfter);
    }
}
