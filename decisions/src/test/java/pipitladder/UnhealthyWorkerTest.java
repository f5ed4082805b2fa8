package pipitladder;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pipitladder.SimulatedFleet.MS;
import static pipitladder.SimulatedFleet.S;

import java.util.Comparator;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import pipitladder.Dispatcher.Effect;
import ryemast.health.TrafficState;

/**
 * One worker of twenty is unhealthy for three seconds at 500 jobs a second, a fifth of which must run once:
 * how many jobs are still sent there, what is lost, and when the worker is used again.
 */
class UnhealthyWorkerTest {

    /**
     * The fault; the most jobs sent there within its first 0.2 s and in its last 2 s; the most unsafe jobs
     * lost.
     */
    enum Fault {
        RESETS_HALF((box, on) -> box.resets = on ? 0.5 : 0, 60, 40, 8),
        ERRORS_OF_A_THIRD((box, on) -> box.errors = on ? 0.33 : 0, 80, 90, 12),
        CRASHED((box, on) -> box.dead = on, 10, 10, 0),
        VANISHED((box, on) -> box.vanished = on, 10, 10, 0),
        ACCEPTS_AND_NEVER_STARTS((box, on) -> box.silent = on, 12, 8, 2),
        STARTS_AND_NEVER_ENDS((box, on) -> box.neverEnds = on, 16, 8, 3),
        SLOW_BY_TEN((box, on) -> box.slowness = on ? 10 : 1, 20, 60, 0);

        private final BiConsumer<SimulatedFleet.Machine, Boolean> change;
        private final int first;
        private final int last;
        private final int lost;

        Fault(BiConsumer<SimulatedFleet.Machine, Boolean> change, int first, int last, int lost) {
            this.change = change;
            this.first = first;
            this.last = last;
            this.lost = lost;
        }
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void trafficLeavesTheWorkerAndReturns(Fault trouble) {
        for (int seed = 1; seed <= 5; seed++) {
            var fleet = new SimulatedFleet(20, true, seed, Effect.REPEATABLE, Effect.UNSAFE);
            fleet.list();
            fleet.load(400, 10 * S, 0, 5 * MS);
            fleet.load(100, 10 * S, 1, 5 * MS);
            fleet.advance(3 * S);
            long from = fleet.now;
            var box = fleet.machines.stream()
                    .max(Comparator.comparing(each -> fleet.sentTo(each, from - S, from))).orElseThrow();
            trouble.change.accept(box, true);
            fleet.advance(3 * S);
            trouble.change.accept(box, false);
            fleet.serve(box);
            long until = fleet.now;
            fleet.advance(2 * S);
            boolean aside = fleet.brain.health().worker(box.id).trafficState() == TrafficState.EJECTED;
            fleet.advance(13 * S);
            var story = trouble + ", seed " + seed + ": " + fleet;
            int first = fleet.sentTo(box, from, from + 200 * MS);
            int last = fleet.sentTo(box, from + S, until);
            assertTrue(first <= trouble.first, first + " jobs at first; " + story);
            assertTrue(last <= trouble.last, last + " jobs at last; " + story);
            assertFalse(aside, "still ejected after two seconds; " + story);
            assertTrue(fleet.servedShare(0) >= 0.999, story);
            assertTrue(fleet.failed <= trouble.lost, story);
            assertEquals(0, fleet.ranTwice, story);
        }
    }

    /** A stall of the dispatcher for two seconds causes no copies and ejects no worker. */
    @Test
    void aStallOfTheDispatcherIsNoFaultOfWorkers() {
        var fleet = new SimulatedFleet(20, true, 5, Effect.REPEATABLE);
        fleet.list();
        fleet.load(200, 8 * S, 0, 5 * MS);
        fleet.advance(3 * S);
        fleet.stall(2 * S);
        fleet.advance(10 * S);
        assertTrue(fleet.sends <= fleet.submitted + 8, fleet.toString());
        assertTrue(fleet.log.stream().noneMatch(line -> line.contains("recovery probes only")),
                fleet.log.toString());
    }
}
