package ryemast.lab.compare;

import java.util.Arrays;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.commons.statistics.distribution.NormalDistribution;
import org.apache.commons.statistics.distribution.TDistribution;

/**
 * Differences of the two arms, A less B, run by run on the same draws: mean and 95% intervals; immutable.
 *
 * <p>Two intervals: Student's t, and the bias-corrected and accelerated bootstrap (BCa; Efron, JASA 82, 1987),
 * which follows skewed differences. Of the two the wider end on each side is given as {@code low} and
 * {@code high}, as both are too narrow on one side where costs have heavy tails and runs are few.
 *
 * @param chance  that A's mean is higher, given the runs (Student's t, a flat prior)
 * @param wins    the part of the runs in which A's figure is higher; ties count half
 */
public record Paired(int runs, double mean, double deviation, double tLow, double tHigh, double bcaLow,
        double bcaHigh, double chance, double wins) {

    private static final double TAIL = 0.025;
    private static final int RESAMPLES = 4_000;
    private static final NormalDistribution NORMAL = NormalDistribution.of(0, 1);

    public static Paired of(double[] differences) {
        int n = differences.length;
        if (n == 0) {
            return new Paired(0, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN,
                    Double.NaN);
        }
        double mean = Arrays.stream(differences).average().orElse(0);
        double wins = Arrays.stream(differences).map(d -> d > 0 ? 1 : d < 0 ? 0 : 0.5).sum() / n;
        if (n < 2) {
            return new Paired(n, mean, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, wins);
        }
        double squares = Arrays.stream(differences).map(d -> (d - mean) * (d - mean)).sum();
        double deviation = Math.sqrt(squares / (n - 1));
        if (deviation == 0) {
            return new Paired(n, mean, 0, mean, mean, mean, mean, mean > 0 ? 1 : mean < 0 ? 0 : 0.5, wins);
        }
        var student = TDistribution.of(n - 1.0);
        double error = deviation / Math.sqrt(n);
        double half = student.inverseSurvivalProbability(TAIL) * error;
        var bca = bca(differences, mean);
        return new Paired(n, mean, deviation, mean - half, mean + half, bca[0], bca[1],
                student.cumulativeProbability(mean / error), wins);
    }

    public double low() {
        return Math.min(tLow, bcaLow);
    }

    public double high() {
        return Math.max(tHigh, bcaHigh);
    }

    /** How far the interval at a look reaches from the mean. */
    double half(double quantile) {
        return runs < 2 ? Double.NaN : quantile * deviation / Math.sqrt(runs);
    }

    private static double[] bca(double[] values, double mean) {
        int n = values.length;
        var random = RandomSource.XO_RO_SHI_RO_128_PP.create(n);
        var means = new double[RESAMPLES];
        int below = 0;
        for (int i = 0; i < RESAMPLES; i++) {
            double sum = 0;
            for (int j = 0; j < n; j++) {
                sum += values[random.nextInt(n)];
            }
            means[i] = sum / n;
            below += means[i] < mean ? 1 : 0;
        }
        Arrays.sort(means);
        double bias = NORMAL.inverseCumulativeProbability(Math.max(1, Math.min(RESAMPLES - 1, below))
                / (double) RESAMPLES);
        // The jackknife's acceleration; means without one value differ from the mean by (mean - value) / (n - 1).
        double cubes = 0;
        double squares = 0;
        for (double value : values) {
            double off = (value - mean) / (n - 1);
            cubes += off * off * off;
            squares += off * off;
        }
        double acceleration = squares == 0 ? 0 : cubes / (6 * Math.pow(squares, 1.5));
        return new double[] {end(means, bias, acceleration, NORMAL.inverseCumulativeProbability(TAIL)),
            end(means, bias, acceleration, NORMAL.inverseSurvivalProbability(TAIL))};
    }

    private static double end(double[] sorted, double bias, double acceleration, double z) {
        double moved = bias + (bias + z) / (1 - acceleration * (bias + z));
        double part = NORMAL.cumulativeProbability(moved);
        return sorted[(int) Math.max(0, Math.min(sorted.length - 1, Math.floor(part * sorted.length)))];
    }
}
