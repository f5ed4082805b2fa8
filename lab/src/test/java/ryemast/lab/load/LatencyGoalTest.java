package ryemast.lab.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class LatencyGoalTest {

    @ParameterizedTest
    @CsvSource({"p99<50ms,99,50000", "P50 <= 2s,50,2000000", "p99.9<800us,99.9,800", "p999<1ms,99.9,1000"})
    void readsPercentileAndLimit(String text, double percentile, long limit) {
        assertEquals(new LatencyGoal(percentile, limit), LatencyGoal.parse(text));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "p99", "99<50ms", "p99<50", "p99>50ms", "p0<1ms", "p100<1ms", "p99<0ms",
            "p9x<1ms"})
    void refusesWhatIsNoGoal(String text) {
        assertThrows(IllegalArgumentException.class, () -> LatencyGoal.parse(text));
    }

    @Test
    void countsWhatWasNotServedAsLaterThanAnyLimit() {
        var latency = new Latency();
        for (int i = 0; i < 990; i++) {
            latency.served(10_000);
        }
        for (int i = 0; i < 10; i++) {
            latency.served(90_000);
        }
        var goal = LatencyGoal.parse("p99<50ms");
        assertTrue(goal.holds(latency), "exactly 990 of 1,000 are in time");
        latency.notServed();
        assertFalse(goal.holds(latency), "990 of 1,001 are less than 99%");
        assertEquals(10_000, latency.percentile(99), 10, "the served ones alone look as before");
        assertFalse(goal.holds(new Latency()), "nothing was shown");
    }
}
