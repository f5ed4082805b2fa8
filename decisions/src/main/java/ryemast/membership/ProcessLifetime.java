package ryemast.membership;

/**
 * How long a worker is known to have been the same process, from time spans in which it was observed alive:
 * an open connection with a response, an accepted job that is running.
 *
 * <p>Only one process listens at a worker's address, so overlapping spans belong to one process. Between
 * spans that do not overlap the process may have been replaced, and only the later span counts.
 *
 * <p>Times are microseconds on the dispatcher's clock. Not thread-safe: owned by the holder of the evidence
 * about the worker.
 */
public final class ProcessLifetime {

    /** A time in the infinite future: nothing is known. */
    public static final long NEVER = Long.MAX_VALUE;

    private long aliveSince = NEVER;
    private long aliveUntil = Long.MIN_VALUE;

    /** One process of the worker was alive throughout this span. */
    public void recordAlive(long from, long to) {
        if (from > aliveUntil) {
            aliveSince = from;
            aliveUntil = to;
        } else if (to >= aliveSince) {
            aliveSince = Math.min(aliveSince, from);
            aliveUntil = Math.max(aliveUntil, to);
        }
    }

    /** The list reports that the current process started then: earlier spans belong to another process. */
    public void recordStart(long startTime) {
        if (startTime > aliveUntil) {
            aliveSince = NEVER;
            aliveUntil = Long.MIN_VALUE;
        } else {
            aliveSince = Math.max(aliveSince, startTime);
        }
    }

    /** Since when the process is known to be alive; {@link #NEVER} if it has not been seen. */
    public long aliveSince() {
        return aliveSince;
    }

    /** When it was last seen; {@link Long#MIN_VALUE} if it has not been. */
    public long aliveUntil() {
        return aliveUntil;
    }
}
