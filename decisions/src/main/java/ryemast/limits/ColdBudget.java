package ryemast.limits;

/**
 * What one dispatcher may send to a box that has started lately, so that all of them together do not push it
 * over: the protocol's fourth rule, as a budget of work for every window of the rule's length.
 *
 * <p>All dispatchers together keep to half of the rule's budget, as before restarts of their own they may
 * have sent as much already. Where a part of it is less than a job they take turns a window long, with half
 * as many jobs as would fit, as a window may meet two turns. Whose turn it is follows from the box, its start
 * and the dispatchers' numbers alone, which all know. Times are microseconds; it keeps no state.
 */
public final class ColdBudget {

    private static final double SECOND = 1e6;
    /** A turn at a cold box has room for this many mean jobs, as most jobs are smaller. */
    private static final double JOBS_IN_A_TURN = 2;

    private final int self;
    private final int dispatchers;
    private final long coldFor;
    private final double coldCapacity;
    private final double multiple;
    private final long window;

    /**
     * @param self          the dispatcher's number, from 0
     * @param coldFor       a box that started this long ago is warm
     * @param coldCapacity  the least part of its capacity a box starts with
     * @param multiple      a cold box falls over at this multiple of its present capacity ...
     * @param window        ... received over this time
     */
    public ColdBudget(int self, int dispatchers, long coldFor, double coldCapacity, double multiple,
            long window) {
        this.self = self;
        this.dispatchers = dispatchers;
        this.coldFor = coldFor;
        this.coldCapacity = coldCapacity;
        this.multiple = multiple;
        this.window = window;
    }

    /** The least part of its capacity that a box has by now; warming is never slower than even. */
    public double warmth(long startedAt, long now) {
        if (startedAt <= 0) {
            return 1;
        }
        double age = (double) Math.max(0, now - startedAt) / coldFor;
        return Math.min(1, coldCapacity + (1 - coldCapacity) * age);
    }

    /**
     * The work that this dispatcher may have sent to the box within a window that ends now.
     *
     * @param code      a number of the box that all dispatchers know
     * @param capacity  the work that it clears in a second when warm
     * @param meanJob   the work of a mean job
     * @param bornAt    since when this dispatcher knows what it has sent
     */
    public double of(int code, long startedAt, double capacity, double meanJob, long bornAt, long now) {
        double all = multiple / 2 * capacity * warmth(startedAt, now) * window / SECOND;
        double turns = Math.min(all / 2 / (JOBS_IN_A_TURN * meanJob), dispatchers);
        if (turns >= dispatchers) {
            return all / dispatchers;
        }
        long age = now - startedAt;
        int place = Math.floorMod(self + mixed(code + (int) (age / window)), dispatchers);
        boolean own = place < (int) turns && bornAt <= now - age % window;
        return own ? all / 2 / (int) turns : 0;
    }

    /** Spreads neighbouring numbers over all integers (the finalizer of MurmurHash3). */
    public static int mixed(int value) {
        int mixed = (value ^ value >>> 16) * 0x85ebca6b;
        mixed = (mixed ^ mixed >>> 13) * 0xc2b2ae35;
        return mixed ^ mixed >>> 16;
    }
}
