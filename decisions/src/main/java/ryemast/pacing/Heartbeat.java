package ryemast.pacing;

/**
 * When to send the next heartbeat to a registry that takes a process for dead after a time to live. One is
 * due each third of that time, so that two may be lost; a failed one is repeated sooner. It is to be called
 * from the event loop whose liveness it reports, so that the heartbeat expires if the loop stalls.
 */
public final class Heartbeat {

    private static final int BEATS_PER_TTL = 3;
    private static final int RETRIES_PER_TTL = 12;

    private final long timeToLive;
    private long dueAt;
    private long succeededAt = Long.MIN_VALUE / 2;
    private int failures;

    /** {@code timeToLive}: the time after the last heartbeat at which it expires, in microseconds. */
    public Heartbeat(long timeToLive) {
        this.timeToLive = timeToLive;
    }

    public long dueAt() {
        return dueAt;
    }

    public void succeeded(long now) {
        succeededAt = now;
        failures = 0;
        dueAt = now + timeToLive / BEATS_PER_TTL;
    }

    /** The backoff doubles with each failure, from a twelfth of the time to live to a third of it. */
    public void failed(long now) {
        dueAt = now + Math.min(timeToLive / BEATS_PER_TTL,
                timeToLive / RETRIES_PER_TTL << Math.min(8, failures));
        failures++;
    }

    /** Whether the time to live has passed, so that the process has to be registered again. */
    public boolean isExpired(long now) {
        return now - succeededAt > timeToLive;
    }
}
