package ryemast.timetable;

/**
 * Resource limits of the schedule.
 *
 * @param retention        how long the record of an ended execution is kept for audit, microseconds; it is
 *                         deleted with the job's next commit after that. No safety rests on it: the watermark
 *                         alone prevents a second run
 * @param maxRetained      ended executions kept per job
 * @param maxOpen          open executions per job where overlap is allowed
 * @param maxHeld          executions that one replica holds at once; further ones that are due wait unclaimed
 * @param maxFailures      failures after which a repeatable job is not retried
 * @param orphanRetention  how long the watermark of a job that the schedule lacks is kept, microseconds:
 *                         longer than any step of a clock, so that a job that is added again runs no
 *                         execution a second time
 */
public record Limits(long retention, int maxRetained, int maxOpen, int maxHeld, int maxFailures,
        long orphanRetention) {

    private static final long HOUR = 3_600_000_000L;
    /** An hour of records for audit, and a month for a job that was removed by mistake. */
    public static final Limits DEFAULT = new Limits(HOUR, 16, 16, 256, 3, 30 * 24 * HOUR);
}
