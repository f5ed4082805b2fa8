package ryemast.health;

/** An attempt that is outstanding at a worker, and the signs of life that are expected of it. */
public final class AttemptMonitor {

    final WorkerHealth worker;
    final long sentAt;
    /** When it should start if only this dispatcher's jobs are queued ahead of it. */
    final long dueAt;
    /** Its run time in seconds, as estimated when it was sent. */
    final double expectedRun;
    final int jobClass;
    long startedAt;
    long lastProgressAt;
    boolean lost;
    boolean recoveryProbe;

    AttemptMonitor(WorkerHealth worker, long sentAt, long dueAt, double expectedRun, int jobClass) {
        this.worker = worker;
        this.sentAt = sentAt;
        this.dueAt = dueAt;
        this.expectedRun = expectedRun;
        this.jobClass = jobClass;
    }

    public void started(long now) {
        startedAt = now;
        worker.recordStart(this, now);
    }

    public void progressed(long now) {
        lastProgressAt = now;
        worker.recordActivity(now);
    }

    /** The attempt has ended; {@code failedBefore}: the job has failed at another worker as well. */
    public void ended(Sign sign, boolean failedBefore, long now) {
        worker.recordEnd(this, sign, failedBefore, now);
    }

    long runningSince() {
        return startedAt > 0 ? startedAt : sentAt;
    }

    /** Whether it was sent to find out if its ejected worker has recovered. */
    public boolean isRecoveryProbe() {
        return recoveryProbe;
    }

    /** Probability that the attempt never ends: the worker is sick, the job hangs by itself, or both. */
    public double lossProbability(long now) {
        return lost ? 1 : worker.lossProbability(this, now);
    }

    /** Whether a sign is missing that every running job gives: its start, or a progress report. */
    public boolean isRequiredSignMissing(long now) {
        return lost || worker.isRequiredSignMissing(this, now);
    }

    /** Microseconds since the next sign of this attempt was due, 0 or less if none is overdue. */
    public long overdueMicros(long now) {
        return (long) (worker.overdueSeconds(this, now) * 1e6);
    }
}
