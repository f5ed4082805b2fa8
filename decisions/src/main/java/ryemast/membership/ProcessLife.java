package ryemast.membership;

/**
 * For how long a worker is known to have been one and the same process, from spans in which it was seen to
 * live: a connection that was open and is answered, a job that was taken and runs.
 *
 * <p>Only one process listens at a worker's address, so spans that overlap are of one process. Between spans
 * that do not, it may have been replaced: what is known begins anew with the later one.
 *
 * <p>Times are microseconds on the dispatcher's clock. Owned by whoever keeps the evidence about the worker.
 */
public final class ProcessLife {

    /** A time that never comes: nothing is known. */
    public static final long NEVER = Long.MAX_VALUE;

    private long since = NEVER;
    private long until = Long.MIN_VALUE;

    /** One process of the worker lived throughout this span. */
    public void seen(long from, long to) {
        if (from > until) {
            since = from;
            until = to;
        } else if (to >= since) {
            since = Math.min(since, from);
            until = Math.max(until, to);
        }
    }

    /** The present process started then, as the list says: what was seen earlier was another one. */
    public void startedAt(long start) {
        if (start > until) {
            since = NEVER;
            until = Long.MIN_VALUE;
        } else {
            since = Math.max(since, start);
        }
    }

    /** Since when it is known to live; {@link #NEVER} if it has not been seen. */
    public long since() {
        return since;
    }

    /** When it was last seen; the least number if it has not been. */
    public long until() {
        return until;
    }
}
