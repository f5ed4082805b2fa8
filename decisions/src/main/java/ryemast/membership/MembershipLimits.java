package ryemast.membership;

/**
 * Limits on how far a non-authoritative source is trusted. Times are in microseconds. None of these limits
 * applies to an authority such as the platform's own discovery.
 *
 * @param maxLossRatio maximum ratio of the serving workers, but at least one worker, that may be lost without
 *     an administrative change within {@code lossWindow}; beyond it all lost workers are retained and the
 *     source is marked suspect
 * @param lossWindow losses older than this are not counted
 * @param suspicionTimeout a withheld loss is accepted after this time if the source still reports it and no
 *     request has shown the worker alive
 * @param livenessTimeout how long a request that showed the worker alive counts
 * @param probation how long a source whose version decreased may only remove or restrict workers
 * @param maxAge a report older than this may only remove or restrict workers as well
 * @param flapHalfLife half-life of a worker's flap penalty
 * @param suppressThreshold a worker whose flap penalty exceeds this is suppressed
 * @param suppressedShare fraction of its normal traffic that a suppressed worker gets
 * @param warningShare fraction of its normal traffic that a worker in warning status gets
 * @param retention how long the state of a removed worker is kept
 */
public record MembershipLimits(double maxLossRatio, long lossWindow, long suspicionTimeout,
        long livenessTimeout, long probation,
        long maxAge,
        long flapHalfLife, double suppressThreshold, double suppressedShare, double warningShare,
        long retention) {

    private static final long SECOND = 1_000_000;

    /**
     * Losing a third at once indicates a failed rack, losing more a failed catalog. A half-life of ten
     * seconds is ten of Consul's usual one-second check intervals; two falls within it may be a single
     * restart.
     */
    public static final MembershipLimits DEFAULT =
            new MembershipLimits(1.0 / 3, 10 * SECOND, 60 * SECOND, 10 * SECOND, 10 * SECOND,
            10 * SECOND, 10 * SECOND, 2, 0.1, 0.5, 600 * SECOND);
}
