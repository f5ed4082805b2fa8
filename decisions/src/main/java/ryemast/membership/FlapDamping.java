package ryemast.membership;

/**
 * Flap damping for one worker: each loss adds to a penalty that decays with a fixed half-life, as in route
 * flap damping (RFC 2439). A worker whose penalty exceeds the threshold is suppressed until the penalty has
 * decayed to half the threshold. The penalty is capped, so a worker is released at most two half-lives after
 * its last loss.
 */
final class FlapDamping {

    private final MembershipLimits bounds;
    private double penalty;
    private long updatedAt;
    private boolean suppressed;

    FlapDamping(MembershipLimits bounds) {
        this.bounds = bounds;
    }

    void recordLoss(long now) {
        penalty = Math.min(2 * bounds.suppressThreshold(), penaltyAt(now) + 1);
        updatedAt = now;
        suppressed |= penalty > bounds.suppressThreshold();
    }

    boolean suppressed(long now) {
        suppressed &= now < releaseAt();
        return suppressed;
    }

    /** When the worker is released if it does not fall again. */
    long releaseAt() {
        double halvings = Math.log(penalty / (bounds.suppressThreshold() / 2)) / Math.log(2);
        return suppressed ? updatedAt + (long) Math.ceil(Math.max(0, halvings) * bounds.flapHalfLife())
                : Long.MIN_VALUE;
    }

    /** Whether the penalty has decayed so far that it can be discarded. */
    boolean isNegligible(long now) {
        return penaltyAt(now) < 0.01;
    }

    double penaltyAt(long now) {
        return penalty * Math.pow(0.5, (double) Math.max(0, now - updatedAt) / bounds.flapHalfLife());
    }
}
