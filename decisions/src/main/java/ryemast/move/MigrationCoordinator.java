package ryemast.move;

import ryemast.move.Decision.RecordWrite;
import ryemast.move.Decision.Wait;

/**
 * Decides what a site does for the migration of one service, and what it may reserve and run meanwhile,
 * from the two sites' records alone: a process that takes over from a failed coordinator decides as that
 * one would have. Guarantees that a reservation is active at one site at most; that a reserved capacity is
 * not released while the source may still close; that a closed source never serves again except by a later
 * migration back; all this despite delayed, lost, duplicated or truncated messages, and after one site's
 * records were restored from a backup.
 *
 * <p>The protocol is two-phase commit between two sites (Gray, "Notes on Data Base Operating Systems",
 * 1978) in which the source votes last and so decides alone, by one compare-and-set of its own record. What
 * one side relies on in the other's record stays true once it holds (a stable property: Chandy and Lamport,
 * 1985), so stale readings do no harm. Only a restored backup can undo it: so a target does the two
 * irreversible things, opening and releasing, only after it has recorded its intent and has read the
 * source's record again since; and a source that has lost its state reads the target's record before it
 * serves. The tables are in docs/moves.md.
 */
public final class MigrationCoordinator {

    private MigrationCoordinator() {
    }

    /**
     * {@code own} and {@code other} are the records of this site and of {@link MigrationContext#peerSite}.
     * To be called with the record of each known site; one that takes no part in the migration changes
     * nothing unless its record proves that the service has left.
     */
    public static Decision next(MigrationContext context, RecordReading own, RecordReading other) {
        if (!context.leaseValid()) {
            return new Wait("the lease of this process is not valid");
        }
        if (!own.isKnown()) {
            return new Wait("this site's record has not been read yet");
        }
        if (!other.isKnown()) {
            return new Wait("the other site's record has not been read yet");
        }
        var record = own.record();
        var peer = other.record();
        if (peer.provesDeparted(record, context.site())) {
            return Source.repair(context, own, peer);
        }
        var relevantSite = record.relevantSite(context.request());
        if (!relevantSite.isEmpty() && !relevantSite.equals(context.peerSite())) {
            return new Wait("the migration does not involve that site");
        }
        if (peer.provesRequested(record, context.site())) {
            return Source.recoverRequest(context, own, other);
        }
        return record.phase().active() || record.phase() == Phase.CLOSED ? Source.next(context, own, other)
                : Target.next(context, own, other);
    }

    /**
     * To be called with the record of the site that the migration involves; with any site's if there is
     * none.
     */
    public static ServingState servingState(MigrationContext context, RecordReading own,
            RecordReading other) {
        var record = own.record();
        var phase = record.phase();
        boolean fresh = own.isKnown() && context.now() - own.requestedAt() < context.readingValidity();
        boolean active = fresh && phase.active() && isRecordConfirmed(context, own, other);
        return new ServingState(active, phase.reserved(), !active && phase != Phase.NONE,
                record.scheduledAfter(),
                phase == Phase.OPEN && record.watermarksExact(), record.scheduledUpTo());
    }

    /**
     * The record may be one from before the closing, restored from a backup: while a migration is running
     * or requested, a process must have read the other site's record since it knows its own without a gap.
     */
    static boolean isRecordConfirmed(MigrationContext context, RecordReading own, RecordReading other) {
        boolean atRest = !own.record().phase().requesting() && context.request() == null;
        return (atRest || isReadSinceKnown(context, other))
                && !other.record().provesDeparted(own.record(), context.site());
    }

    static boolean isReadSinceKnown(MigrationContext context, RecordReading other) {
        return other.isKnown() && other.requestedAt() >= context.recordsKnownSince();
    }

    static RecordWrite write(RecordReading own, SiteRecord record, Decision.Reservation reservation,
            String reason) {
        return new RecordWrite(own.version(), record, reservation, reason);
    }
}
