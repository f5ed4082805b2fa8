package ryemast.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class RosterTest {

    private static final LeaseTerms TERMS = LeaseTerms.DEFAULT;
    private static final long LEASE_DURATION = TERMS.duration();

    private static NameRegistration held(long now) {
        var holding = new NameRegistration("self", "p", TERMS);
        assertEquals(NameRegistration.Operation.READ, holding.nextOperation(now));
        holding.onRead(now, FenceRecord.NONE, null);
        assertEquals(NameRegistration.Operation.REGISTER, holding.nextOperation(now));
        holding.onOutcome(now, Outcome.DONE, 1, 2);
        return holding;
    }

    private static MemberRecord record(String name, long version) {
        return new MemberRecord(name, 1, "x", version, LEASE_DURATION, version);
    }

    /** Compares with a reference that keeps everything that was ever seen. */
    @Property(tries = 30, seed = "5")
    void equalsTheSlowReference(@ForAll long seed, @ForAll @IntRange(min = 1, max = 300) int names) {
        var random = new Random(seed);
        var roster = new Roster(held(0), TERMS);
        var version = new HashMap<String, Long>();
        var since = new HashMap<String, Long>();
        var seenAt = new HashMap<String, Long>();
        long now = 0;
        long epoch = 0;
        var before = new TreeSet<String>();
        for (int step = 0; step < 40; step++) {
            now += random.nextInt(3) == 0 ? LEASE_DURATION : 300_000;
            var list = new ArrayList<MemberRecord>();
            var members = new TreeSet<String>();
            members.add("self");
            for (int i = 0; i < names; i++) {
                var name = "m" + i;
                if (random.nextInt(8) > 0) {
                    long at = version.merge(name, 1L, (old, one) -> old + random.nextInt(2));
                    list.add(record(name, at));
                    members.add(name);
                    if (!before.contains(name) || at != since.get(name) >> 40) {
                        since.put(name, at << 40 | now);
                    }
                }
            }
            before.stream().filter(each -> !members.contains(each)).forEach(each -> since.remove(each));
            for (var each : before) {
                seenAt.put(each, now);
            }
            assertTrue(roster.observe(now, list, true));
            epoch += members.equals(before) ? 0 : 1;
            before = members;
            var view = roster.view(now);
            assertEquals(new ArrayList<>(members), view.members());
            long cut = now - Roster.RECENT_LEASES * LEASE_DURATION;
            var cautious = new TreeSet<>(members);
            seenAt.forEach((name, at) -> {
                if (at > cut) {
                    cautious.add(name);
                }
            });
            assertEquals(new ArrayList<>(cautious), view.currentAndRecent());
            assertEquals(epoch, view.epoch());
            long withoutDelays = now - LEASE_DURATION / 2;
            var gone = roster.membersToRemove(now).stream().map(each -> each.lastRecord().name())
                    .collect(Collectors.toSet());
            for (var name : members) {
                long unchangedSince = name.equals("self") ? now : since.get(name) & (1L << 40) - 1;
                assertTrue(!gone.contains(name) || now >= unchangedSince + LEASE_DURATION * 1.01,
                        "too early: " + name);
                assertTrue(gone.contains(name) || withoutDelays < unchangedSince + LEASE_DURATION * 1.01,
                        "too late: " + name);
            }
            gone.forEach(name ->
                    roster.onRemovalFailed(Long.MIN_VALUE / 2, new Roster.ExpiredMember(record(name, 0))));
        }
    }

    @Test
    void staleListIsRejected() {
        var roster = new Roster(held(0), TERMS);
        assertTrue(roster.observe(0, List.of(record("a", 7), record("b", 8)), false));
        assertFalse(roster.observe(1, List.of(record("a", 6), record("b", 8)), false));
        assertFalse(roster.observe(1, List.of(record("b", 9)), false));
        assertTrue(roster.observe(1, List.of(record("a", 6), record("b", 8)), true));
    }

    /**
     * A record from a restored backup, under an incarnation that was superseded since, is removed at once.
     */
    @Test
    void supersededIncarnationIsRaisedAboveTheHighestSeen() {
        var roster = new Roster(held(0), TERMS);
        roster.observe(0, List.of(new MemberRecord("a", 5, "x", 1, LEASE_DURATION, 9)), true);
        roster.observe(1, List.of(new MemberRecord("a", 4, "x", 1, LEASE_DURATION, 3)), true);
        var gone = roster.membersToRemove(1);
        assertEquals(6, gone.get(0).raisedFence(new FenceRecord(4, "x", 0, 2), roster.highestIncarnation("a"))
                .incarnation());
    }

    /** Sent, response lost, sent again, then read: the lease counts from the first send. */
    @Test
    void heartbeatWithLostResponseIsResolvedByReading() {
        var holding = held(0);
        assertEquals(NameRegistration.Operation.HEARTBEAT, holding.nextOperation(LEASE_DURATION / 3));
        holding.onOutcome(LEASE_DURATION / 2, Outcome.UNKNOWN, 0, 0);
        assertEquals(NameRegistration.Operation.HEARTBEAT, holding.nextOperation(LEASE_DURATION));
        assertEquals(1, holding.heartbeat().sequence());
        holding.onOutcome(LEASE_DURATION, Outcome.CONFLICT, 0, 0);
        assertFalse(holding.mayAct(LEASE_DURATION * 98 / 100));
        assertEquals(NameRegistration.Operation.READ, holding.nextOperation(LEASE_DURATION));
        holding.onRead(LEASE_DURATION, new FenceRecord(1, "p", 0, 1),
                new MemberRecord("self", 1, "p", 1, LEASE_DURATION, 3));
        assertTrue(holding.mayAct(LEASE_DURATION));
        assertEquals(LEASE_DURATION / 3 + TERMS.holderDuration(), holding.mayActUntil());
        assertNull(holding.nextOperation(LEASE_DURATION / 3));
    }
}
