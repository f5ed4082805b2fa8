package ryemast.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The members of the fleet according to their records, and which of them are gone. Guarantees that a member
 * is declared gone only after its record was seen unchanged for longer than its lease. The write that
 * declares it requires the record's version as seen, so that an outdated read can cost time but cannot revoke
 * a lease.
 *
 * <p>A process with a record is a member, even while the record is unchanged: members change by writes that
 * all can read, and so all processes reach the same set. A new member counts at once; one that left stays in
 * {@link FleetView#currentAndRecent()} for a fixed time.
 */
public final class Roster {

    /** How many lease durations a member that left stays in {@link FleetView#currentAndRecent()}. */
    public static final int RECENT_LEASES = 10;
    /**
     * The highest incarnation is remembered for this many names; the least recently used is dropped first.
     */
    private static final int MAX_REMEMBERED_NAMES = 4096;
    /**
     * A member waits this fraction of a lease for each live member before it to declare another one gone ...
     */
    private static final int DELAYS_PER_LEASE = 20;
    /** ... up to this many, after which all may. */
    private static final int MAX_DELAYS = 10;

    /** A member whose lease has expired: its record at this version is to be removed and its fence raised. */
    public record ExpiredMember(MemberRecord lastRecord) {

        /** The fence to write in place of the one that was read. */
        public FenceRecord raisedFence(FenceRecord read, long highest) {
            long above = Math.max(highest, Math.max(lastRecord.incarnation(), read.incarnation()));
            return new FenceRecord(above + 1, "", 0, read.version());
        }
    }

    private static final class Peer {
        MemberRecord lastRecord;
        final UnchangedTimer unchanged = new UnchangedTimer();
        long notBefore = Long.MIN_VALUE;
    }

    private final NameRegistration holding;
    private final LeaseTerms terms;
    private final TreeMap<String, Peer> peers = new TreeMap<>();
    private final TreeMap<String, Long> recentUntil = new TreeMap<>();
    private final Map<String, Long> highestIncarnation = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_REMEMBERED_NAMES;
        }
    };
    private List<String> members = List.of();
    private long epoch;

    public Roster(NameRegistration holding, LeaseTerms terms) {
        this.holding = holding;
        this.terms = terms;
    }

    /**
     * Processes all members' records, as returned by one read.
     *
     * @param certain whether the read is no older than its request; else it may be stale, and is rejected if
     *     it lacks a record that was seen or contains an older version of one
     * @return false: rejected, a consistent read is needed
     */
    public boolean observe(long now, Collection<MemberRecord> all, boolean certain) {
        var seen = new HashMap<String, MemberRecord>();
        all.forEach(each -> seen.put(each.name(), each));
        if (!certain && (all.stream().anyMatch(this::isOlder)
                || !seen.keySet().containsAll(peers.keySet()))) {
            return false;
        }
        for (var each : all) {
            highestIncarnation.merge(each.name(), each.incarnation(), Math::max);
            if (each.name().equals(holding.name())) {
                holding.observeIncarnation(each.incarnation());
            }
        }
        peers.keySet().retainAll(seen.keySet());
        for (var each : seen.values()) {
            var peer = peers.computeIfAbsent(each.name(), name -> new Peer());
            peer.lastRecord = each;
            peer.unchanged.observe(now, each.version(), terms.observerTimeout(each.duration()));
        }
        refresh(now);
        return true;
    }

    private boolean isOlder(MemberRecord record) {
        var peer = peers.get(record.name());
        return peer != null && record.version() < peer.lastRecord.version();
    }

    /**
     * Members to declare gone now; the result is passed to {@link #onRemovalFailed} or {@link #onRemoved}.
     */
    public List<ExpiredMember> membersToRemove(long now) {
        var gone = new ArrayList<ExpiredMember>();
        if (!holding.isHeld()) {
            return gone;
        }
        for (var each : peers.values()) {
            if (now >= dueAt(now, each)) {
                each.notBefore = Long.MAX_VALUE;
                gone.add(new ExpiredMember(each.lastRecord));
            }
        }
        return gone;
    }

    /** The member could not be declared gone: it is alive, or there was no response. */
    public void onRemovalFailed(long now, ExpiredMember expired) {
        var peer = peers.get(expired.lastRecord().name());
        if (peer != null) {
            peer.notBefore = now + terms.heartbeatInterval();
        }
    }

    /** The member's record was removed, by a write of this process or by the member's fence. */
    public void onRemoved(long now, ExpiredMember expired, long incarnation) {
        highestIncarnation.merge(expired.lastRecord().name(), incarnation, Math::max);
        var peer = peers.get(expired.lastRecord().name());
        if (peer != null && peer.lastRecord.version() == expired.lastRecord().version()) {
            peers.remove(expired.lastRecord().name());
            refresh(now);
        }
    }

    /** The highest incarnation ever seen for a name; 0: none. */
    public long highestIncarnation(String name) {
        return highestIncarnation.getOrDefault(name, 0L);
    }

    private boolean isExpired(long now, Peer peer) {
        return now >= peer.unchanged.expiresAt();
    }

    /** A record from a restored backup, under an incarnation that has been superseded since. */
    private boolean isSuperseded(Peer peer) {
        return peer.lastRecord.incarnation() < highestIncarnation(peer.lastRecord.name());
    }

    private long dueAt(long now, Peer peer) {
        if (peer.lastRecord.name().equals(holding.name())) {
            return Long.MAX_VALUE;
        }
        long proven = isSuperseded(peer) ? Long.MIN_VALUE : peer.unchanged.expiresAt();
        if (now < proven) {
            return proven;
        }
        return Math.max(peer.notBefore,
                proven + Math.min(MAX_DELAYS, countLiveBetween(now, peer.lastRecord.name()))
                * (terms.duration() / DELAYS_PER_LEASE));
    }

    /** Number of live members after the one that is gone and before this one, in the ring of sorted names. */
    private int countLiveBetween(long now, String gone) {
        int count = 0;
        for (var each = peers.higherEntry(gone); ; each = peers.higherEntry(each.getKey())) {
            each = each == null ? peers.firstEntry() : each;
            if (count >= MAX_DELAYS || each.getKey().equals(gone) || each.getKey().equals(holding.name())) {
                return count;
            }
            count += isExpired(now, each.getValue()) ? 0 : 1;
        }
    }

    /** When time alone changes something; {@link Long#MAX_VALUE}: never. */
    public long nextDue(long now) {
        long due = holding.mayActChangesAt(now);
        for (var each : recentUntil.values()) {
            due = Math.min(due, each);
        }
        if (holding.isHeld()) {
            for (var each : peers.values()) {
                due = Math.min(due, dueAt(now, each));
            }
        }
        return due;
    }

    /** The members as known now. */
    public FleetView view(long now) {
        refresh(now);
        var cautious = new TreeSet<>(members);
        cautious.addAll(recentUntil.keySet());
        return new FleetView(epoch, members, holding.name(), holding.mayAct(now), holding.mayActUntil(),
                List.copyOf(cautious));
    }

    private void refresh(long now) {
        var present = new TreeSet<>(peers.keySet());
        if (holding.isHeld()) {
            present.add(holding.name());
        } else if (holding.hasLeft()) {
            present.remove(holding.name());
        }
        recentUntil.values().removeIf(until -> now >= until);
        if (present.size() == members.size() && present.containsAll(members)) {
            return;
        }
        for (var each : members) {
            if (!present.contains(each)) {
                recentUntil.put(each, now + RECENT_LEASES * terms.duration());
            }
        }
        recentUntil.keySet().removeAll(present);
        members = List.copyOf(present);
        epoch++;
    }
}
