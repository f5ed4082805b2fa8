package ryemast.lab.choices;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.SplittableRandom;
import ryemast.limits.SlowStartBudget;

/**
 * How near all dispatchers together come to pushing over one cold worker, if each keeps to the cold budget
 * and sends it whatever that allows: jobs of sizes over nearly three decades, with the mean of the budget's
 * test.
 */
final class ColdRule {

    private static final long SECOND = 1_000_000;
    private static final long STEP = SECOND / 50;
    private static final long COLD = 20 * SECOND;
    private static final double MEAN = 0.9;
    private static final double SMALLEST = 0.01;
    /** So that the mean of sizes drawn evenly by their logarithm is {@link #MEAN}. */
    private static final double DECADES = 2.75;
    private static final double MULTIPLE = 4;
    private static final int RUNS = 5;

    private ColdRule() {
    }

    /** The most work received within a window, over what pushes the worker over; above 1 it would fall. */
    static double worst(int members, double jobsASecond) {
        double worst = 0;
        for (int run = 0; run < RUNS; run++) {
            worst = Math.max(worst, worst(members, jobsASecond, new SplittableRandom(run)));
        }
        return worst;
    }

    private static double worst(int members, double jobsASecond, SplittableRandom random) {
        int code = random.nextInt();
        var budgets = new ArrayList<SlowStartBudget>();
        var own = new ArrayList<ArrayDeque<double[]>>();
        for (int self = 0; self < members; self++) {
            budgets.add(new SlowStartBudget(self, members, COLD, 0.13, MULTIPLE, SECOND, true));
            own.add(new ArrayDeque<>());
        }
        var all = new ArrayDeque<double[]>();
        double worst = 0;
        for (long now = SECOND; now < SECOND + COLD; now += STEP) {
            for (int self = 0; self < members; self++) {
                double size = SMALLEST * Math.pow(10, DECADES * random.nextDouble());
                double sent = sum(own.get(self), now);
                if (random.nextDouble() < jobsASecond * STEP / SECOND
                        && budgets.get(self).allows(code, SECOND, 1, MEAN, size, sent, 0, now)) {
                    own.get(self).add(new double[] {now, Math.max(MEAN, size)});
                    all.add(new double[] {now, size});
                }
            }
            worst = Math.max(worst, sum(all, now) / rule(budgets.get(0).warmUp(SECOND, now)));
        }
        return worst;
    }

    /** The work that pushes it over, as the operators state it: two roots and two jobs for chance. */
    private static double rule(double warmth) {
        double jobs = MULTIPLE * warmth / MEAN;
        return MEAN * (jobs + 2 * Math.sqrt(jobs) + 2);
    }

    private static double sum(ArrayDeque<double[]> sent, long now) {
        while (!sent.isEmpty() && sent.peek()[0] <= now - SECOND) {
            sent.poll();
        }
        return sent.stream().mapToDouble(each -> each[1]).sum();
    }
}
