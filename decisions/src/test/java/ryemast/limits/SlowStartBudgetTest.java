package ryemast.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A worker with one slot of speed 1 in a slow start of 20 s, with jobs of 0.9 s on average. */
class SlowStartBudgetTest {

    private static final long SECOND = 1_000_000;
    private static final long STARTED = 100 * SECOND;
    private static final double MEAN = 0.9;
    private static final double MULTIPLE = 4;
    private static final double SMALL = 0.05;

    private static SlowStartBudget budget(int self, int dispatchers) {
        return new SlowStartBudget(self, dispatchers, 20 * SECOND, 0.13, MULTIPLE, SECOND, true);
    }

    private static boolean allows(int self, int dispatchers, double job, double sent, long age) {
        return budget(self, dispatchers).allows(77, STARTED, 1, MEAN, job, sent, 0, STARTED + age);
    }

    /** The number of mean calls at which it collapses, as stated by the operators; it never takes 30 here. */
    private static double rule(int dispatchers, long age) {
        double calls = MULTIPLE * budget(0, dispatchers).warmUp(STARTED, STARTED + age) / MEAN;
        return calls + 3 * Math.sqrt(calls) + 3;
    }

    /** The budget used by a job: a small one counts as one call, a large one by its work. */
    private static double calls(double job) {
        return Math.max(1, job / MEAN);
    }

    private static int allowed(int dispatchers, double job, long age) {
        int sum = 0;
        for (int self = 0; self < dispatchers; self++) {
            sum += allows(self, dispatchers, job, 0, age) ? 1 : 0;
        }
        return sum;
    }

    /**
     * Guards against a new worker that is idle until warm because no dispatcher may send a job larger than
     * the budget.
     */
    @Test
    void manyDispatchersSendSmallJobsFromTheStartAndLargeOnesLater() {
        for (long age = 0; age < 20 * SECOND; age += SECOND / 2) {
            assertTrue(allowed(100, SMALL, age) >= 1, "at the age of " + age);
        }
        assertTrue(allowed(100, SMALL, 5 * SECOND) >= 2);
        assertEquals(0, allowed(100, 2, 0));
        assertTrue(allowed(100, 2, 5 * SECOND) > 0);
    }

    /**
     * Guards against overload by small jobs: twenty of them from as many dispatchers overload a worker that
     * takes nine calls.
     */
    @ParameterizedTest
    @ValueSource(ints = {5, 30, 100, 300})
    void aSmallJobUsesUpAsMuchAsAMeanOne(int dispatchers) {
        for (long age = 0; age < 20 * SECOND; age += SECOND) {
            assertEquals(allowed(dispatchers, MEAN, age), allowed(dispatchers, SMALL, age),
                    "at the age of " + age);
        }
    }

    @Test
    void aDispatcherThatSentOrStartedWithinTheWindowMayNotSend() {
        long now = STARTED + 2 * SECOND + SECOND / 2;
        for (int self = 0; self < 100; self++) {
            assertFalse(allows(self, 100, SMALL, MEAN, 3 * SECOND));
            assertFalse(budget(self, 100).allows(77, STARTED, 1, MEAN, SMALL, 0, now - SECOND / 2 + 1, now));
        }
    }

    /**
     * Every dispatcher that may send does so at the end of one window, and again at the start of the next.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 30, 100, 300})
    void jobsOfOneSizeKeepTheRuleInAnyTwoWindows(int dispatchers) {
        for (double job = 0.01; job < 3; job *= 1.3) {
            for (long age = SECOND; age < 20 * SECOND; age += SECOND / 4) {
                double sum = 0;
                for (int self = 0; self < dispatchers; self++) {
                    boolean before = allows(self, dispatchers, job, 0, age / SECOND * SECOND - 1);
                    boolean after = allows(self, dispatchers, job, before ? MEAN : 0, age);
                    sum += (before ? calls(job) : 0) + (after ? calls(job) : 0);
                }
                double rule = rule(dispatchers, age);
                assertTrue(sum <= rule * 1.001, sum + " of " + rule + " by jobs of " + job + " at " + age);
            }
        }
    }

    /** Each dispatcher has ten jobs a second, of any size that may be allowed, all for this worker. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 30, 100, 300})
    void allDispatchersTogetherKeepTheRule(int dispatchers) {
        var random = new Random(dispatchers);
        var sent = new ArrayDeque<double[]>();
        var own = new ArrayList<ArrayDeque<double[]>>();
        for (int self = 0; self < dispatchers; self++) {
            own.add(new ArrayDeque<>());
        }
        double worst = 0;
        for (long age = 0; age < 20 * SECOND; age += SECOND / 50) {
            double rule = rule(dispatchers, age);
            for (int self = 0; self < dispatchers; self++) {
                double job = MEAN * rule / 2 * random.nextDouble();
                if (random.nextInt(5) == 0 && allows(self, dispatchers, job, sum(own.get(self), age), age)) {
                    sent.add(new double[] {age, calls(job)});
                    own.get(self).add(new double[] {age, Math.max(job, MEAN)});
                }
            }
            worst = Math.max(worst, sum(sent, age) / rule);
        }
        assertTrue(worst > 0.2 && worst <= 1, worst + " of the rule");
    }

    private static double sum(ArrayDeque<double[]> sent, long age) {
        while (!sent.isEmpty() && sent.peek()[0] <= age - SECOND) {
            sent.poll();
        }
        return sent.stream().mapToDouble(each -> each[1]).sum();
    }

    @Test
    void drawWeightCompensatesForDispatchersThatMayNotSend() {
        for (double job : new double[] {0.01, MEAN, 1.2 * MEAN}) {
            double weight = budget(0, 100).drawWeight(STARTED, 1, MEAN, job, STARTED + 10 * SECOND);
            assertEquals(100, weight * allowed(100, job, 10 * SECOND), 30);
        }
        assertEquals(1, budget(0, 1).drawWeight(STARTED, 1, MEAN, MEAN, STARTED));
    }
}
