package ryemast.lab.fit;

import java.util.Arrays;
import org.apache.commons.statistics.distribution.BetaDistribution;
import org.apache.commons.statistics.distribution.BinomialDistribution;
import org.apache.commons.statistics.distribution.TDistribution;

/** Intervals that the fit uses more than once; all of 95%. */
final class Stats {

    static final double TAIL = 0.025;
    /** Ratio of the normal's interquartile range to its sigma. */
    private static final double IQR = 1.3489795;
    private static final double QUARTER = 0.25;

    private Stats() {
    }

    /** Of sorted values; between two of them in proportion. */
    static double quantile(double[] sorted, double part) {
        if (sorted.length == 0) {
            return Double.NaN;
        }
        double at = part * (sorted.length - 1);
        int low = (int) at;
        return low + 1 < sorted.length ? sorted[low] + (at - low) * (sorted[low + 1] - sorted[low])
                : sorted[low];
    }

    static double median(double[] sorted) {
        return quantile(sorted, 0.5);
    }

    /** The median with the interval that order statistics give, whatever the distribution (David, 1981). */
    static Figure median(double[] values, String what) {
        var sorted = values.clone();
        Arrays.sort(sorted);
        int n = sorted.length;
        if (n == 0) {
            return Figure.none(what);
        }
        if (n < 6) {
            return new Figure(median(sorted), Double.NaN, Double.NaN, n, what);
        }
        int below = BinomialDistribution.of(n, 0.5).inverseCumulativeProbability(TAIL);
        // The k-th least lies below the median unless fewer than k values do.
        int low = Math.max(1, below);
        return new Figure(median(sorted), sorted[low - 1], sorted[n - low], n, what);
    }

    /** A mean with Student's interval. */
    static Figure mean(double[] values, String what) {
        int n = values.length;
        if (n == 0) {
            return Figure.none(what);
        }
        double mean = Arrays.stream(values).average().orElse(0);
        if (n < 2) {
            return new Figure(mean, Double.NaN, Double.NaN, n, what);
        }
        double half = student(n - 1) * Math.sqrt(variance(values, mean) / n);
        return new Figure(mean, mean - half, mean + half, n, what);
    }

    static double student(double freedom) {
        return TDistribution.of(freedom).inverseSurvivalProbability(TAIL);
    }

    static double variance(double[] values, double mean) {
        double sum = 0;
        for (double value : values) {
            sum += (value - mean) * (value - mean);
        }
        return values.length < 2 ? 0 : sum / (values.length - 1);
    }

    /** A share with the exact interval (Clopper and Pearson, 1934). */
    static Figure share(long hits, long all, String what) {
        if (all == 0) {
            return Figure.none(what);
        }
        double low = hits == 0 ? 0
                : BetaDistribution.of(hits, all - hits + 1.0).inverseCumulativeProbability(TAIL);
        double high = hits == all ? 1
                : BetaDistribution.of(hits + 1.0, all - hits).inverseSurvivalProbability(TAIL);
        return new Figure((double) hits / all, low, high, all, what);
    }

    /** Sigma of a normal by its quartiles, so that a few wild values say nothing; with its interval. */
    static Figure sigma(double[] values, String what) {
        int n = values.length;
        if (n < 8) {
            return Figure.none(what + "; fewer than 8");
        }
        var sorted = values.clone();
        Arrays.sort(sorted);
        double sigma = (quantile(sorted, 1 - QUARTER) - quantile(sorted, QUARTER)) / IQR;
        // The quartiles' estimate has 1.36 / 2 of sigma^2 / n as its variance, 2.7 times the best one's.
        double error = 1.96 * Math.sqrt(1.36 / n);
        return new Figure(sigma, sigma * Math.exp(-error), sigma * Math.exp(error), n, what);
    }
}
