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

    /** Work sent by tenant, over so many jobs; flows 10 to 19 are tenant 1's, and so on. */
    private static double[] served(FairQueue queue, Map<Long, Double> costs, int jobs, int tenants) {
        var work = new double[tenants];
        for (int i = 0; i < jobs; i++) {
            long flow = queue.next(costs::get);
            work[(int) (flow / 10)] += costs.get(flow);
        }
        return work;
    }

    @Test
    void tenantsGetTheirShareOfTheWorkWhateverTheirJobsCost() {
        var queue = new FairQueue(3, 1);
        queue.activate(1, 0);
        queue.activate(11, 1);
        var work = served(queue, Map.of(1L, 0.2 * SECOND, 11L, 7 * SECOND), 2_000, 2);
        assertEquals(3, work[0] / work[1], 0.1);
    }

    /** A hundred thousand jobs in one flow do not block three in another. */
    @Test
    void flowsOfOneTenantAlternate() {
        var queue = new FairQueue(1);
        queue.activate(1, 0);
        queue.activate(2, 0);
        queue.activate(1, 0);
        var turns = new HashMap<Long, Integer>();
        for (int i = 0; i < 100; i++) {
            turns.merge(queue.next(line -> SECOND), 1, Integer::sum);
        }
        assertEquals(Map.of(1L, 50, 2L, 50), turns);
    }

    @Test
    void idleTenantsAccumulateNoDeficit() {
        var queue = new FairQueue(1, 1);
        queue.activate(1, 0);
        queue.activate(11, 1);
        served(queue, Map.of(1L, SECOND, 11L, SECOND), 10, 2);
        queue.deactivate(11);
        served(queue, Map.of(1L, SECOND), 1_000, 2);
        queue.activate(11, 1);
        var work = served(queue, Map.of(1L, SECOND, 11L, SECOND), 20, 2);
        assertEquals(work[0], work[1], 2 * SECOND);
        queue.deactivate(1);
        queue.deactivate(11);
        queue.deactivate(99);
        assertTrue(queue.isEmpty());
    }

    @Test
    void weightsMustBePositive() {
        assertThrows(IllegalArgumentException.class, () -> new FairQueue());
        assertThrows(IllegalArgumentException.class, () -> new FairQueue(1, 0));
        assertThrows(IllegalArgumentException.class, () -> new FairQueue(Double.NaN));
    }

    /** The fairness bound of the DRR paper: a tenant is off its share by at most a quantum and a job. */
    @Property(tries = 200)
    void noTenantFallsBehindItsShare(@ForAll long seed, @ForAll @IntRange(min = 2, max = 5) int tenants) {
        var random = new Random(seed);
        var weights = random.doubles(tenants, 0.2, 5).toArray();
        var queue = new FairQueue(weights);
        var costs = new HashMap<Long, Double>();
        double highestCost = SECOND;
        for (int tenant = 0; tenant < tenants; tenant++) {
            for (long flow = 10L * tenant; flow <= 10L * tenant + random.nextInt(3); flow++) {
                costs.put(flow, 1_000 * Math.exp(random.nextDouble() * 9));
                highestCost = Math.max(highestCost, costs.get(flow));
                queue.activate(flow, tenant);
            }
        }
        var work = new double[tenants];
        double sum = 0;
        for (double weight : weights) {
            sum += weight;
        }
        double mean = sum / tenants;
        for (int i = 0; i < 5_000; i++) {
            long flow = queue.next(costs::get);
            work[(int) (flow / 10)] += costs.get(flow);
        }
        for (int one = 0; one < tenants; one++) {
            for (int other = 0; other < tenants; other++) {
                double apart = work[one] / weights[one] - work[other] / weights[other];
                double bound = highestCost / mean + highestCost / weights[one] + highestCost / weights[other];
                assertTrue(apart <= 2 * bound, () -> "tenants are further apart than the bound");
            }
        }
    }
}
