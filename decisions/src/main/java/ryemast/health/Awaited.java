package ryemast.health;

/** A job that is out at a box, and the signs of it that are awaited. */
public final class Awaited {

    final Box box;
    final long sentAt;
    /** When it should start by own work alone. */
    final long dueAt;
    /** Its run time in seconds, as expected when it was sent. */
    final double run;
    final int jobClass;
    long startedAt;
    long progressAt;
    boolean lost;
    boolean trial;

    Awaited(Box box, long sentAt, long dueAt, double run, int jobClass) {
        this.box = box;
        this.sentAt = sentAt;
        this.dueAt = dueAt;
        this.run = run;
        this.jobClass = jobClass;
    }

    public void started(long now) {
        startedAt = now;
        box.started(this, now);
    }

    public void progressed(long now) {
        progressAt = now;
        box.heard(now);
    }

    /** It is over; {@code failedBefore} if it had failed at another box as well. */
    public void ended(Sign sign, boolean failedBefore, long now) {
        box.ended(this, sign, failedBefore, now);
    }

    long begunAt() {
        return startedAt > 0 ? startedAt : sentAt;
    }

    /** Whether it was sent to see if its box is well again. */
    public boolean isTrial() {
        return trial;
    }

    /** How likely it is that nothing will come of this job: its box is sick, or it hangs alone, or both. */
    public double gone(long now) {
        return lost ? 1 : box.gone(this, now);
    }

    /** Whether a sign has stayed out that every running job gives: its start, or a note of its progress. */
    public boolean isUnheard(long now) {
        return lost || box.isUnheard(this, now);
    }

    /** Microseconds since something of this job should have come, 0 or less if nothing is missing. */
    public long missing(long now) {
        return (long) (box.late(this, now) * 1e6);
    }
}
