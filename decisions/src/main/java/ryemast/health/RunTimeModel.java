package ryemast.health;

/**
 * Model of actual run times given expected ones, over the whole fleet.
 *
 * <p>Run time hints are biased, small ones downwards and large ones upwards; so the logarithm of the actual
 * time is a linear function of the logarithm of the expected one, fitted by least squares with exponentially
 * decaying weights. The residuals are taken as logistic, with heavier tails than the normal distribution: a
 * job that takes ten times as long as most is rare, not impossible.
 */
final class RunTimeModel {

    private static final double DECAY_PER_JOB = 0.99;
    /** Weight of the prior, in jobs: hints are right within a factor of about two. */
    private static final double PRIOR_JOBS = 8;
    private static final double PRIOR_DEVIATION = 0.8;
    private static final double MIN_DEVIATION = 0.25;
    private static final double MAX_DEVIATION = 1.2;
    /** Scale of a logistic distribution with a standard deviation of 1. */
    private static final double LOGISTIC_SCALE = Math.sqrt(3) / Math.PI;

    private double weight;
    private double meanLogExpected;
    private double meanLogActual;
    private double expectedSquares;
    private double crossProducts;
    private double actualSquares;

    /** Records a job that was expected to run for {@code expected} seconds and ran for {@code actual}. */
    void learn(double expected, double actual) {
        double x = Math.log(expected);
        double y = Math.log(Math.max(1e-6, actual));
        weight = weight * DECAY_PER_JOB + 1;
        double offX = x - meanLogExpected;
        double offY = y - meanLogActual;
        meanLogExpected += offX / weight;
        meanLogActual += offY / weight;
        expectedSquares = expectedSquares * DECAY_PER_JOB + offX * (x - meanLogExpected);
        crossProducts = crossProducts * DECAY_PER_JOB + offX * (y - meanLogActual);
        actualSquares = actualSquares * DECAY_PER_JOB + offY * (y - meanLogActual);
    }

    private double slope() {
        double prior = PRIOR_JOBS * PRIOR_DEVIATION * PRIOR_DEVIATION;
        return Math.max(0, Math.min(1.2, (crossProducts + prior) / (expectedSquares + prior)));
    }

    /** The median run time of jobs with this expected one, in seconds. */
    double median(double expected) {
        double x = Math.log(expected);
        double meanOffset = meanLogActual - meanLogExpected;
        double shrunkOffset = weight / (weight + PRIOR_JOBS) * meanOffset;
        return Math.exp(x + shrunkOffset
                + (slope() - 1) * (x - meanLogExpected) * weight / (weight + PRIOR_JOBS));
    }

    private double deviation() {
        double slope = slope();
        double residualSquares = Math.max(0,
                actualSquares - 2 * slope * crossProducts + slope * slope * expectedSquares);
        double variance = (residualSquares + PRIOR_JOBS * PRIOR_DEVIATION * PRIOR_DEVIATION)
                / (weight + PRIOR_JOBS);
        return Math.max(MIN_DEVIATION, Math.min(MAX_DEVIATION, Math.sqrt(variance)));
    }

    /** Survival function: the share of such jobs that run for longer than {@code time} seconds. */
    double survival(double expected, double time) {
        if (time <= 0) {
            return 1;
        }
        double standardized = (Math.log(time) - Math.log(median(expected))) / (LOGISTIC_SCALE * deviation());
        return 1 / (1 + Math.exp(Math.max(-30, Math.min(30, standardized))));
    }
}
