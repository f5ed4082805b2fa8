package ryemast.pacing;

/**
 * When to say again that we are alive to one who takes silence for death after a stated time. A beat is due
 * at a third of that time, so that two may be lost; one that failed is tried again sooner. What it beats for
 * must be alive itself: whoever calls this does so from the loop that the beat speaks for, and a loop that
 * stands still lets it lapse.
 */
public final class Heartbeat {

    private static final int BEATS = 3;
    private static final int TRIES = 12;

    private final long timeToLive;
    private long dueAt;
    private long heardAt = Long.MIN_VALUE / 2;
    private int failures;

    /** {@code timeToLive}: after so long without a beat we count as dead, in microseconds. */
    public Heartbeat(long timeToLive) {
        this.timeToLive = timeToLive;
    }

    public long dueAt() {
        return dueAt;
    }

    public void taken(long now) {
        heardAt = now;
        failures = 0;
        dueAt = now + timeToLive / BEATS;
    }

    /** The pauses between tries double, from a twelfth of the time to a third of it. */
    public void failed(long now) {
        dueAt = now + Math.min(timeToLive / BEATS, timeToLive / TRIES << Math.min(8, failures));
        failures++;
    }

    /** Whether we count as dead by now: as one who is not known any more must first be made known again. */
    public boolean lapsed(long now) {
        return now - heardAt > timeToLive;
    }
}
