package ryemast.move;

import ryemast.move.Decision.Reservation;
import ryemast.move.Decision.Wait;

/**
 * The side that gets the service. Guarantees that once its record says so, capacity stays reserved until
 * the source's record releases it or the target opens; and that it opens only when no process at the source
 * acts on an older record any more.
 */
final class Target {

    private Target() {
    }

    static Decision next(MigrationContext context, RecordReading own, RecordReading other) {
        return switch (own.record().phase()) {
            case RESERVED, READY, RELEASING -> reserving(context, own, other);
            case ACQUIRED -> acquiring(own, other);
            default -> idle(context, own, other.record());
        };
    }

    private static Decision idle(MigrationContext context, RecordReading own, SiteRecord peer) {
        boolean forThisSite = peer.peerSite().equals(context.site())
                && (peer.phase().requesting() || peer.phase().closed());
        boolean newer = peer.epoch() > own.record().epoch()
                || peer.epoch() == own.record().epoch() && peer.phase().closed()
                && own.record().phase() == Phase.RELEASED;
        if (!forThisSite || !newer) {
            return new Wait("no service is migrating here");
        }
        if (context.hasCapacity()) {
            return MigrationCoordinator.write(own, newRecord(context, own, peer, Phase.RESERVED),
                    Reservation.RESERVE, "capacity is requested");
        }
        return peer.phase().closed()
                ? new Wait("the source has closed; the reservation was lost with the records")
                : MigrationCoordinator.write(own, newRecord(context, own, peer, Phase.RELEASED),
                Reservation.UNCHANGED, "there is no capacity for it");
    }

    private static SiteRecord newRecord(MigrationContext context, RecordReading own, SiteRecord peer,
            Phase phase) {
        return new SiteRecord(peer.epoch(), phase, context.peerSite(), peer.load(), SiteRecord.FROM_START,
                own.record().scheduledUpTo(), true, peer.settleTime());
    }

    private static Decision reserving(MigrationContext context, RecordReading own, RecordReading other) {
        var record = own.record();
        var peer = other.record();
        if (peer.epoch() == record.epoch() && peer.phase().closed()) {
            var acquired = new SiteRecord(record.epoch(), Phase.ACQUIRED, record.peerSite(), record.load(),
                    peer.scheduledUpTo(), SiteRecord.UNBOUNDED,
                    peer.watermarksExact(), record.settleTime());
            return MigrationCoordinator.write(own, acquired, Reservation.UNCHANGED, "the source has closed");
        }
        boolean aborted = record.isAbortedBy(peer, context.site());
        if (record.phase() == Phase.RELEASING) {
            return aborted && other.isReadAfter(own)
                    ? MigrationCoordinator.write(own, record.withPhase(Phase.RELEASED), Reservation.RELEASE,
                    "the source has aborted")
                    : new Wait("reserved until the source's record is read: it may still close");
        }
        if (aborted || !context.hasCapacity()
                || peer.epoch() == record.epoch() && !peer.load().equals(record.load())) {
            return MigrationCoordinator.write(own, record.withPhase(Phase.RELEASING), Reservation.UNCHANGED,
                    aborted ? "the source has aborted" : "there is no capacity for it any more");
        }
        return record.phase() == Phase.RESERVED && context.caughtUp() && peer.epoch() == record.epoch()
                ? MigrationCoordinator.write(own, record.withPhase(Phase.READY), Reservation.UNCHANGED,
                "all data has arrived")
                : new Wait(record.phase() == Phase.READY ? "the source has not closed" : "catching up");
    }

    private static Decision acquiring(RecordReading own, RecordReading other) {
        var record = own.record();
        var peer = other.record();
        if (peer.epoch() != record.epoch() || !peer.phase().closed()) {
            return peer.epoch() > record.epoch() && !peer.phase().beforeClose()
                    ? MigrationCoordinator.write(own, record.withPhase(Phase.RELEASING),
                    Reservation.UNCHANGED,
                            "the source's record was restored, and it has continued without this migration")
                    : new Wait("the source's record was restored: the source has to repair it");
        }
        // DEPARTED: it has read this site as open, so no process there acts on an older record.
        long settledAt = peer.phase() == Phase.DEPARTED ? other.firstSeenAt()
                : other.firstSeenAt() + peer.settleTime();
        return other.isReadAfter(own) && other.requestedAt() >= settledAt
                ? MigrationCoordinator.write(own, record.opened(peer), Reservation.GRANT,
                "no process acts at the source any more")
                : new Wait(settledAt, "the source's members may still act on older readings");
    }
}
