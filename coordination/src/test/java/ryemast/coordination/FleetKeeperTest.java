package ryemast.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import ryemast.coordination.FleetWorld.Planted;
import ryemast.fleet.NameRegistration;
import ryemast.fleet.MemberClock;

/** Fleets of 2 to 8 in virtual time, with faults from seeds; and that the books can see. */
class FleetKeeperTest {

    private static final long MS = FleetWorld.MS;
    private static final long SECOND = FleetWorld.SECOND;
    /** After the faults all agree within this and go on to: a lease seen to lapse, with calls and turns. */
    private static final long AGREED = 6 * SECOND;
    private static final int SEEDS = 50;

    /** Held, as a logger that nobody holds may forget its level. */
    private static final Logger LOG = Logger.getLogger("ryemast.coordination");

    @BeforeAll
    static void hush() {
        LOG.setLevel(Level.OFF);
    }

    private static FleetWorld played(long seed, Planted planted, boolean restores) {
        var world = new FleetWorld(seed, planted);
        int members = 2 + world.random.nextInt(7);
        for (int i = 0; i < members; i++) {
            world.start("d" + i);
        }
        world.at(5 * SECOND, () -> world.strike(restores));
        world.runUntil(FleetWorld.FAULTS_END);
        world.mend();
        return world;
    }

    @ParameterizedTest
    @CsvSource({"false", "true"})
    void noTwoActInOneNameAndAllAgreeInTheEnd(boolean restores) {
        for (long seed = 0; seed < SEEDS; seed++) {
            var world = played(seed, Planted.NOTHING, restores);
            for (long after = AGREED; after < AGREED + 3 * SECOND; after += 500 * MS) {
                world.runUntil(FleetWorld.FAULTS_END + after);
                assertNull(world.disagreement(), "seed " + seed);
            }
            assertEquals(Set.of(), world.breaches, "seed " + seed);
        }
    }

    /** Each fault of the program is found within so many seeds. */
    @ParameterizedTest
    @CsvSource({"NO_DRIFT, 40", "FROM_THE_ANSWER, 10", "WALL_CLOCK, 10", "NO_FENCE, 10", "NO_COMPARE, 10"})
    void aPlantedFaultIsFound(Planted planted, int within) {
        for (long seed = 0; seed < within; seed++) {
            if (!played(seed, planted, false).breaches.isEmpty()) {
                return;
            }
        }
        throw new AssertionError(planted + " was not found within " + within + " seeds");
    }

    private static FleetWorld calm(int members) {
        var world = new FleetWorld(1, Planted.NOTHING);
        for (int i = 0; i < members; i++) {
            world.start("d" + i);
        }
        world.runUntil(10 * SECOND);
        assertNull(world.disagreement());
        return world;
    }

    /** When the others no longer count the first one, after this moment. */
    private static long goneAfter(FleetWorld world) {
        long from = world.now;
        while (world.processes.get(1).keeper.view().members().contains("d0")) {
            assertTrue(world.now < from + 20 * SECOND, "never taken over");
            world.runUntil(world.now + 10 * MS);
        }
        return world.now - from;
    }

    @Test
    void takenOverAfterALeaseWhenKilledAndAtOnceWhenLeft() {
        var killed = calm(4);
        killed.processes.get(0).dead = true;
        long after = goneAfter(killed);
        assertTrue(after >= 2 * SECOND && after <= 4_500 * MS, after + " us");
        assertTrue(killed.processes.get(1).keeper.view().currentAndRecent().contains("d0"));
        var left = calm(4);
        left.processes.get(0).keeper.leave(() -> left.processes.get(0).left = true);
        assertNull(left.processes.get(0).keeper.fence());
        after = goneAfter(left);
        assertTrue(after <= 1_100 * MS, after + " us");
        left.runUntil(left.now + SECOND);
        assertTrue(left.processes.get(0).left);
    }

    @Test
    void eachHearsTheOthersWallClocksWithinABeatAndACall() {
        var world = calm(3);
        for (int i = 0; i < 3; i++) {
            int off = i;
            world.processes.get(i).keeper.tell(() -> world.now + (1 + off) * 3_600 * SECOND);
        }
        world.processes.get(2).keeper.want(() -> Map.of("pack", 30));
        world.runUntil(world.now + 4 * SECOND);
        var one = world.processes.get(1);
        for (var each : one.listed) {
            assertEquals(each.name().equals("d2") ? Map.of("pack", 30) : null, each.demand(),
                    "and what is wanted");
        }
        var told = one.keeper.clocks();
        assertEquals(Set.of("d0", "d2"), Set.copyOf(told.stream().map(MemberClock::name).toList()));
        for (var each : told) {
            long hours = each.name().equals("d0") ? 1 : 3;
            long late = world.now + hours * 3_600 * SECOND - one.clock()
                    - (each.wallTime() - each.observedAt());
            assertTrue(Math.abs(late) < 1_500 * MS, each + " is late by " + late);
        }
        world.processes.get(2).dead = true;
        world.runUntil(world.now + 8 * SECOND);
        assertEquals(1, one.keeper.clocks().size(), "one that is gone has no say");
    }

    @Test
    void oneThatWakesAfterItsLeaseKnowsItAtTheFirstLook() {
        var world = calm(2);
        var one = world.processes.get(0);
        assertNotNull(one.keeper.fence());
        one.stopped = true;
        world.runUntil(world.now + 4 * SECOND);
        assertNull(one.keeper.fence());
        one.stop(0);
        world.runUntil(world.now + 3 * SECOND);
        assertNull(world.disagreement());
    }

    /** Two supervisors each start their process again whenever it has stepped down: the name settles. */
    @Test
    void aNameThatTwoClaimDoesNotGoBackAndForthForEver() {
        var world = calm(2);
        int starts = 0;
        for (long until = world.now; starts < 8; starts++) {
            world.start("d0");
            world.runUntil(until += 10 * SECOND);
            for (var each : world.processes) {
                each.dead |= each.taken != null && each.taken.getMessage().contains("has stepped down");
            }
        }
        assertEquals(Set.of(), world.breaches);
        long dead = world.processes.stream().filter(each -> each.dead).count();
        assertEquals(NameRegistration.MAX_TAKEOVERS, dead);
        long yielded = world.processes.stream().filter(each -> !each.dead && each.taken != null).count();
        assertEquals(starts - dead, yielded);
        assertNull(world.disagreement());
    }
}
