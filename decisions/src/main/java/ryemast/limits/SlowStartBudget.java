package ryemast.limits;

import ryemast.fleet.choices.PermitOrder;

/**
 * The budget of one dispatcher for a worker in slow start, chosen so that all dispatchers together do not
 * overload it: the protocol's fourth rule, as a budget of work per window.
 *
 * <p>In a window a worker takes N calls of mean work of its current capacity, plus an allowance for variance
 * of two square roots of N and two calls; three and three if N is below 30. The number of calls counts, so
 * that a small job uses as much of the budget as a mean one; a large job uses its work, in case that counts
 * as well. Where the workers' capacity is known from quotas ({@link QuotaCapacity}), all dispatchers use two
 * thirds of that limit; where it is an estimate, half. If an equal share fits two mean jobs, each dispatcher
 * has its share. Otherwise they are ranked, in an order that changes with each window: the dispatcher at rank
 * n may send one job of at most an n-th of half the total, since a window of the rule can overlap two of
 * these. Jobs of any one size thus add up to the total at most. The ranking depends only on the worker, its
 * start time and the dispatchers' indexes, which all dispatchers know ({@link PermitOrder}). Times are
 * microseconds; the class keeps no state.
 */
public final class SlowStartBudget {

    private static final double SECOND = 1e6;
    /** Mean jobs that an equal share must fit: most jobs are smaller than the mean. */
    private static final int MIN_JOBS_PER_SHARE = 2;
    /**
     * The rule's allowance for variance, as stated by the operators: beyond a budget of N calls a worker
     * takes two square roots of N and two calls more. Without it no job larger than the budget could be sent
     * at all.
     */
    private static final double VARIANCE_ALLOWANCE = 2;
    /** The same for a budget of few calls. */
    private static final double SMALL_VARIANCE_ALLOWANCE = 3;
    private static final double SMALL_BUDGET_CALLS = 30;
    /**
     * The fraction of the rule's limit that is used: a worker whose size is listed half too large still takes
     * it.
     */
    private static final double KNOWN_FRACTION = 0.65;
    private static final double ESTIMATED_FRACTION = 0.5;
    private final int self;
    private final int dispatchers;
    private final long slowStartTime;
    private final double startCapacity;
    private final double overloadMultiple;
    private final long window;
    private final double usedFraction;

    /**
     * @param self the dispatcher's index, from 0
     * @param slowStartTime a worker that started this long ago is warm
     * @param startCapacity the minimum fraction of its capacity that a worker starts with
     * @param overloadMultiple a worker in slow start collapses at this multiple of its current capacity ...
     * @param window ... received within this time
     * @param capacityKnown whether the workers' capacity is known from quotas, not estimated
     */
    public SlowStartBudget(int self, int dispatchers, long slowStartTime, double startCapacity,
            double overloadMultiple,
            long window, boolean capacityKnown) {
        this.self = self;
        this.dispatchers = dispatchers;
        this.slowStartTime = slowStartTime;
        this.startCapacity = startCapacity;
        this.overloadMultiple = overloadMultiple;
        this.window = window;
        usedFraction = capacityKnown ? KNOWN_FRACTION : ESTIMATED_FRACTION;
    }

    /** The minimum fraction of its capacity that a worker has reached; warm-up is at least linear. */
    public double warmUp(long startedAt, long now) {
        if (startedAt <= 0) {
            return 1;
        }
        double age = (double) Math.max(0, now - startedAt) / slowStartTime;
        return Math.min(1, startCapacity + (1 - startCapacity) * age);
    }

    /**
     * Whether a job may be sent to a worker in slow start.
     *
     * @param code a hash of the worker that all dispatchers know
     * @param capacity the work that it clears per second when warm
     * @param meanJob the work of a mean job; if uncertain, an underestimate, as the variance allowance grows
     *     with it
     * @param job this job's work
     * @param sent the work that this dispatcher sent there in the window ending now, counting each job as at
     *     least a mean one
     * @param recordedSince the time since which this dispatcher has a record of its sends
     */
    public boolean allows(int code, long startedAt, double capacity, double meanJob, double job, double sent,
            long recordedSince, long now) {
        double fleetBudget = fleetBudget(startedAt, capacity, meanJob, now);
        double share = fleetBudget / dispatchers;
        if (share >= MIN_JOBS_PER_SHARE * meanJob) {
            return Math.max(job, meanJob) + sent <= share && job <= share / 2;
        }
        long age = now - startedAt;
        int rank = PermitOrder.rotatedPosition(code, age / window, self, dispatchers);
        return sent <= 0 && recordedSince <= now - age % window
                && PermitOrder.fits(Math.max(job, meanJob), fleetBudget / 2, rank);
    }

    /**
     * The factor by which this dispatcher exceeds its share when it may send a job of this work to a worker
     * in slow start, since correspondingly many others may not.
     */
    public double drawWeight(long startedAt, double capacity, double meanJob, double job, long now) {
        return Math.max(1, Math.min(dispatchers,
                2 * dispatchers * Math.max(job, meanJob) / fleetBudget(startedAt, capacity, meanJob, now)));
    }

    /** The work that all dispatchers together may send within a window. */
    private double fleetBudget(long startedAt, double capacity, double meanJob, long now) {
        double jobs = overloadMultiple * capacity * warmUp(startedAt, now) * window / SECOND / meanJob;
        double allowance = jobs < SMALL_BUDGET_CALLS ? SMALL_VARIANCE_ALLOWANCE : VARIANCE_ALLOWANCE;
        return usedFraction * meanJob * (jobs + allowance * Math.sqrt(jobs) + allowance);
    }

    /** Distributes adjacent numbers over all integers, as {@link PermitOrder#mix} does. */
    public static int mixBits(int value) {
        return PermitOrder.mix(value);
    }
}
