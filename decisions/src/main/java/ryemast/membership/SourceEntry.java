package ryemast.membership;

/** One source's state of one worker: the latest report and the report that is in effect. */
final class SourceEntry {

    final String id;
    /** The latest report; kept with status gone after the source stopped listing the worker. */
    ListedWorker reported;
    /** The report in effect. */
    ListedWorker accepted;
    /** Since when a loss has been withheld; 0: none is. */
    long withheldSince;
    /**
     * When a loss without an administrative change was accepted; 0 again once it serves or the window passed.
     */
    long lostAt;
    /** Null until the first loss. */
    FlapDamping flapDamping;
    /** When a process whose start time the source does not report was first seen, or 0. */
    long firstSeenAt;

    SourceEntry(String id) {
        this.id = id;
    }

    boolean isServing() {
        return accepted != null && accepted.status().isServing();
    }

    boolean isSuppressed(long now) {
        return flapDamping != null && flapDamping.suppressed(now);
    }
}
