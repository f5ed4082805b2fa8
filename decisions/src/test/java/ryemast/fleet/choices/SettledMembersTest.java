package ryemast.fleet.choices;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Shares, permits and rates of members that have different views. */
class SettledMembersTest {

    private static FleetSimulation.ShareModel correct(String name) {
        return new FleetSimulation.CorrectModel(name, FleetSimulation.SETTLE_TIME, 0);
    }

    private static int seeds(int members) {
        return Math.max(1, 60 / members);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 14, 100, 300})
    void totalOfAllMembersStaysWithinTheLimits(int members) {
        for (int seed = 0; seed < seeds(members); seed++) {
            var fleet = new FleetSimulation(seed, members, SettledMembersTest::correct)
                    .run(members > 50 ? 15 : 30, members > 50 ? 2 : 0.5).halve();
            String where = "seed " + seed;
            assertTrue(fleet.maxTotalShare <= 1 + 1e-9, fleet.maxTotalShare + " total share, " + where);
            assertTrue(fleet.maxUsed <= FleetSimulation.LIMIT.permits(),
                    fleet.maxUsed + " permits, " + where);
            for (long length : new long[] {0, 1_000_000, 10_000_000}) {
                // The burst is two seconds of 40, or one job per member.
                assertTrue(fleet.maxJobsAboveRate(length, 40) <= Math.max(80, 2 * members + 10), where);
            }
        }
    }

    /** Without further changes all members have an even share, and all permits are used. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 14, 100})
    void shareOfADeadMemberIsLostForALimitedTimeOnly(int members) {
        for (int seed = 0; seed < seeds(members); seed++) {
            var fleet = new FleetSimulation(seed, members, SettledMembersTest::correct).run(20, 0.5)
                    .run(30, 0);
            assertEquals(1, fleet.lastTotalShare, 1e-9, "seed " + seed);
            fleet.maxUsed = 0;
            fleet.run(20, 0);
            assertEquals(FleetSimulation.LIMIT.permits(), fleet.maxUsed, 1, "seed " + seed);
        }
    }

    /**
     * Settled members with other delays until a new member uses its share and until one that left is dropped.
     */
    private static final class OtherDelays implements FleetSimulation.ShareModel {
        private final String self;
        private final long joinDelay;
        private final long leaveDelay;
        private final Map<String, Long> countedUntil = new HashMap<>();
        private long mayUseFrom = Long.MAX_VALUE;
        private long freshUntil;

        OtherDelays(String self, long joinDelay, long leaveDelay) {
            this.self = self;
            this.joinDelay = joinDelay;
            this.leaveDelay = leaveDelay;
        }

        @Override
        public void seen(long asOf, long now, Collection<String> members) {
            mayUseFrom = now > freshUntil || !members.contains(self) ? Long.MAX_VALUE : mayUseFrom;
            mayUseFrom = mayUseFrom == Long.MAX_VALUE && members.contains(self) ? now + joinDelay
                    : mayUseFrom;
            freshUntil = asOf + FleetSimulation.SETTLE_TIME;
            members.forEach(each -> countedUntil.put(each, Long.MAX_VALUE));
            countedUntil.replaceAll(
                    (each, until) -> members.contains(each) ? until : Math.min(until, now + leaveDelay));
        }

        @Override
        public double part(long now) {
            countedUntil.values().removeIf(until -> until < now);
            return now <= freshUntil && mayUseFrom <= now ? 1.0 / countedUntil.size() : 0;
        }
    }

    private static int countDetected(int seeds, Function<String, FleetSimulation.ShareModel> modelFactory,
            Predicate<FleetSimulation> fault) {
        int found = 0;
        for (int seed = 0; seed < seeds; seed++) {
            found += fault.test(new FleetSimulation(seed, 14, modelFactory).run(40, 0.5).halve()) ? 1 : 0;
        }
        return found;
    }

    private static boolean exceedsTheWhole(FleetSimulation fleet) {
        return fleet.maxTotalShare > 1 + 1e-9;
    }

    /** Each is detected by any seed, except a count lowered too early: by a third; no false detection. */
    @Test
    void plantedFaultsAreDetected() {
        long settle = FleetSimulation.SETTLE_TIME;
        assertEquals(0, countDetected(20, name -> new OtherDelays(name, 2 * settle, settle),
                SettledMembersTest::exceedsTheWhole));
        assertEquals(5, countDetected(5, name -> new OtherDelays(name, 0, settle),
                SettledMembersTest::exceedsTheWhole), "joined too early");
        assertTrue(countDetected(20, name -> new OtherDelays(name, 2 * settle, 0),
                SettledMembersTest::exceedsTheWhole) >= 5, "left too early");
        assertEquals(5, countDetected(5, name -> new FleetSimulation.CorrectModel(name, 20 * settle, 0),
                fleet -> fleet.run(30, 0).lastTotalShare < 1 - 1e-9), "a dead member's share kept");
    }

    @Test
    void newcomersWaitDisconnectedMembersRestartAndFormerMembersCountForAWhile() {
        var members = new SettledMembers("a", 100, 50);
        members.observe(0, 10, Set.of("a", "b"));
        assertEquals(0, members.share(10));
        for (long now = 20; now <= 210; now += 20) {
            members.observe(now - 5, now, Set.of("a", "b"));
        }
        assertEquals(0.5, members.share(210));
        assertTrue(members.mayUseShare(210, 210) && !members.mayUseShare(205, 210));
        members.observe(210, 220, Set.of("a", "c"));
        assertEquals(1.0 / 3, members.share(300));
        assertEquals(0, members.share(311), "the view is too old");
        members.observe(300, 309, Set.of("a", "c"));
        assertEquals(0.5, members.share(321));
        assertEquals(Set.of("a", "b", "c"), members.counted(320), "b left within the window");
        members.observe(500, 501, Set.of("a", "c"));
        assertEquals(0, members.share(501));
        members.invalidate();
        assertEquals(0, members.share(800));
    }
}
