package ryemast.lab.compare;

import java.util.Arrays;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.commons.statistics.distribution.TDistribution;

/**
 * Differences of the two arms, A less B, run by run on the same draws: mean and 95% intervals; immutable.
 *
 * <p>Two intervals: Student's t, and the studentized bootstrap (Efron and Tibshirani, "An Introduction to the
 * Bootstrap", 12.5), which follows skewed differences better than BCa does with few runs: where costs have
 * heavy tails, one side of the others is too short. Of the two the wider end on each side is given as
 * {@code low} and {@code high}.
 *
 * @param chance  that A's mean is higher, given the runs (Student's t, a flat prior)
 * @param wins    the part of the runs in which A's figure is higher; ties count half
 */
public record Paired(int runs, double mean, double deviation, double tLow, double tHigh, double bootLow,
        double bootHigh, double chance, double wins) {

    private static final double TAIL = 0.025;
    private static final int RESAMPLES = 4_000;
    /** So many standard errors are as good as any number of them, and are still to be drawn. */
    private static final double MOST = 50;

    public static Paired of(double[] differences) {
        int n = differences.length;
        if (n == 0) {
            return new Paired(0, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN,
                    Double.NaN,
                    Double.NaN);
        }
        double mean = Arrays.stream(differences).average().orElse(0);
        double wins = Arrays.stream(differences).map(d -> d > 0 ? 1 : d < 0 ? 0 : 0.5).sum() / n;
        if (n < 2) {
            return new Paired(n, mean, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN,
                    wins);
        }
        double squares = Arrays.stream(differences).map(d -> (d - mean) * (d - mean)).sum();
        double deviation = Math.sqrt(squares / (n - 1));
        if (deviation == 0) {
            return new Paired(n, mean, 0, mean, mean, mean, mean, mean > 0 ? 1 : mean < 0 ? 0 : 0.5, wins);
        }
        var student = TDistribution.of(n - 1.0);
        double error = deviation / Math.sqrt(n);
        double half = student.inverseSurvivalProbability(TAIL) * error;
        var boot = studentized(differences, mean, error);
        return new Paired(n, mean, deviation, mean - half, mean + half, boot[0], boot[1],
                student.cumulativeProbability(mean / error), wins);
    }

    public double low() {
        return Math.min(tLow, bootLow);
    }

    public double high() {
        return Math.max(tHigh, bootHigh);
    }

    /** How far the interval at a look reaches from the mean. */
    double half(double quantile) {
        return runs < 2 ? Double.NaN : quantile * deviation / Math.sqrt(runs);
    }

    /** What Student's quantiles would be if the differences seen were all that there are. */
    private static double[] studentized(double[] values, double mean, double error) {
        int n = values.length;
        var random = RandomSource.XO_RO_SHI_RO_128_PP.create(n);
        var quotients = new double[RESAMPLES];
        for (int i = 0; i < RESAMPLES; i++) {
            double sum = 0;
            double squares = 0;
            for (int j = 0; j < n; j++) {
                double off = values[random.nextInt(n)] - mean;
                sum += off;
                squares += off * off;
            }
            double again = Math.sqrt(Math.max(0, (squares - sum * sum / n) / (n - 1) / n));
            // All alike by chance: as far off as can be, on the side where they lie.
            quotients[i] = again > 0 ? sum / n / again : sum == 0 ? 0 : Math.copySign(Double.MAX_VALUE, sum);
        }
        Arrays.sort(quotients);
        double low = quotients[(int) (TAIL * RESAMPLES)];
        double high = quotients[(int) ((1 - TAIL) * RESAMPLES)];
        return new double[] {mean - Math.min(MOST, high) * error, mean - Math.max(-MOST, low) * error};
    }
}
