package ryemast.membership;

/**
 * Whether the list of workers is recent enough to go by, where discovery is not heard.
 *
 * <p>A change counts as notified {@link #NOTIFIED_AFTER} after discovery had it, whether or not it was heard.
 * So the list alone is enough until that long after discovery's last word. From then on a worker counts as
 * what discovery had {@link #NOTIFIED_AFTER} ago, and may be used only where that is known:
 *
 * <ul>
 * <li>It took a job that was sent since then: a draining worker turns jobs away, so it did not drain. A
 * job proves this only if it was sent after discovery was lost: what a broken watch missed counts earlier.
 * <li>It has been one process since discovery was last listened to, or since {@link #LISTED_AFTER} before
 * then: one that has been replaced may count as gone for as long as its return does not count as notified.
 * </ul>
 *
 * <p>A dispatcher that has just started goes by the list that it was started with for {@link #FIRST_LIST},
 * and from then on by processes that it first saw in that time.
 *
 * <p>Where discovery can't be reached at all, nothing counts as notified: the list is as good as it was.
 *
 * <p>Times are microseconds on the dispatcher's clock. Owned by whoever owns the list.
 */
public final class ListAge {

    /** What discovery has counts as notified so long after, heard or not. */
    public static final long NOTIFIED_AFTER = 6_000_000;
    /**
     * Discovery may have the end or the start of a process so much later than it was, and no process is
     * replaced sooner.
     */
    public static final long LISTED_AFTER = 3_000_000;
    /** A watch that is not silent says something so often, even if nothing has changed. */
    private static final long BEAT = 2_500_000;
    /** What another discovery has counts as notified so long after the dispatcher was told to go there. */
    public static final long NOTIFIED_AFTER_MOVE = 4_000_000;
    /**
     * So long a new process goes by the list that it was started with, of unknown age: enough for its turn to
     * ask discovery, and for an answer.
     */
    public static final long FIRST_LIST = 3_000_000;
    /** So many calls in a row for which no connection came up, over so long, are no fault of a moment. */
    private static final int UNREACHABLE_CALLS = 3;
    private static final long UNREACHABLE_FOR = 2_000_000;
    /** A time that never comes. */
    public static final long NEVER = Long.MAX_VALUE;

    private long outdatedAt = NEVER;
    private long lostAt;
    /** Whoever is one process since then is the one that the list means. */
    private long listedBy = Long.MIN_VALUE;
    private int unreachableCalls;
    private long unreachableSince;

    /** The dispatcher starts with a list of unknown age. */
    public void startedWithList(long now) {
        listedBy = now + FIRST_LIST;
    }

    /** Discovery has said what there is, or what has changed. */
    public void heard() {
        listedBy = Long.MIN_VALUE;
        outdatedAt = NEVER;
        unreachableCalls = 0;
    }

    /** A call for the list has failed otherwise than by {@link #unreachable}. */
    public void failed() {
        unreachableCalls = 0;
    }

    /** A call for the list has failed as no connection to discovery came up. */
    public void unreachable(long now) {
        unreachableSince = unreachableCalls == 0 ? now : unreachableSince;
        unreachableCalls++;
        boolean lasts = unreachableCalls >= UNREACHABLE_CALLS && now - unreachableSince >= UNREACHABLE_FOR;
        if (!isHeard() && lasts) {
            outdatedAt = Math.max(outdatedAt, now + NOTIFIED_AFTER);
        }
    }

    /** Discovery is not listened to any more; its last word came at {@code heardAt}. */
    public void lost(long heardAt, long now) {
        if (isHeard() && now - heardAt <= BEAT) {
            // The watch was listened to until it ended, and had nothing to say.
            listedBy = Math.max(listedBy, now);
        }
        outdatedAt = Math.min(outdatedAt, heardAt + NOTIFIED_AFTER);
        lostAt = now;
    }

    /** Whether discovery was heard since it was last lost. */
    public boolean isHeard() {
        return outdatedAt == NEVER;
    }

    /** Whether the list alone is not enough any more. */
    public boolean isOutdated(long now) {
        return now >= outdatedAt;
    }

    /** Whether a worker may be used that last took a job sent at {@code provenAt}. */
    public boolean permits(ProcessLife life, long provenAt, long now) {
        return now < outdatedAt || isOldEnough(life, now) && now < provenUntil(provenAt);
    }

    /** Until when an attempt that is sent now may begin at such a worker. */
    public long usableUntil(ProcessLife life, long provenAt, long now) {
        return isHeard() || !outlastsList(life, now) ? outdatedAt
                : Math.max(outdatedAt, provenUntil(provenAt));
    }

    /** Whether the present process is the one that counts as notified now, and not an earlier one's end. */
    private boolean isOldEnough(ProcessLife life, long now) {
        return isListed(life) || life.since() <= now - NOTIFIED_AFTER - LISTED_AFTER;
    }

    /** Whether the present process is the one that the list means. */
    private boolean isListed(ProcessLife life) {
        return life.since() <= Math.max(listedBy, outdatedAt - NOTIFIED_AFTER);
    }

    /** Whether a worker that is used all the time may still be used once the list is outdated. */
    public boolean outlastsList(ProcessLife life, long now) {
        return isOldEnough(life, Math.max(now, outdatedAt));
    }

    /**
     * Since when a worker may have been replaced unheard: its process is as cold as one that started then. 0
     * where it is the one that the list means.
     */
    public long mayHaveStartedAt(ProcessLife life, long now) {
        return !isOutdated(now) || isListed(life) || life.since() == ProcessLife.NEVER ? 0 : life.since();
    }

    private long provenUntil(long provenAt) {
        return provenAt < lostAt ? Long.MIN_VALUE : provenAt + NOTIFIED_AFTER;
    }
}
