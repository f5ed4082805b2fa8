package ryemast.net.worker;

/**
 * For how long a connection may rest and still be used again: well before the worker's own limit, as a call
 * that crosses its close would end as a reset, and less where one was found dead sooner. Times are
 * microseconds; owned by whoever owns the connections.
 */
public final class RestLimit {

    private final WorkerTuning tuning;
    private final long most;
    /** The rest that connections are known to outlast: a part of the one after which one was found broken. */
    private long limit;
    private long since;

    /** {@code connIdle}: after how long a worker closes an idle connection. */
    public RestLimit(long connIdle, WorkerTuning tuning) {
        this.tuning = tuning;
        most = connIdle * 3 / 4;
        limit = most;
    }

    public long limit() {
        return limit;
    }

    /**
     * Guards jobs against connections that are dead without a word, as a worker or a box on the way may drop
     * them long before the settings say: a job written to one ends as a reset, and may not be repeated.
     *
     * @return the limit from now on
     */
    public long brokeAfter(long rest, long now) {
        limit = Math.max(tuning.leastRest(), Math.min(limit, rest / 2));
        since = now;
        return limit;
    }

    /** After a while without a break they may rest for longer again. */
    public void forgive(long now) {
        if (limit < most && now - since > tuning.forgiving()) {
            limit = Math.min(most, 2 * limit);
            since = now;
        }
    }
}
