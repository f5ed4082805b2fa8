package ryemast.membership;

/**
 * Decides whether the list of workers is recent enough to use while discovery is not reachable.
 *
 * <p>A change counts as notified {@link #NOTIFIED_AFTER} after discovery had it, whether or not the update
 * was received. So the list alone is sufficient until that long after discovery's last update. From then on a
 * worker counts as being in the state that discovery had {@link #NOTIFIED_AFTER} ago, and may be used only
 * where that state is known:
 *
 * <ul>
 * <li>The worker accepted a job that was sent since then. A draining worker refuses jobs, so it was not
 * draining. A job proves this only if it was sent after discovery was lost, as changes that a broken watch
 * missed count from an earlier time.
 * <li>The worker has been the same process since the last update from discovery, or since
 * {@link #REGISTRATION_DELAY} before it. A process that has been replaced may count as gone until its return
 * counts as notified.
 * </ul>
 *
 * <p>A dispatcher that has just started uses its initial list for {@link #INITIAL_LIST_TTL}, and after that
 * the processes that it first saw within that time.
 *
 * <p>While discovery cannot be reached at all, nothing counts as notified, and the list stays as valid as it
 * was.
 *
 * <p>Times are microseconds on the dispatcher's clock. Not thread-safe: owned by the owner of the list.
 */
public final class ListFreshness {

    /** A change in discovery counts as notified after this time, whether or not the update was received. */
    public static final long NOTIFIED_AFTER = 6_000_000;
    /**
     * Discovery may learn of the end or the start of a process this much later, and no process is replaced
     * within a shorter time.
     */
    public static final long REGISTRATION_DELAY = 3_000_000;
    /** A working watch sends something at least this often, even without changes. */
    private static final long KEEPALIVE_INTERVAL = 2_500_000;
    /** A change in another discovery counts as notified this long after the dispatcher was directed to it. */
    public static final long NOTIFIED_AFTER_REDIRECT = 4_000_000;
    /**
     * A new process uses its initial list, whose age is unknown, for this time: enough to wait for its slot
     * to query discovery and for the response.
     */
    public static final long INITIAL_LIST_TTL = 3_000_000;
    /** This many connection failures in a row over this time are not a transient fault. */
    private static final int UNREACHABLE_CALLS = 3;
    private static final long UNREACHABLE_MIN_TIME = 2_000_000;
    /** A time in the infinite future. */
    public static final long NEVER = Long.MAX_VALUE;

    private long staleAt = NEVER;
    private long lostAt;
    /** A worker that has been one process since this time is the one in the list. */
    private long listedBy = Long.MIN_VALUE;
    private int unreachableCalls;
    private long unreachableSince;

    /** The dispatcher starts with a list of unknown age. */
    public void startedWithList(long now) {
        listedBy = now + INITIAL_LIST_TTL;
    }

    /** Discovery has sent its list or an update. */
    public void updateReceived() {
        listedBy = Long.MIN_VALUE;
        staleAt = NEVER;
        unreachableCalls = 0;
    }

    /** A call for the list has failed for a reason other than {@link #connectFailed}. */
    public void callFailed() {
        unreachableCalls = 0;
    }

    /** A call for the list has failed because no connection to discovery could be established. */
    public void connectFailed(long now) {
        unreachableSince = unreachableCalls == 0 ? now : unreachableSince;
        unreachableCalls++;
        boolean lasts = unreachableCalls >= UNREACHABLE_CALLS
                && now - unreachableSince >= UNREACHABLE_MIN_TIME;
        if (!isReceiving() && lasts) {
            staleAt = Math.max(staleAt, now + NOTIFIED_AFTER);
        }
    }

    /** Updates from discovery have stopped; the last one arrived at {@code lastUpdateAt}. */
    public void discoveryLost(long lastUpdateAt, long now) {
        if (isReceiving() && now - lastUpdateAt <= KEEPALIVE_INTERVAL) {
            // The watch was read until it ended, and had no update.
            listedBy = Math.max(listedBy, now);
        }
        staleAt = Math.min(staleAt, lastUpdateAt + NOTIFIED_AFTER);
        lostAt = now;
    }

    /** Whether an update has been received since discovery was last lost. */
    public boolean isReceiving() {
        return staleAt == NEVER;
    }

    /** Whether the list alone is no longer sufficient. */
    public boolean isStale(long now) {
        return now >= staleAt;
    }

    /** Whether a worker may be used that last accepted a job sent at {@code provenAt}. */
    public boolean mayUse(ProcessLifetime life, long provenAt, long now) {
        return now < staleAt || isOldEnough(life, now) && now < provenUntil(provenAt);
    }

    /** Until when an attempt that is sent now may start at this worker. */
    public long usableUntil(ProcessLifetime life, long provenAt, long now) {
        return isReceiving() || !outlastsList(life, now) ? staleAt
                : Math.max(staleAt, provenUntil(provenAt));
    }

    /** Whether the current process is the one that counts as notified now, not the end of an earlier one. */
    private boolean isOldEnough(ProcessLifetime life, long now) {
        return isListed(life) || life.aliveSince() <= now - NOTIFIED_AFTER - REGISTRATION_DELAY;
    }

    /** Whether the current process is the one in the list. */
    private boolean isListed(ProcessLifetime life) {
        return life.aliveSince() <= Math.max(listedBy, staleAt - NOTIFIED_AFTER);
    }

    /** Whether a worker in constant use may still be used once the list is stale. */
    public boolean outlastsList(ProcessLifetime life, long now) {
        return isOldEnough(life, Math.max(now, staleAt));
    }

    /**
     * The earliest time at which the worker may have been replaced without an update: its process needs as
     * much warm-up as one started then. 0 where it is the process in the list.
     */
    public long mayHaveStartedAt(ProcessLifetime life, long now) {
        return !isStale(now) || isListed(life) || life.aliveSince() == ProcessLifetime.NEVER ? 0
                : life.aliveSince();
    }

    private long provenUntil(long provenAt) {
        return provenAt < lostAt ? Long.MIN_VALUE : provenAt + NOTIFIED_AFTER;
    }
}
