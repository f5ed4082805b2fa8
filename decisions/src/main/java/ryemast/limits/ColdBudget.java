package ryemast.limits;

import ryemast.fleet.choices.PermitOrder;

/**
 * What one dispatcher may send to a box that has started lately, so that all of them together do not push it
 * over: the protocol's fourth rule, as a budget of work for every window of the rule's length.
 *
 * <p>A box bears N calls of mean work of its present capacity in a window, and for chance two roots of N and
 * two calls more; three and three where N is under 30. It is their number that counts, so that a small job
 * uses up as much of the budget as a mean one; a large one uses up its work, in case that counts as well.
 * Where what boxes clear is promised ({@link PromisedCapacity}) all dispatchers keep to two thirds of that,
 * where it is a guess to half. Where an equal part has room for two mean jobs, each has its part. Where it
 * has not, they stand in line, in an order that changes with each window: whoever is at place n may send one
 * job of at most an n-th of half of what all may send, as a window of the rule's may meet two of these. So
 * jobs of any one size come to what all may send at most. The line follows from the box, its start and the
 * dispatchers' numbers alone, which all know ({@link PermitOrder}). Times are microseconds; it keeps no
 * state.
 */
public final class ColdBudget {

    private static final double SECOND = 1e6;
    /** Jobs that an equal part must have room for: most are smaller than the mean. */
    private static final int JOBS_IN_A_PART = 2;
    /**
     * What the rule leaves to chance, as the operators state it: beside a budget of N calls a box bears two
     * roots of N and two calls more. Without it no job larger than the budget could go out at all.
     */
    private static final double CHANCE = 2;
    /** The same where the budget is of few calls. */
    private static final double CHANCE_OF_FEW = 3;
    private static final double FEW = 30;
    /** The part of the rule that all keep to: a box whose size is told half too large bears it still. */
    private static final double OF_PROMISED = 0.65;
    private static final double OF_GUESSED = 0.5;
    private final int self;
    private final int dispatchers;
    private final long coldFor;
    private final double coldCapacity;
    private final double multiple;
    private final long window;
    private final double kept;

    /**
     * @param self          the dispatcher's number, from 0
     * @param coldFor       a box that started this long ago is warm
     * @param coldCapacity  the least part of its capacity a box starts with
     * @param multiple      a cold box falls over at this multiple of its present capacity ...
     * @param window        ... received over this time
     * @param promised      whether what boxes clear is promised, not guessed
     */
    public ColdBudget(int self, int dispatchers, long coldFor, double coldCapacity, double multiple,
            long window, boolean promised) {
        this.self = self;
        this.dispatchers = dispatchers;
        this.coldFor = coldFor;
        this.coldCapacity = coldCapacity;
        this.multiple = multiple;
        this.window = window;
        kept = promised ? OF_PROMISED : OF_GUESSED;
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
     * Whether a job may go to a box that is cold.
     *
     * @param code      a number of the box that all dispatchers know
     * @param capacity  the work that it clears in a second when warm
     * @param meanJob   the work of a mean job; if in doubt too little, as the room for chance grows with it
     * @param job       this job's work
     * @param sent      the work that this dispatcher has sent there within a window that ends now, every job
     *                  counted as a mean one at least
     * @param bornAt    since when this dispatcher knows what it has sent
     */
    public boolean allows(int code, long startedAt, double capacity, double meanJob, double job, double sent,
            long bornAt, long now) {
        double all = all(startedAt, capacity, meanJob, now);
        double part = all / dispatchers;
        if (part >= JOBS_IN_A_PART * meanJob) {
            return Math.max(job, meanJob) + sent <= part && job <= part / 2;
        }
        long age = now - startedAt;
        int place = PermitOrder.rotatedPosition(code, age / window, self, dispatchers);
        return sent <= 0 && bornAt <= now - age % window
                && PermitOrder.fits(Math.max(job, meanJob), all / 2, place);
    }

    /**
     * How many times its part this dispatcher has to send where it may send a job of this work to a cold box,
     * as so many others may not.
     */
    public double weight(long startedAt, double capacity, double meanJob, double job, long now) {
        return Math.max(1, Math.min(dispatchers,
                2 * dispatchers * Math.max(job, meanJob) / all(startedAt, capacity, meanJob, now)));
    }

    /** What all dispatchers together may send within a window. */
    private double all(long startedAt, double capacity, double meanJob, long now) {
        double jobs = multiple * capacity * warmth(startedAt, now) * window / SECOND / meanJob;
        double chance = jobs < FEW ? CHANCE_OF_FEW : CHANCE;
        return kept * meanJob * (jobs + chance * Math.sqrt(jobs) + chance);
    }

    /** Spreads neighbouring numbers over all integers, as {@link PermitOrder#mix} does. */
    public static int mixed(int value) {
        return PermitOrder.mix(value);
    }
}
