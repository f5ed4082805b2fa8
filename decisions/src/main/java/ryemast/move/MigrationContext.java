package ryemast.move;

/**
 * What a process knows at one moment besides the two sites' records.
 *
 * @param site               this site
 * @param peerSite           the other site, whose record is given
 * @param now                on the process's own monotonic clock, microseconds
 * @param leaseValid         whether its lease is valid and the fencing token its own; each write requires
 *                           that too
 * @param recordsKnownSince  since when it has known its own site's records without a gap: its start, or the
 *                           last time it found its own heartbeat set back, as after a restored backup. The
 *                           heartbeat must be read with the record, or after it
 * @param request            the migration requested by the file; null: none
 * @param mayStart           false during the pause after an aborted migration, or with as many migrations
 *                           running as the site allows
 * @param readingValidity    how long a reading may be acted on, counted from when it was requested: the
 *                           lease less drift
 * @param settleTime         the lease plus drift
 * @param latestClaimed      the latest scheduled time of the service's jobs that was claimed here ...
 * @param claimedAtVersion   ... as read while this site's record was at this version
 * @param unfinished         attempts and executions of the service that have not ended here
 * @param hasCapacity        whether the requested load fits here beside all reservations; once it is
 *                           reserved, whether it still fits
 * @param caughtUp           whether job definitions, bodies and outcomes have arrived up to the load's
 *                           revision
 * @param handoverComplete   whether the outcomes that the source recorded after closing have arrived, and
 *                           this site's own watermarks are past {@link SiteRecord#scheduledAfter}
 */
public record MigrationContext(String site, String peerSite, long now, boolean leaseValid,
        long recordsKnownSince, MigrationRequest request,
        boolean mayStart, long readingValidity, long settleTime, long latestClaimed, long claimedAtVersion,
        long unfinished,
        boolean hasCapacity, boolean caughtUp, boolean handoverComplete) {
}
