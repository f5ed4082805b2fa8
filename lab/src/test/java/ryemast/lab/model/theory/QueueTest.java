package ryemast.lab.model.theory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import ryemast.lab.model.Spread;
import ryemast.lab.scenario.Scenario;

class QueueTest {

    @Test
    void erlangsFormulaByHand() {
        assertEquals(0.8, Formulas.erlangC(1, 0.8), 1e-12);
        // c = 2, one Erlang offered: B = 1/5, C = 1/3
        assertEquals(1.0 / 3, Formulas.erlangC(2, 0.5), 1e-12);
        assertEquals(1.0 / 3, Formulas.waitOfMmc(2, 0.5, 1), 1e-12);
        assertEquals(4, Formulas.waitOfMmc(1, 0.8, 1), 1e-12);
    }

    @Test
    void pollaczekAndKhinchineByHand() {
        assertEquals(4, Formulas.waitOfMg1(0.8, 1, 1), 1e-12);
        assertEquals(2, Formulas.waitOfMg1(0.8, 1, 0), 1e-12);
    }

    /** The intervals hold the formula 19 times of 20; these seeds are not of the twentieth. */
    @ParameterizedTest
    @CsvSource({"1, 0.5, EXPONENTIAL, 1", "4, 0.8, EXPONENTIAL, 1", "16, 0.95, EXPONENTIAL, 1",
        "1, 0.8, LOGNORMAL, 1.5", "1, 0.5, PARETO, 0.3"})
    void theModelIsTheQueue(int cores, double load, Scenario.Spread spread, double variation) {
        var queue = new Queue(cores, load, spread, variation);
        var waits = Spread.of(LongStream.range(0, 10).mapToDouble(seed -> queue.run(seed, 4_000).meanWait())
                .toArray());
        assertTrue(waits.holds(queue.expectedWait()), waits + " does not hold " + queue.expectedWait());
    }
}
