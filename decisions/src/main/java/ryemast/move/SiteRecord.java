package ryemast.move;

/**
 * A site's record of a service: the only thing that the site writes about where the service is, by
 * compare-and-set, and that other sites read. Immutable. It is never deleted.
 *
 * @param epoch            of the last migration known here; increases with each migration of a service
 * @param peerSite         the other site of that migration; empty: there was none
 * @param scheduledAfter   executions scheduled up to this time belonged to the former site; Unix,
 *                         microseconds
 * @param scheduledUpTo    executions scheduled later do not belong to this site; {@link #UNBOUNDED}: no
 *                         bound
 * @param watermarksExact  whether the jobs' watermarks at the source are those at closing; false if its
 *                         record was repaired after a restored backup, which set its watermarks back too
 * @param settleTime       how long a member of the source may act on an older reading of the record,
 *                         including clock drift, microseconds
 */
public record SiteRecord(long epoch, Phase phase, String peerSite, Load load, long scheduledAfter,
        long scheduledUpTo, boolean watermarksExact,
        long settleTime) {

    public static final long UNBOUNDED = Long.MAX_VALUE;
    /** No execution belonged to a former site. */
    public static final long FROM_START = Long.MIN_VALUE;
    /** No record, at a site whose file doesn't list the service. */
    public static final SiteRecord NONE = absent(Phase.NONE);
    /** No record, at the site whose file lists the service. */
    public static final SiteRecord INITIAL = absent(Phase.LOCAL);

    private static SiteRecord absent(Phase phase) {
        return new SiteRecord(0, phase, "", Load.NOTHING, FROM_START, UNBOUNDED, true, 0);
    }

    SiteRecord withPhase(Phase phase) {
        return new SiteRecord(epoch, phase, peerSite, load, scheduledAfter, scheduledUpTo, watermarksExact,
                settleTime);
    }

    /** The migration is complete, and the former site's watermarks are no longer needed. */
    SiteRecord completed() {
        return new SiteRecord(epoch, Phase.LOCAL, peerSite, load, scheduledAfter, scheduledUpTo, true,
                settleTime);
    }

    /** Served from now on; the source's record bounds the executions that were its own. */
    SiteRecord opened(SiteRecord source) {
        return new SiteRecord(epoch, Phase.OPEN, peerSite, load, source.scheduledUpTo, UNBOUNDED,
                source.watermarksExact, settleTime);
    }

    /** Only executions scheduled up to that time belong to this site. */
    SiteRecord bounded(Phase phase, long scheduledTime) {
        return new SiteRecord(epoch, phase, peerSite, load, scheduledAfter, scheduledTime, watermarksExact,
                settleTime);
    }

    /**
     * Whether this record, of the other site, proves that the service has left the site whose record is
     * given, by what that site itself has written. If its record does not show that, it was restored from a
     * backup.
     */
    boolean provesDeparted(SiteRecord own, String ownSite) {
        if (phase.beforeClose() || epoch < own.epoch) {
            return false;
        }
        if (epoch == own.epoch) {
            return phase.acquired() && (own.phase.requesting() || own.phase == Phase.ABORTED);
        }
        return own.phase.active() || phase.acquired() && peerSite.equals(ownSite);
    }

    /**
     * Whether this record proves that the other site had the service and requested a migration, which its
     * own record, restored from a backup, no longer shows.
     */
    boolean provesRequested(SiteRecord own, String ownSite) {
        return phase.beforeClose() && phase != Phase.NONE && epoch > own.epoch && peerSite.equals(ownSite);
    }

    /** The site whose record a decision needs; empty: any site. */
    String relevantSite(MigrationRequest request) {
        return switch (phase) {
            case NONE, RELEASED, DEPARTED -> "";
            case LOCAL, ABORTED -> request == null ? "" : request.site();
            default -> peerSite;
        };
    }

    /** Whether, by the source's record, the migration in this target's record can no longer be closed. */
    boolean isAbortedBy(SiteRecord source, String site) {
        return source.epoch > epoch
                || source.epoch == epoch && (source.phase == Phase.ABORTED || !source.peerSite.equals(site));
    }
}
