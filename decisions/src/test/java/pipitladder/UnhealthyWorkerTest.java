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
        RESETS_HALF((worker, on) -> worker.resets = on ? 0.5 : 0, 60, 40, 8),
        ERRORS_OF_A_THIRD((worker, on) -> worker.errors = on ? 0.33 : 0, 80, 90, 12),
        CRASHED((worker, on) -> worker.dead = on, 10, 10, 0),
        VANISHED((worker, on) -> worker.vanished = on, 10, 10, 0),
        ACCEPTS_AND_NEVER_STARTS((worker, on) -> worker.silent = on, 12, 8, 2),
        STARTS_AND_NEVER_ENDS((worker, on) -> worker.neverEnds = on, 16, 8, 3),
        SLOW_BY_TEN((worker, on) -> worker.slowness = on ? 10 : 1, 20, 60, 0);

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
            var worker = fleet.machines.stream()
                    .max(Comparator.comparing(each -> fleet.sentTo(each, from - S, from))).orElseThrow();
            trouble.change.accept(worker, true);
            fleet.advance(3 * S);
            trouble.change.accept(worker, false);
            fleet.serve(worker);
            long until = fleet.now;
            fleet.advance(2 * S);
            boolean ejected = fleet.brain.health().worker(worker.id).trafficState() == TrafficState.EJECTED;
            fleet.advance(13 * S);
            var description = trouble + ", seed " + seed + ": " + fleet;
            int first = fleet.sentTo(worker, from, from + 200 * MS);
            int last = fleet.sentTo(worker, from + S, until);
            assertTrue(first <= trouble.first, first + " jobs at first; " + description);
            assertTrue(last <= trouble.last, last + " jobs at last; " + description);
            assertFalse(ejected, "still ejected after two seconds; " + description);
            assertTrue(fleet.servedShare(0) >= 0.999, description);
            assertTrue(fleet.failed <= trouble.lost, description);
            assertEquals(0, fleet.ranTwice, description);
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
