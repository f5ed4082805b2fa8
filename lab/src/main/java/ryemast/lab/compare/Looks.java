package ryemast.lab.compare;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.statistics.distribution.NormalDistribution;
import org.apache.commons.statistics.distribution.TDistribution;

/**
 * When to look at a comparison, and how sure each look must be, so that all looks together raise a false
 * alarm in 5% at most.
 *
 * <p>A group-sequential design: the error allowed is spent as runs come in, in proportion to them (Lan and
 * DeMets, "Discrete sequential boundaries for clinical trials", Biometrika 70, 1983; the power family of Kim
 * and DeMets with exponent 1). Bounds are found by integrating the partial sums' density from look to look
 * (Armitage, McPherson and Rowe, 1969), for the normal; at each look its nominal level is used with Student's
 * t (the significance level approach of Jennison and Turnbull, chapter 11). Looks double, so that there are
 * few of them.
 */
final class Looks {

    static final double LEVEL = 0.05;

    private static final int FIRST = 8;
    private static final int POINTS = 1_201;
    private static final NormalDistribution NORMAL = NormalDistribution.of(0, 1);

    private final List<Integer> runs = new ArrayList<>();
    private final List<Double> nominal = new ArrayList<>();

    /** {@code most}: runs of the last look. */
    Looks(int most) {
        for (int n = FIRST; n < most; n *= 2) {
            // A look shortly before the last would cost error and bring little.
            if (n * 4L <= most * 3L) {
                runs.add(n);
            }
        }
        runs.add(most);
        bounds();
    }

    /** After how many runs, in order. */
    List<Integer> runs() {
        return runs;
    }

    /** The error, on both sides together, that an interval at this look may have. */
    double nominal(int look) {
        return nominal.get(look);
    }

    /** Student's quantile for this look. */
    double quantile(int look, int count) {
        return TDistribution.of(count - 1.0).inverseSurvivalProbability(nominal.get(look) / 2);
    }

    private void bounds() {
        int most = runs.get(runs.size() - 1);
        double[] at = {0};
        double[] weight = {1};
        double before = 0;
        for (int look = 0; look < runs.size(); look++) {
            double now = (double) runs.get(look) / most;
            double spend = LEVEL * (now - before);
            double step = Math.sqrt(now - before);
            double bound = bound(at, weight, step, spend);
            nominal.add(2 * NORMAL.survivalProbability(bound / Math.sqrt(now)));
            if (look + 1 < runs.size()) {
                var nextAt = new double[POINTS];
                var nextWeight = new double[POINTS];
                double width = 2 * bound / (POINTS - 1);
                for (int i = 0; i < POINTS; i++) {
                    nextAt[i] = -bound + i * width;
                    double density = 0;
                    for (int j = 0; j < at.length; j++) {
                        density += weight[j] * NORMAL.density((nextAt[i] - at[j]) / step) / step;
                    }
                    nextWeight[i] = density * width * (i == 0 || i == POINTS - 1 ? 0.5 : 1);
                }
                at = nextAt;
                weight = nextWeight;
            }
            before = now;
        }
    }

    /** The bound that the sum leaves with just the probability to be spent. */
    private static double bound(double[] at, double[] weight, double step, double spend) {
        double low = 0;
        double high = 10;
        for (int i = 0; i < 60; i++) {
            double middle = (low + high) / 2;
            double left = 0;
            for (int j = 0; j < at.length; j++) {
                left += weight[j] * (NORMAL.survivalProbability((middle - at[j]) / step)
                        + NORMAL.cumulativeProbability((-middle - at[j]) / step));
            }
            if (left > spend) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return (low + high) / 2;
    }

    @Override
    public String toString() {
        return runs + " at " + Arrays.toString(nominal.toArray());
    }
}
