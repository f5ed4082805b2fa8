package ryemast.timetable;

/** A job with a fixed period and no jitter. */
record PeriodicJob(String name, boolean runsOnce, long window, Missed missed, int maxMissedRuns,
        Overlap overlap, long period) implements ScheduledJob {

    static final long SECOND = 1_000_000;

    static PeriodicJob of(String name, boolean once, Missed missed, int most, Overlap overlap) {
        return new PeriodicJob(name, once, 20 * SECOND, missed, most, overlap, 60 * SECOND);
    }

    @Override
    public long next(long after) {
        return (Math.floorDiv(after, period) + 1) * period;
    }

    @Override
    public long dueAt(long scheduledTime) {
        return scheduledTime;
    }
}
