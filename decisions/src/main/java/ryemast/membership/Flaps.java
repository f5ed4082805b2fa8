package ryemast.membership;

/**
 * How often one worker has fallen lately: a penalty that halves in a stated time, as route flap damping has
 * it (RFC 2439). From a number of falls on the worker is held, until the penalty has gone down to half of
 * that number; however long it flaps, that takes no longer than twice the half-life once it is steady.
 */
final class Flaps {

    private final Bounds bounds;
    private double penalty;
    private long at;
    private boolean held;

    Flaps(Bounds bounds) {
        this.bounds = bounds;
    }

    void fell(long now) {
        penalty = Math.min(2 * bounds.mostFalls(), now(now) + 1);
        at = now;
        held |= penalty > bounds.mostFalls();
    }

    boolean held(long now) {
        held &= now < steadyAt();
        return held;
    }

    /** When the worker is let go if it falls no more. */
    long steadyAt() {
        double halvings = Math.log(penalty / (bounds.mostFalls() / 2)) / Math.log(2);
        return held ? at + (long) Math.ceil(Math.max(0, halvings) * bounds.halfLife()) : Long.MIN_VALUE;
    }

    /** Whether nothing is remembered any more that could matter. */
    boolean forgotten(long now) {
        return now(now) < 0.01;
    }

    double now(long now) {
        return penalty * Math.pow(0.5, (double) Math.max(0, now - at) / bounds.halfLife());
    }
}
