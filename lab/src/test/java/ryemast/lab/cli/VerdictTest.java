package ryemast.lab.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import org.junit.jupiter.api.Test;
import ryemast.lab.load.Latency;
import ryemast.lab.load.LatencyGoal;
import ryemast.lab.load.LoadPlan;
import ryemast.lab.load.LoadResult;
import ryemast.lab.load.Measured;
import ryemast.lab.load.RateSearch.Verdict;

class VerdictTest {

    private static final LatencyGoal GOAL = LatencyGoal.parse("p99<50ms");
    private static final long CORE = 10_000_000;

    /** A run of 10 s at 100 jobs a second, each of which took so long. */
    private static LoadResult run(long asked, long micros, double busy, boolean counts, long broken,
            boolean died) {
        var latency = new Latency();
        for (int i = 0; i < asked; i++) {
            latency.served(micros);
        }
        var plan = new LoadPlan(10, 1, 100, 10, 1, 5, 1, 0, 0, 0, 0, 0, true, 1);
        var measured = new Measured(10, asked, asked, 0, 0, 0, asked, latency, Math.round(busy * CORE), 0);
        return new LoadResult(plan, plan.room(), false, new JsonObject(), measured, 60, 1, counts, broken,
                died, "", false);
    }

    private static Verdict verdict(LoadResult run) {
        return LoadCommand.verdict(run, GOAL);
    }

    @Test
    void latenessOfTheEmulatorExcusesAFailureButSpoilsNoSuccess() {
        assertEquals(Verdict.HOLDS, verdict(run(1_000, 40_000, 0.5, true, 0, false)));
        assertEquals(Verdict.HOLDS, verdict(run(1_000, 40_000, 0.5, false, 0, false)));
        assertEquals(Verdict.FAILS, verdict(run(1_000, 60_000, 0.5, true, 0, false)));
        assertEquals(Verdict.EMULATOR_LATE, verdict(run(1_000, 60_000, 0.5, false, 0, false)));
        assertEquals(Verdict.FAILS, verdict(run(1_000, 60_000, 0.95, false, 0, false)), "its core is full");
    }

    @Test
    void aRateThatWasNotOfferedProvesNothing() {
        assertEquals(Verdict.EMULATOR_LATE, verdict(run(700, 10_000, 0.5, true, 0, false)));
    }

    @Test
    void aBrokenRuleOrADeadDispatcherFails() {
        assertEquals(Verdict.FAILS, verdict(run(1_000, 10_000, 0.5, true, 1, false)));
        assertEquals(Verdict.FAILS, verdict(run(1_000, 10_000, 0.5, true, 0, true)));
        assertFalse(run(1_000, 10_000, 0.5, true, 0, true).fine());
        assertTrue(run(1_000, 10_000, 0.5, true, 0, false).fine());
    }

    @Test
    void whatIsNotKnownIsNull() {
        var json = run(0, 0, -1, true, 0, false).json();
        assertTrue(json.get("cpu_us_per_job").isJsonNull());
        assertTrue(json.getAsJsonObject("latency_ms").get("p99").isJsonNull());
    }
}
