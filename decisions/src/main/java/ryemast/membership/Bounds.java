package ryemast.membership;

/**
 * How far a source that can be wrong is believed. Times are in microseconds. The platform's own discovery is
 * an authority: none of this holds for it.
 *
 * @param lossShare    of the workers that served, no more than this share (but one at least) may be lost
 *                     without an order within {@code lossWindow}; where more are, all of them are kept and
 *                     marked suspect
 * @param lossWindow   losses so long ago count no more
 * @param suspectFor   a loss that was withheld is believed after this time, if the source still says so and
 *                     no call has shown the worker alive
 * @param aliveFor     a sign of life by a call counts for so long
 * @param probation    after its versions went back a source may only take work away, for so long
 * @param oldest       what a source was certain of so long ago may only take work away as well
 * @param halfLife     in which a worker's flapping is half forgotten
 * @param mostFalls    a worker that has fallen more often than this, the older falls counting less, is held
 * @param heldShare    the part of its ordinary traffic that a worker is given while it is held
 * @param warnedShare  and while its source warns of it
 * @param forgetAfter  the books of a worker that is gone are kept for so long
 */
public record Bounds(double lossShare, long lossWindow, long suspectFor, long aliveFor, long probation,
        long oldest,
        long halfLife, double mostFalls, double heldShare, double warnedShare, long forgetAfter) {

    private static final long SECOND = 1_000_000;

    /**
     * A third at once is a failed rack, more is a failed catalogue; a half-life of ten seconds is ten of
     * Consul's usual check intervals of a second, and two falls within it may be one restart.
     */
    public static final Bounds DEFAULT =
            new Bounds(1.0 / 3, 10 * SECOND, 60 * SECOND, 10 * SECOND, 10 * SECOND,
            10 * SECOND, 10 * SECOND, 2, 0.1, 0.5, 600 * SECOND);
}
