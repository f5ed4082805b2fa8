package ryemast.reservation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * The site's reservation ledger, as updated by the member that currently maintains it. Guarantees that at any
 * time the allocated capacity, over all reservations and the unreserved part, taking for each the largest
 * value that any member permitted to act still uses, is at most the site's capacity less the margin; except
 * for the settle time after the capacity drops. This also holds while members act on different states, and
 * for any wall clocks: they only decide when a window's capacity changes hands. docs/reservations.md has the
 * rules.
 *
 * <p>Capacity that is released, by a smaller reservation, the end of a window, a yield, or ahead of a window,
 * is entered as {@link ReleasedCapacity} and belongs to nobody until the settle time has passed since it was
 * first read there; only then do other allocations grow. A member acts on a state only if it requested it
 * less than the settle time ago (leases: Gray and Cheriton, 1989), so by then no member acts on one in which
 * the capacity was still allocated.
 *
 * <p>Usage: {@link #load} what is stored; call {@link #updateCapacity}, {@link #reserve}, {@link #cancel} and
 * {@link #step}; write {@link #state} by compare-and-set if it differs from what was read; and read again,
 * written or not. Any member may do that at any time, as only one write takes effect; steps are about a
 * second apart, and a late step costs capacity, but breaks no guarantee.
 */
public final class ReservationLedger {

    /**
     * Unreserved capacity is released this many settle times before a window begins; one of them allows for
     * late steps.
     */
    private static final int RELEASE_LEAD = 2;

    private LedgerSettings settings;
    private LedgerState lastRead = LedgerState.EMPTY;
    private LedgerState state = LedgerState.EMPTY;
    /** When released capacity was first read, by the version of the state that released it. */
    private final Map<Long, Long> releaseReadAt = new HashMap<>();
    /** The least capacity reported since it rose above the known one; 0: it is not above it. */
    private long pendingCapacity;
    private long pendingSince;
    private long capacityUpdatedAt;
    /** Wall time of the last step: windows that ended before it are ignored. */
    private long lastStepWall = Long.MIN_VALUE;

    public ReservationLedger(LedgerSettings settings) {
        this.settings = settings;
    }

    /**
     * Applies the settings of another revision to what is written next; the settle time stays the process's
     * own.
     */
    public void settings(LedgerSettings newSettings) {
        settings = newSettings;
    }

    /** The state to be written. */
    public LedgerState state() {
        return state;
    }

    /**
     * Loads the stored state, {@link LedgerState#EMPTY} if there is none; discards changes that were not
     * written.
     *
     * @param now  on this process's own clock, when the answer came: released capacity settles from when it
     *             was first read, not from when it was to be written
     */
    public void load(LedgerState stored, long now) {
        if (stored.version() < lastRead.version()) {
            // Restored from a backup: versions start again from a lower number.
            releaseReadAt.clear();
        }
        lastRead = stored;
        state = stored;
        var versions = new HashSet<Long>();
        for (var entry : stored.released()) {
            versions.add(entry.version());
            releaseReadAt.putIfAbsent(entry.version(), now);
        }
        releaseReadAt.keySet().retainAll(versions);
    }

    /**
     * Takes the current estimate of the site's capacity per second. A drop by more than the band applies at
     * once, as does the first estimate; an increase applies when it has exceeded the band for the whole hold
     * time, and then with its minimum over that time.
     */
    public void updateCapacity(long capacity, long now) {
        long known = state.capacity();
        if (pendingCapacity <= known || now - capacityUpdatedAt > settings.settleTime()) {
            // Another member raised it meanwhile, or there was no update for a while.
            pendingCapacity = 0;
        }
        capacityUpdatedAt = now;
        if (known == 0 || capacity < known * (1 - settings.band())) {
            pendingCapacity = 0;
            update(capacity, state.free(), state.grants(), state.released());
        } else if (capacity <= known * (1 + settings.band())) {
            pendingCapacity = 0;
        } else if (pendingCapacity == 0) {
            pendingCapacity = capacity;
            pendingSince = now;
        } else {
            pendingCapacity = Math.min(pendingCapacity, capacity);
            if (now - pendingSince >= settings.increaseHold()) {
                // Kept until that is written.
                update(pendingCapacity, state.free(), state.grants(), state.released());
            }
        }
    }

    /**
     * Enters a reservation, or changes the one of the same service; requesting what is already granted
     * changes nothing. A reduction is granted at once. An increase, or other windows, is granted if all of it
     * fits next to the other reservations at every instant of every window that is not over; its capacity is
     * allocated as released capacity settles. A rejected request changes nothing.
     */
    public void reserve(Reservation wanted) throws InsufficientCapacityException, ServicesOverlapException {
        var service = wanted.service();
        Grant held = null;
        var others = new ArrayList<Grant>();
        for (var grant : state.grants()) {
            if (grant.reservation().service().name().equals(service.name())) {
                held = grant;
            } else if (grant.reservation().service().overlaps(service)) {
                throw new ServicesOverlapException(service, grant.reservation().service());
            } else {
                others.add(grant);
            }
        }
        if (held != null && held.reservation().equals(wanted)) {
            return;
        }
        if (held == null || !isWithin(wanted, held.reservation())) {
            requireCapacity(wanted, others);
        }
        boolean grows = held == null || wanted.perSecond() > held.reservation().perSecond();
        long allocated = held == null ? 0 : held.allocated();
        var grant = new Grant(wanted, grows ? nextVersion() : held.grantVersion(),
                Math.min(allocated, wanted.perSecond()));
        var grants = new ArrayList<>(state.grants());
        if (held == null) {
            grants.add(grant);
        } else {
            grants.set(grants.indexOf(held), grant);
        }
        // With an empty ledger all capacity was unreserved.
        long free = state.isEmpty() ? reservableCapacity() : state.free();
        update(state.capacity(), free, grants, releasedWith(allocated - grant.allocated()));
    }

    /** Cancels a service's reservation. */
    public void cancel(String service) {
        for (var grant : state.grants()) {
            if (grant.reservation().service().name().equals(service)) {
                var grants = new ArrayList<>(state.grants());
                grants.remove(grant);
                update(state.capacity(), state.free(), grants, releasedWith(grant.allocated()));
            }
        }
    }

    private static boolean isWithin(Reservation wanted, Reservation held) {
        return wanted.perSecond() <= held.perSecond() && wanted.effectiveWindows().stream().allMatch(
                span -> held.effectiveWindows().stream().anyMatch(
                        each -> each.from() <= span.from() && span.until() <= each.until()));
    }

    private void requireCapacity(Reservation wanted, List<Grant> others)
            throws InsufficientCapacityException {
        var levels = new CapacityTimeline(others);
        long reservable = reservableCapacity();
        long fits = Long.MAX_VALUE;
        long tightest = 0;
        var windows = new ArrayList<Span>();
        for (var each : wanted.effectiveWindows()) {
            if (each.until() <= lastStepWall) {
                continue;
            }
            var span = new Span(Math.max(each.from(), lastStepWall), each.until());
            long fullest = levels.peakTime(span);
            long left = reservable - levels.reservedAt(fullest);
            if (left < fits) {
                fits = left;
                tightest = fullest;
            }
            if (left >= wanted.perSecond()) {
                windows.add(each);
            }
        }
        if (fits < wanted.perSecond()) {
            long at = tightest;
            var holders = others.stream().map(Grant::reservation).filter(each -> each.isOpen(at))
                    .sorted(Comparator.comparingLong(Reservation::perSecond).reversed())
                    .map(each -> each.service().name()).toList();
            throw new InsufficientCapacityException(wanted,
                    new Offer(Math.max(0, fits), List.copyOf(windows), tightest, holders, reservable));
        }
    }

    /** Adjusts allocations to windows, yields and released capacity; to be called about every second. */
    public void step(long now, long wall) {
        lastStepWall = wall;
        var released = state.released().stream().filter(each -> !hasSettled(each, now)).toList();
        update(state.capacity(), state.free(), state.grants(), released);
        if (settleTimeChanges() && !releaseAll()) {
            return;
        }
        if (state.isEmpty()) {
            update(state.capacity(), reservableCapacity(), state.grants(), state.released());
            return;
        }
        var entitled = entitlements(wall);
        releaseCapacity(entitled, unreservedCapacity(wall));
        allocate(entitled, unreservedCapacity(wall));
    }

    private boolean settleTimeChanges() {
        return lastRead.settings() != null && lastRead.settings().settleTime() != settings.settleTime();
    }

    /**
     * Changes the settle time. Members with the old one act on the stored state until it has passed, so all
     * allocations are released first, under the stored settings, and the new settings apply only then.
     * Returns whether they do.
     */
    private boolean releaseAll() {
        long allocated = state.grants().stream().mapToLong(Grant::allocated).sum();
        if (allocated == 0 && state.released().isEmpty()) {
            return true;
        }
        var grants = state.grants().stream().map(each -> each.allocated(0)).toList();
        update(state.capacity(), state.free(), grants, releasedWith(allocated), lastRead.settings());
        return false;
    }

    private boolean hasSettled(ReleasedCapacity entry, long now) {
        var since = releaseReadAt.get(entry.version());
        long settle = settleTimeChanges() ? Math.max(settings.settleTime(), lastRead.settings().settleTime())
                : settings.settleTime();
        return since != null && now - since > settle;
    }

    /** The capacity left unreserved from now until the end of the release lead. */
    private long unreservedCapacity(long wall) {
        var levels = new CapacityTimeline(state.grants());
        long fullest = levels.peakTime(new Span(wall, wall + RELEASE_LEAD * settings.settleTime()));
        return Math.max(0, reservableCapacity() - levels.reservedAt(fullest));
    }

    private void releaseCapacity(List<Long> entitled, long targetFree) {
        long left = Math.max(0, state.free() - targetFree);
        var grants = new ArrayList<Grant>();
        for (int i = 0; i < entitled.size(); i++) {
            var grant = state.grants().get(i);
            long less = Math.max(0, grant.allocated() - entitled.get(i));
            left += less;
            grants.add(grant.allocated(grant.allocated() - less));
        }
        update(state.capacity(), Math.min(state.free(), targetFree), grants, releasedWith(left));
    }

    /** Allocates to the reservations that yield last first. */
    private void allocate(List<Long> entitled, long targetFree) {
        long available = reservableCapacity() - state.free();
        for (var grant : state.grants()) {
            available -= grant.allocated();
        }
        for (var entry : state.released()) {
            available -= entry.perSecond();
        }
        var grants = new ArrayList<>(state.grants());
        for (int i : lastToYieldFirst()) {
            long growth = Math.max(0, Math.min(available, entitled.get(i) - grants.get(i).allocated()));
            grants.set(i, grants.get(i).allocated(grants.get(i).allocated() + growth));
            available -= growth;
        }
        long growth = Math.max(0, Math.min(available, targetFree - state.free()));
        update(state.capacity(), state.free() + growth, grants, state.released());
    }

    private int[] lastToYieldFirst() {
        var grants = state.grants();
        return IntStream.range(0, grants.size()).boxed().sorted((left, right) -> {
            int byRank = Integer.compare(grants.get(right).reservation().rank(),
                    grants.get(left).reservation().rank());
            return byRank != 0 ? byRank : Long.compare(grants.get(left).grantVersion(),
                    grants.get(right).grantVersion());
        }).mapToInt(Integer::intValue).toArray();
    }

    /** What each grant is entitled to at a time, after yields, in the order of {@link LedgerState#grants}. */
    public List<Long> entitlements(long wall) {
        long left = reservableCapacity();
        var entitled = new Long[state.grants().size()];
        for (int i : lastToYieldFirst()) {
            var reservation = state.grants().get(i).reservation();
            entitled[i] = reservation.isOpen(wall) ? Math.min(left, reservation.perSecond()) : 0;
            left -= entitled[i];
        }
        return List.of(entitled);
    }

    /** The capacity that may be reserved: the site's capacity less the margin. */
    public long reservableCapacity() {
        return (long) (state.capacity() * (1 - settings.margin()));
    }

    private long nextVersion() {
        return lastRead.version() + 1;
    }

    /** All that this state releases is one entry, which settles from when it is first read. */
    private List<ReleasedCapacity> releasedWith(long perSecond) {
        if (perSecond == 0) {
            return state.released();
        }
        var released = new ArrayList<>(state.released());
        long sum = perSecond;
        if (!released.isEmpty() && released.get(released.size() - 1).version() == nextVersion()) {
            sum += released.remove(released.size() - 1).perSecond();
        }
        released.add(new ReleasedCapacity(nextVersion(), sum));
        return released;
    }

    private void update(long capacity, long free, List<Grant> grants, List<ReleasedCapacity> released) {
        update(capacity, free, grants, released, settings);
    }

    /** Sets the state that follows the loaded one; the loaded one itself if nothing changed. */
    private void update(long capacity, long free, List<Grant> grants, List<ReleasedCapacity> released,
            LedgerSettings newSettings) {
        var same = new LedgerState(lastRead.version(), capacity, free, grants, released, newSettings);
        state = same.equals(lastRead) ? lastRead : new LedgerState(nextVersion(), capacity, free, grants,
                released, newSettings);
    }
}
