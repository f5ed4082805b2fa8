package ryemast.fleet.signals;

import ryemast.limits.SlowStartBudget;

/**
 * One member's report on one worker, from its own observations alone: received reports are never forwarded
 * (zero hops), so no estimate returns to its origin. It holds durations instead of times, as clocks differ.
 *
 * @param nameHash   the worker's name in 32 bits, see {@link #nameHash(String)}
 * @param jobs       slots of the worker that the member's jobs take
 * @param work       remaining work of these jobs, in slot-seconds
 * @param speed      work a second of one slot, as measured by the member's own jobs; 0: not measured
 * @param samples    how many jobs the speed rests on, weighted by age
 * @param suspicion  probability, from 0 to 1, that the worker fails or blocks jobs, by own observations
 * @param evidence   how many observations the suspicion rests on, weighted by age
 * @param age        time since the last of these observations, in microseconds
 */
public record WorkerReport(int nameHash, double jobs, double work, double speed, double samples,
        double suspicion,
        double evidence, long age) {

    private static final double MAX_JOBS = 10_000;
    private static final double MAX_WORK = 1e6;
    private static final double MAX_SPEED = 1e4;

    /** Two workers may share a hash: then neither is reported, and reports on them are ignored. */
    public static int nameHash(String worker) {
        return SlowStartBudget.mixBits(worker.hashCode());
    }

    /** Whether all values are within their limits; NaN is not. */
    boolean isPlausible() {
        return within(jobs, MAX_JOBS) && within(work, MAX_WORK) && within(speed, MAX_SPEED)
                && within(samples, MAX_JOBS) && within(suspicion, 1) && within(evidence, MAX_JOBS)
                && age >= 0;
    }

    private static boolean within(double value, double max) {
        return value >= 0 && value <= max;
    }
}
