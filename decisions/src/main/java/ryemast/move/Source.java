package ryemast.move;

import ryemast.move.Decision.Reservation;
import ryemast.move.Decision.Wait;

/**
 * The side that has the service. Guarantees that it closes only if the target's record says that capacity
 * is reserved and all data has arrived, and with every claimed execution up to the closing bound; and that
 * it follows a target that is known to have acquired the service, whatever its own record says.
 */
final class Source {

    private Source() {
    }

    static Decision next(MigrationContext context, RecordReading own, RecordReading other) {
        var record = own.record();
        var peer = other.record();
        return switch (record.phase()) {
            case REQUESTED, CLOSING -> requesting(context, own, other);
            case CLOSED -> closed(context, own, peer);
            case OPEN -> peer.epoch() == record.epoch() && peer.phase() == Phase.DEPARTED
                    && context.handoverComplete()
                    ? MigrationCoordinator.write(own, record.completed(), Reservation.UNCHANGED,
                    "the source has nothing running")
                    : new Wait("the source has attempts running, or outcomes have not arrived");
            default -> idle(context, own, other);
        };
    }

    private static Decision idle(MigrationContext context, RecordReading own, RecordReading other) {
        var request = context.request();
        if (request == null || !context.mayStart()) {
            return new Wait(request == null ? "no migration is requested"
                    : "the next attempt to migrate is not due");
        }
        if (!MigrationCoordinator.isReadSinceKnown(context, other)) {
            return new Wait("the other site's record was not read since this site's may have been restored");
        }
        long epoch = Math.max(own.record().epoch(), other.record().epoch()) + 1;
        var requested = new SiteRecord(epoch, Phase.REQUESTED, request.site(), request.load(),
                own.record().scheduledAfter(), SiteRecord.UNBOUNDED,
                true, context.settleTime());
        return MigrationCoordinator.write(own, requested, Reservation.UNCHANGED, "a migration is requested");
    }

    private static Decision requesting(MigrationContext context, RecordReading own, RecordReading other) {
        var record = own.record();
        var peer = other.record();
        var request = context.request();
        if (request == null || !request.site().equals(record.peerSite())
                || !request.load().equals(record.load())) {
            return abort(context, own, record.epoch(), "this migration is no longer requested");
        }
        if (peer.epoch() == record.epoch()
                && (peer.phase() == Phase.RELEASED || peer.phase() == Phase.RELEASING)) {
            return abort(context, own, record.epoch(), "the target has no capacity");
        }
        boolean ready = peer.epoch() == record.epoch() && peer.phase() == Phase.READY
                && peer.load().equals(record.load());
        if (!ready || !MigrationCoordinator.isReadSinceKnown(context, other)) {
            return new Wait("the target is not ready, or its record was not read");
        }
        if (context.claimedAtVersion() != own.version()) {
            return new Wait("the jobs' watermarks were not read at this site's present record version");
        }
        if (record.phase() == Phase.REQUESTED || context.latestClaimed() > record.scheduledUpTo()) {
            // No later execution is claimed under that record, so the next check finds none beyond it.
            return MigrationCoordinator.write(own, record.bounded(Phase.CLOSING, context.latestClaimed()),
                    Reservation.UNCHANGED,
                    "the target is ready");
        }
        return MigrationCoordinator.write(own, record.withPhase(Phase.CLOSED), Reservation.RELEASE,
                "no claimed execution is later");
    }

    private static Decision closed(MigrationContext context, RecordReading own, SiteRecord peer) {
        var record = own.record();
        boolean open = peer.epoch() > record.epoch() ? !peer.phase().beforeClose()
                : peer.epoch() == record.epoch() && peer.phase().acquired() && peer.phase() != Phase.ACQUIRED;
        // If it is open there, no process here acts on an older reading any more.
        return open && context.unfinished() == 0
                ? MigrationCoordinator.write(own, record.withPhase(Phase.DEPARTED), Reservation.UNCHANGED,
                "open at the target, and nothing is running here")
                : new Wait(open ? context.unfinished() + " attempts are running here"
                : "the target has not opened");
    }

    private static Decision abort(MigrationContext context, RecordReading own, long epoch, String reason) {
        var record = own.record();
        return MigrationCoordinator.write(own,
                new SiteRecord(epoch, Phase.ABORTED, context.peerSite(), record.load(),
                record.scheduledAfter(),
                SiteRecord.UNBOUNDED, true, record.settleTime()), Reservation.UNCHANGED, reason);
    }

    /**
     * The record was restored from before a migration that the other site knows of and has not acquired. No
     * process has closed it in a way on which that site will ever open, and from this step on none can.
     */
    static Decision recoverRequest(MigrationContext context, RecordReading own, RecordReading other) {
        var record = own.record();
        var peer = other.record();
        if (record.phase().active()) {
            return abort(context, own, peer.epoch(),
                    "this site's record was restored from before the migration");
        }
        if (!MigrationCoordinator.isReadSinceKnown(context, other) || !context.hasCapacity()) {
            return new Wait("this site's record was restored; it lacks capacity or the other's record");
        }
        return MigrationCoordinator.write(own,
                new SiteRecord(peer.epoch(), Phase.ABORTED, context.peerSite(), peer.load(),
                peer.scheduledUpTo(), SiteRecord.UNBOUNDED, true, context.settleTime()), Reservation.GRANT,
                "this site has the service by the other site's record");
    }

    /**
     * The record was restored from before the closing. Executions claimed since belong to this site as
     * well, so the upper bound on claims is set again first.
     */
    static Decision repair(MigrationContext context, RecordReading own, SiteRecord peer) {
        var record = own.record();
        if (context.claimedAtVersion() != own.version()) {
            return new Wait("the jobs' watermarks were not read at this site's present record version");
        }
        long epoch = peer.phase().acquired() ? peer.epoch() : peer.epoch() - 1;
        long upTo = Math.max(peer.scheduledAfter(), context.latestClaimed());
        boolean bounded = !record.phase().active()
                || record.phase() == Phase.CLOSING && record.scheduledUpTo() >= upTo;
        var repaired = new SiteRecord(epoch, bounded ? Phase.CLOSED : Phase.CLOSING, context.peerSite(),
                peer.load(),
                record.scheduledAfter(), bounded && record.phase().active() ? record.scheduledUpTo() : upTo,
                false, context.settleTime());
        return MigrationCoordinator.write(own, repaired,
                bounded ? Reservation.RELEASE : Reservation.UNCHANGED,
                "the other site's record proves that the service has left");
    }
}
