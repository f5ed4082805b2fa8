package ryemast.fleet.signals;

import ryemast.limits.SlowStartBudget;

/**
 * What one member tells of one worker, of its own evidence alone: nothing that it was told itself is in it,
 * so that no opinion comes back to whom it came from (hops: zero). Durations, never times: clocks differ.
 *
 * @param code      the worker's name in 32 bits, see {@link #code(String)}
 * @param jobs      slots of the member's jobs that are out there
 * @param work      what is left of them, in slot-seconds
 * @param speed     work a second of one slot, as its own jobs there have shown; 0: not seen
 * @param samples   how many jobs that rests on, old ones less
 * @param sick      how likely the worker fails jobs or lets none through, by own signs, from 0 to 1
 * @param evidence  how many signs that rests on, old ones less
 * @param age       how long ago the last of them came, in microseconds
 */
public record Tale(int code, double jobs, double work, double speed, double samples, double sick,
        double evidence, long age) {

    private static final double MOST_JOBS = 10_000;
    private static final double LONGEST_WORK = 1e6;
    private static final double MOST_SPEED = 1e4;

    /** Two workers may share it: then nothing is told or heard of either. */
    public static int code(String worker) {
        return SlowStartBudget.mixBits(worker.hashCode());
    }

    /** Whether anything could be so; NaN is not. */
    boolean isPossible() {
        return within(jobs, MOST_JOBS) && within(work, LONGEST_WORK) && within(speed, MOST_SPEED)
                && within(samples, MOST_JOBS) && within(sick, 1) && within(evidence, MOST_JOBS) && age >= 0;
    }

    private static boolean within(double value, double most) {
        return value >= 0 && value <= most;
    }
}
