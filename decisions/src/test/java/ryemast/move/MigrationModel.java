package ryemast.move;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;

/**
 * Two sites, A and B, with one or two coordinators each, and one or two services that are at A. Everything
 * that can happen is an event: a reading of both records, or of the own one alone if the link is cut in
 * that direction, with the decision that follows; the arrival of a write, at any later time or never, its
 * response always lost, as a coordinator learns by reading alone; a stale response; the end of a reading's
 * validity; the passing of the settle time; a crash; a change of the file; a claim; a lost worker; a backup
 * and its restore. No lease keeps two coordinators of a site apart, and none is needed.
 *
 * <p>Time is not numeric: the settle time can pass for a coordinator only when no process at the other site
 * acts any more on what was read before that coordinator first read the record, which is all that leases
 * guarantee.
 */
final class MigrationModel extends ModelState {

    enum Event { READ, READ_OWN, READ_OLD, ARRIVE, EXPIRE, SETTLE, CRASH, CLAIM, REQUEST, BACKUP, RESTORE,
            LOSE_CAPACITY }

    record Transition(Event event, int service, int coordinator, int arg) {
    }

    /** The invariant that the last event violated; null: none. */
    String violation;

    MigrationModel(Setup setup) {
        super(setup);
    }

    /** All events that are possible now. */
    List<Transition> events() {
        var all = new ArrayList<Transition>();
        for (int j = 0; j < setup.services(); j++) {
            for (int coordinator = 0; coordinator < 2 * setup.coordinators(); coordinator++) {
                coordinatorEvents(j, coordinator, all);
            }
            int load = requestedLoad(j);
            for (int other = 0; get(j, REQUEST) >> 2 < setup.requestChanges() && other < LOADS.length;
                    other++) {
                if (other != load
                        && (other > 0 || setup.restoredSite() < 0 || record(j, 0).phase().requesting())) {
                    all.add(new Transition(Event.REQUEST, j, 0, other));
                }
            }
            if (setup.restoredSite() >= 0 && get(j, BACKUP) == 0) {
                all.add(new Transition(Event.BACKUP, j, 0, 0));
            } else if (setup.restoredSite() >= 0 && get(j, BACKUP) != OUTDATED
                    && get(j, BACKUP) != get(j, RECORD + setup.restoredSite())
                    && (load != 0 || recordOf(get(j, BACKUP)).phase().requesting())) {
                all.add(new Transition(Event.RESTORE, j, 0, 0));
            }
        }
        if (setup.losesCapacity() && state[state.length - 1] == setup.capacity()) {
            all.add(new Transition(Event.LOSE_CAPACITY, 0, 0, 0));
        }
        return all;
    }

    private void coordinatorEvents(int j, int coordinator, List<Transition> all) {
        all.add(new Transition(Event.READ, j, coordinator, 0));
        all.add(new Transition(Event.READ_OWN, j, coordinator, 0));
        if (setup.staleReads()
                && get(j, PREVIOUS + 1 - site(coordinator)) != get(j, RECORD + 1 - site(coordinator))) {
            all.add(new Transition(Event.READ_OLD, j, coordinator, 0));
        }
        if (get(j, at(coordinator, PENDING)) != 0) {
            all.add(new Transition(Event.ARRIVE, j, coordinator, 0));
        }
        boolean acts = acts(j, coordinator);
        if (acts) {
            all.add(new Transition(Event.EXPIRE, j, coordinator, 0));
        }
        if (get(j, at(coordinator, OTHER)) != 0) {
            all.add(new Transition(Event.CRASH, j, coordinator, 0));
            if (canSettle(j, coordinator)) {
                all.add(new Transition(Event.SETTLE, j, coordinator, 0));
            }
        }
        for (int execution = 0; acts && execution < 2 * setup.jobs(); execution++) {
            if (mayClaim(j, coordinator, execution)) {
                all.add(new Transition(Event.CLAIM, j, coordinator, execution));
            }
        }
    }

    private boolean canSettle(int j, int coordinator) {
        if (has(j, coordinator, SETTLED)
                || recordOf(get(j, at(coordinator, OTHER))).phase() != Phase.CLOSED) {
            return false;
        }
        int remote = firstCoordinator(1 - site(coordinator));
        for (int each = remote; each < remote + setup.coordinators(); each++) {
            if (has(j, each, readBeforeFlag(coordinator)) && acts(j, each)) {
                return false;
            }
        }
        return true;
    }

    /** A claim requires the record at the version read, so it is never made by an outdated one. */
    private boolean mayClaim(int j, int coordinator, int execution) {
        if (get(j, at(coordinator, OWN)) == OUTDATED) {
            return false;
        }
        var standing = MigrationCoordinator.servingState(context(j, coordinator), own(j, coordinator),
                other(j, coordinator));
        int site = site(coordinator);
        int scheduledTime = execution % 2 + 1;
        var remote = record(j, 1 - site);
        boolean leftover = standing.claimsLeftover() && remote.phase().closed() && remote.watermarksExact()
                && scheduledTime > watermark(j, 1 - site, execution / 2);
        return scheduledTime > claimed(j, site, execution / 2) && scheduledTime <= standing.scheduledUpTo()
                && (scheduledTime > standing.scheduledAfter() || leftover);
    }

    void apply(Transition transition) {
        violation = null;
        int j = transition.service;
        int coordinator = transition.coordinator;
        switch (transition.event) {
            case READ -> read(j, coordinator, get(j, RECORD + 1 - site(coordinator)), true);
            case READ_OLD -> read(j, coordinator, get(j, PREVIOUS + 1 - site(coordinator)), false);
            case READ_OWN -> {
                readOwn(j, coordinator);
                decide(j, coordinator);
            }
            case ARRIVE -> arrive(j, coordinator);
            case EXPIRE -> dropOwnReading(j, coordinator);
            case SETTLE -> set(j, coordinator, SETTLED, true);
            case CRASH -> {
                dropOwnReading(j, coordinator);
                put(j, at(coordinator, OTHER), 0);
                put(j, at(coordinator, FLAGS), 0);
            }
            case CLAIM -> claim(j, site(coordinator), transition.arg);
            case REQUEST -> put(j, REQUEST, (get(j, REQUEST) >> 2) + 1 << 2 | transition.arg);
            case BACKUP -> {
                put(j, BACKUP, get(j, RECORD + setup.restoredSite()));
                put(j, SAVED, get(j, RECORDED));
            }
            case RESTORE -> restore(j, setup.restoredSite());
            case LOSE_CAPACITY -> state[state.length - 1]--;
        }
        normalize();
        for (int each = 0; each < setup.services() && violation == null; each++) {
            checkInvariants(each);
        }
    }

    private void dropOwnReading(int j, int coordinator) {
        put(j, at(coordinator, OWN), 0);
        set(j, coordinator, OTHER_READ_AFTER, false);
    }

    private void readOwn(int j, int coordinator) {
        int read = get(j, RECORD + site(coordinator));
        if (get(j, at(coordinator, OWN)) != read) {
            set(j, coordinator, OTHER_READ_AFTER, false);
        }
        put(j, at(coordinator, OWN), read);
        set(j, coordinator, READ_BEFORE | READ_BEFORE << 1, false);
    }

    private void read(int j, int coordinator, int remote, boolean current) {
        readOwn(j, coordinator);
        if (current && has(j, coordinator, CURRENT) && get(j, at(coordinator, OTHER)) == remote) {
            set(j, coordinator, REREAD, has(j, coordinator, SETTLED));
        } else {
            set(j, coordinator, SETTLED | REREAD, false);
            put(j, at(coordinator, OTHER), remote);
            set(j, coordinator, CURRENT, current);
            int site = 1 - site(coordinator);
            for (int each = firstCoordinator(site); each < firstCoordinator(site) + setup.coordinators();
                    each++) {
                set(j, each, readBeforeFlag(coordinator), true);
            }
        }
        set(j, coordinator, OTHER_READ_AFTER, true);
        decide(j, coordinator);
    }

    private void decide(int j, int coordinator) {
        if (MigrationCoordinator.next(context(j, coordinator), own(j, coordinator), other(j, coordinator))
                instanceof Decision.RecordWrite step) {
            put(j, at(coordinator, PENDING), id(new PendingWrite(step.record(), step.reservation())));
        }
    }

    private void arrive(int j, int coordinator) {
        var pending = pendingWrites.get(get(j, at(coordinator, PENDING)));
        int site = site(coordinator);
        put(j, at(coordinator, PENDING), 0);
        boolean needsCapacity = pending.reservation() == Decision.Reservation.RESERVE
                || pending.reservation() == Decision.Reservation.GRANT && !record(j, site).phase().reserved();
        if (site == 1 && needsCapacity && reservedServices() + 1 > state[state.length - 1]) {
            return;
        }
        var before = record(j, site);
        int reservedBefore = reservedServices();
        replaceRecord(j, site, id(pending.record()));
        var phase = pending.record().phase();
        boolean allowed = before.phase() == Phase.ACQUIRED && phase == Phase.OPEN
                || setup.restoredSite() >= 0 && phase == Phase.ABORTED;
        if (reservedServices() > reservedBefore && reservedServices() > state[state.length - 1]) {
            violation = "reserved beyond capacity";
        } else if (!before.phase().active() && phase.active() && !allowed) {
            violation = before.phase() + " became " + phase;
        } else if (setup.restoredSite() < 0 && before.phase().reserved() && !phase.reserved()
                && phase != Phase.RELEASED
                && phase != Phase.OPEN) {
            violation = "reservation became " + phase;
        }
    }

    /** Pending writes and earlier readings refer to an outdated version from now on. */
    private void replaceRecord(int j, int site, int recordId) {
        for (int coordinator = firstCoordinator(site);
                coordinator < firstCoordinator(site) + setup.coordinators(); coordinator++) {
            put(j, at(coordinator, OWN), acts(j, coordinator) ? OUTDATED : 0);
            set(j, coordinator, OTHER_READ_AFTER, false);
            put(j, at(coordinator, PENDING), 0);
            set(j, firstCoordinator(1 - site) + coordinator - firstCoordinator(site), CURRENT, false);
        }
        put(j, PREVIOUS + site, get(j, RECORD + site));
        put(j, RECORD + site, recordId);
    }

    private void claim(int j, int site, int execution) {
        put(j, CLAIMED + site, get(j, CLAIMED + site) | 1 << execution);
        if (site == 0) {
            put(j, RECORDED, get(j, RECORDED) | 1 << execution);
        }
        if ((get(j, CLAIMED) & get(j, CLAIMED + 1)) != 0) {
            violation = "an execution is claimed at both sites";
        }
    }

    /**
     * Its coordinators notice with their next reading, as their own heartbeats are set back with the
     * record.
     */
    private void restore(int j, int site) {
        replaceRecord(j, site, get(j, BACKUP));
        put(j, PREVIOUS + site, get(j, RECORD + site));
        put(j, BACKUP, OUTDATED);
        if (site == 0) {
            put(j, RECORDED, get(j, SAVED));
            if (record(j, 1).phase().beforeClose()) {
                // Their records are lost before any other site has read them: they are repeated in any case.
                put(j, CLAIMED, get(j, SAVED));
            }
        }
        for (int coordinator = firstCoordinator(site);
                coordinator < firstCoordinator(site) + setup.coordinators(); coordinator++) {
            put(j, at(coordinator, OTHER), 0);
            set(j, coordinator, SETTLED | REREAD | CURRENT, false);
        }
    }

    private void checkInvariants(int j) {
        var a = record(j, 0);
        var b = record(j, 1);
        if (isActive(j, 0) && isActive(j, 1)) {
            violation = "active at both sites";
        }
        if (setup.restoredSite() < 0 && b.phase() == Phase.OPEN && !b.watermarksExact()) {
            violation = "leftover executions are lost";
        }
        if (setup.restoredSite() < 1) {
            checkReservation(a, b);
        }
        if (setup.restoredSite() < 0) {
            checkReservation(b, a);
        }
    }

    private void checkReservation(SiteRecord source, SiteRecord target) {
        boolean reserved = target.phase().reserved() || target.phase().acquired();
        if (source.phase() == Phase.CLOSED && target.epoch() <= source.epoch()
                && !(target.epoch() == source.epoch() && reserved)) {
            violation = "closed without a reservation at the target";
        }
    }

    /** Faults have ended, and each coordinator takes a turn. */
    void round() {
        for (int j = 0; j < setup.services(); j++) {
            for (int coordinator = 0; coordinator < 2 * setup.coordinators(); coordinator++) {
                takeTurn(j, coordinator);
                if (violation != null) {
                    return;
                }
            }
        }
    }

    /** Describes a service that makes no more progress without being complete; null: none. */
    String livenessViolation() {
        for (int j = 0; j < setup.services(); j++) {
            if (!isComplete(j)) {
                return "stuck: " + record(j, 0) + ", " + record(j, 1);
            }
        }
        return null;
    }

    private void takeTurn(int j, int coordinator) {
        dropOwnReading(j, coordinator);
        if (get(j, at(coordinator, OTHER)) != 0 && canSettle(j, coordinator)) {
            set(j, coordinator, SETTLED, true);
        }
        apply(new Transition(Event.READ, j, coordinator, 0));
        for (int each = firstCoordinator(site(coordinator));
                each < firstCoordinator(site(coordinator)) + setup.coordinators(); each++) {
            if (violation == null && get(j, at(each, PENDING)) != 0) {
                apply(new Transition(Event.ARRIVE, j, each, 0));
            }
        }
    }

    private boolean isComplete(int j) {
        var a = record(j, 0);
        var b = record(j, 1);
        if (setup.restoredSite() == 1 && a.phase().closed() && b.phase().beforeClose()
                && !b.phase().reserved()
                && !hasCapacity(j)) {
            // B lost its record and has no capacity any more: the service is nowhere until there is some.
            return true;
        }
        var serving = EnumSet.of(Phase.LOCAL, Phase.ABORTED);
        var gone = EnumSet.of(Phase.NONE, Phase.RELEASED, Phase.DEPARTED);
        return serving.contains(a.phase())
                ? gone.contains(b.phase()) && (requestedLoad(j) == 0 || a.epoch() >= setup.epochs())
                : a.phase() == Phase.DEPARTED && serving.contains(b.phase())
                        && (!setup.migratesBack() || b.epoch() >= setup.epochs());
    }
}
