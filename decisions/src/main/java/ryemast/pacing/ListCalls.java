package ryemast.pacing;

import java.util.SplittableRandom;

/**
 * When a dispatcher asks discovery for the list, which all dispatchers ask and which works through calls in
 * turn: spread out after a start, as restarts of many would drown it, and with a pause after each failure
 * that doubles and is random, so that those who failed together do not come back together.
 */
public final class ListCalls {

    /**
     * Of the time within which the list must be asked: how far apart the first calls are, dispatcher by
     * dispatcher. 40 calls a second for a list of 66 were answered within 0.3 s; one that fails costs a
     * pause.
     */
    private static final double TURN = 0.0025;
    /** Of the same: the pause after one failure, for each dispatcher. */
    private static final double FIRST_PAUSE = 0.005;
    private static final double LONGEST_PAUSE = 0.25;
    private static final int MOST_DOUBLINGS = 9;

    private final int self;
    private final int dispatchers;
    private final long askEvery;
    private final SplittableRandom random;
    private int failures;

    /** {@code askEvery}: the time within which the list must be asked, in microseconds. */
    public ListCalls(int self, int dispatchers, long askEvery, SplittableRandom random) {
        this.self = self;
        this.dispatchers = dispatchers;
        this.askEvery = askEvery;
        this.random = random;
    }

    /** Discovery has told something. */
    public void heard() {
        failures = 0;
    }

    /** How long to wait before the first call, in microseconds: each dispatcher has a turn of its own. */
    public long first() {
        double turn = dispatchers == 1 ? 0 : Math.min(TURN, 1.0 / dispatchers);
        return 1 + (long) (askEvery * turn * (self + random.nextDouble()));
    }

    /** A call has failed, or what it began has ended: how long to wait before the next, in microseconds. */
    public long failed() {
        failures++;
        double pause = Math.min(LONGEST_PAUSE,
                FIRST_PAUSE * Math.scalb(dispatchers, Math.min(MOST_DOUBLINGS, failures)));
        return 1 + (long) (askEvery * pause * (1 + random.nextDouble()));
    }
}
