package ryemast.pacing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class FairQueueTest {

    private static final double SECOND = 1_000_000;

    /** Work handed out by tenant, over so many jobs; lines 10 and up are tenant 1's, and so on. */
    private static double[] served(FairQueue queue, Map<Long, Double> costs, int jobs, int tenants) {
        var work = new double[tenants];
        for (int i = 0; i < jobs; i++) {
            long line = queue.next(costs::get);
            work[(int) (line / 10)] += costs.get(line);
        }
        return work;
    }

    @Test
    void tenantsGetTheirShareOfTheWorkWhateverTheirJobsCost() {
        var queue = new FairQueue(3, 1);
        queue.join(1, 0);
        queue.join(11, 1);
        var work = served(queue, Map.of(1L, 0.2 * SECOND, 11L, 7 * SECOND), 2_000, 2);
        assertEquals(3, work[0] / work[1], 0.1);
    }

    /** A hundred thousand jobs in one line do not stand before three in another. */
    @Test
    void linesOfOneTenantTakeTurns() {
        var queue = new FairQueue(1);
        queue.join(1, 0);
        queue.join(2, 0);
        queue.join(1, 0);
        var turns = new HashMap<Long, Integer>();
        for (int i = 0; i < 100; i++) {
            turns.merge(queue.next(line -> SECOND), 1, Integer::sum);
        }
        assertEquals(Map.of(1L, 50, 2L, 50), turns);
    }

    @Test
    void whoeverHasNothingToDoSavesNothingUp() {
        var queue = new FairQueue(1, 1);
        queue.join(1, 0);
        queue.join(11, 1);
        served(queue, Map.of(1L, SECOND, 11L, SECOND), 10, 2);
        queue.leave(11);
        served(queue, Map.of(1L, SECOND), 1_000, 2);
        queue.join(11, 1);
        var work = served(queue, Map.of(1L, SECOND, 11L, SECOND), 20, 2);
        assertEquals(work[0], work[1], 2 * SECOND);
        queue.leave(1);
        queue.leave(11);
        queue.leave(99);
        assertTrue(queue.isEmpty());
    }

    @Test
    void weightsMustBeAboveNothing() {
        assertThrows(IllegalArgumentException.class, () -> new FairQueue());
        assertThrows(IllegalArgumentException.class, () -> new FairQueue(1, 0));
        assertThrows(IllegalArgumentException.class, () -> new FairQueue(Double.NaN));
    }

    /** The bound of the paper: no tenant is ever further from its share than a quantum and a job. */
    @Property(tries = 200)
    void noTenantFallsBehindItsShare(@ForAll long seed, @ForAll @IntRange(min = 2, max = 5) int tenants) {
        var random = new Random(seed);
        var weights = random.doubles(tenants, 0.2, 5).toArray();
        var queue = new FairQueue(weights);
        var costs = new HashMap<Long, Double>();
        double dearest = SECOND;
        for (int tenant = 0; tenant < tenants; tenant++) {
            for (long line = 10L * tenant; line <= 10L * tenant + random.nextInt(3); line++) {
                costs.put(line, 1_000 * Math.exp(random.nextDouble() * 9));
                dearest = Math.max(dearest, costs.get(line));
                queue.join(line, tenant);
            }
        }
        var work = new double[tenants];
        double sum = 0;
        for (double weight : weights) {
            sum += weight;
        }
        double mean = sum / tenants;
        for (int i = 0; i < 5_000; i++) {
            long line = queue.next(costs::get);
            work[(int) (line / 10)] += costs.get(line);
        }
        for (int one = 0; one < tenants; one++) {
            for (int other = 0; other < tenants; other++) {
                double apart = work[one] / weights[one] - work[other] / weights[other];
                double bound = dearest / mean + dearest / weights[one] + dearest / weights[other];
                assertTrue(apart <= 2 * bound, () -> "tenants are apart");
            }
        }
    }
}
