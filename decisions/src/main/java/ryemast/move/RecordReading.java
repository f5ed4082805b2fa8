package ryemast.move;

/**
 * A record as one process has read it. Immutable.
 *
 * @param record       {@link SiteRecord#NONE} or {@link SiteRecord#INITIAL} if there is no record
 * @param requestedAt  when the last valid reading was requested, on this process's own monotonic clock,
 *                     microseconds
 * @param firstSeenAt  when the first response with this version arrived; the process has read no other
 *                     version since
 */
public record RecordReading(SiteRecord record, long version, long requestedAt, long firstSeenAt) {

    /** Nothing has been read yet. */
    public static final RecordReading UNREAD = new RecordReading(SiteRecord.NONE, -1, Long.MIN_VALUE,
            Long.MIN_VALUE);

    /** The reading after a response. One that may be stale is ignored. */
    public RecordReading updated(SiteRecord newRecord, long newVersion, long requested, long answered,
            boolean current) {
        return !current ? this
                : new RecordReading(newRecord, newVersion, requested,
                newVersion == version ? firstSeenAt : answered);
    }

    public boolean isKnown() {
        return version >= 0;
    }

    /** Whether it was requested when the other record was already known in its present version. */
    boolean isReadAfter(RecordReading other) {
        return isKnown() && requestedAt >= other.firstSeenAt;
    }
}
