package pipitladder;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pipitladder.SimulatedFleet.MS;
import static pipitladder.SimulatedFleet.S;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import pipitladder.Dispatcher.Effect;

/**
 * Workers with ample capacity that fail a fraction of their jobs, with the real decision module in virtual
 * time. Guards against refusing jobs while workers are idle, as happened before health was estimated from
 * evidence. Jobs run 5 ms.
 */
class PartialFailureTest {

    @ParameterizedTest
    @CsvSource({
        "0.001, 0, 0, 500, 20", "0.005, 0, 0, 500, 20", "0.01, 0, 0, 500, 20", "0.02, 0, 0, 500, 20",
        "0.05, 0, 0, 500, 20", "0.05, 0, 0, 1500, 20", "0.05, 0, 0, 100, 20", "0.02, 0.05, 0, 500, 20",
        "0.10, 0, 0, 50, 20", "0.10, 0, 0, 500, 20", "0.10, 0, 0, 3000, 20", "0.10, 0, 0, 100, 3",
        "0.10, 0, 0, 1500, 200"})
    void randomFailuresCostOnlyRetries(double resets, double lost, double rejects, int rate,
            int workers) {
        for (boolean startsReported : new boolean[] {false, true}) {
            var fleet = new SimulatedFleet(workers, startsReported, 7, Effect.REPEATABLE);
            fleet.machines.forEach(each -> {
                each.resets = resets;
                each.lostAnswers = lost;
                each.rejects = rejects;
            });
            fleet.list();
            fleet.load(rate, 4 * S, 0, 5 * MS);
            fleet.advance(16 * S);
            assertTrue(fleet.servedShare(0) >= 0.999, "starts reported " + startsReported + ": " + fleet);
            assertTrue(fleet.sendsPerServed() < 1.3, "starts reported " + startsReported + ": " + fleet);
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void rejectedJobsAreRetriedElsewhereUpToTheLimit(boolean startsReported) {
        var fleet = new SimulatedFleet(20, startsReported, 7, Effect.REPEATABLE);
        fleet.machines.forEach(each -> {
            each.resets = 0.05;
            each.rejects = 0.2;
        });
        fleet.list();
        fleet.load(500, 8 * S, 0, 5 * MS);
        fleet.advance(20 * S);
        assertTrue(fleet.servedShare(0) >= 0.998,
                "a fraction of 0.24^5 of the jobs uses up all five attempts: " + fleet);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void unsafeJobsLoseOnlyTheFractionThatWasReset(boolean startsReported) {
        var fleet = new SimulatedFleet(20, startsReported, 3, Effect.UNSAFE);
        fleet.machines.forEach(each -> each.resets = 0.05);
        fleet.list();
        fleet.load(500, 8 * S, 0, 5 * MS);
        fleet.advance(20 * S);
        assertTrue(fleet.servedShare(0) >= 0.94, fleet.toString());
        assertEquals(0, fleet.refused, fleet.toString());
        assertEquals(0, fleet.ranTwice);
    }

    @ParameterizedTest
    @CsvSource({"1, false", "4, false", "10, false", "1, true", "4, true", "10, true"})
    void workersThatAcceptAndNeverStartLoseNoJob(int silent, boolean startsReported) {
        var fleet = new SimulatedFleet(20, startsReported, 7, Effect.REPEATABLE);
        fleet.list();
        fleet.machines.subList(0, silent).forEach(each -> each.silent = true);
        fleet.load(500, 8 * S, 0, 5 * MS);
        fleet.advance(20 * S);
        assertTrue(fleet.servedShare(0) >= 0.999, fleet.toString());
        assertTrue(fleet.percentile(0.99) <= 25 * MS, fleet.toString());
    }

    /** The effects of a fault end with it: no state sustains itself. */
    @Test
    void trafficIsNormalTwoSecondsAfterAFault() {
        var fleet = new SimulatedFleet(20, true, 7, Effect.REPEATABLE);
        fleet.list();
        fleet.load(1500, 10 * S, 0, 5 * MS);
        fleet.advance(2 * S);
        fleet.machines.forEach(each -> each.resets = 0.6);
        fleet.advance(3 * S);
        fleet.machines.forEach(each -> each.resets = 0);
        fleet.advance(2 * S);
        int refused = fleet.refused;
        int sends = fleet.sends;
        int asked = fleet.submitted;
        fleet.advance(2 * S);
        assertEquals(refused, fleet.refused, fleet.toString());
        assertTrue(fleet.sends - sends < 1.05 * (fleet.submitted - asked), fleet.toString());
    }
}
