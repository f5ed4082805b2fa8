package ryemast.health;

/**
 * How long jobs run against what was expected of them, over the whole fleet.
 *
 * <p>Hints err, small ones downwards and large ones upwards, as rough guesses do; so the logarithm of the
 * time is a line in that of the guess, fitted by least squares in which old jobs fade. What is left over
 * is taken as logistic, whose tails are heavier than the normal's: a job that takes ten times as long as most
 * is rare, not impossible.
 */
final class RunTimes {

    private static final double FADE = 0.99;
    /** So many jobs the first guess is worth: hints that are right, but for a factor of two or so. */
    private static final double PRIOR_JOBS = 8;
    private static final double PRIOR_SPREAD = 0.8;
    private static final double LEAST_SPREAD = 0.25;
    private static final double MOST_SPREAD = 1.2;
    /** The logistic's scale for a given standard deviation. */
    private static final double SCALE = Math.sqrt(3) / Math.PI;

    private double jobs;
    private double meanGuess;
    private double meanTime;
    private double guessSquares;
    private double products;
    private double timeSquares;

    /** A job guessed at {@code guess} seconds has run for {@code time} seconds. */
    void learn(double guess, double time) {
        double x = Math.log(guess);
        double y = Math.log(Math.max(1e-6, time));
        jobs = jobs * FADE + 1;
        double offX = x - meanGuess;
        double offY = y - meanTime;
        meanGuess += offX / jobs;
        meanTime += offY / jobs;
        guessSquares = guessSquares * FADE + offX * (x - meanGuess);
        products = products * FADE + offX * (y - meanTime);
        timeSquares = timeSquares * FADE + offY * (y - meanTime);
    }

    private double slope() {
        double prior = PRIOR_JOBS * PRIOR_SPREAD * PRIOR_SPREAD;
        return Math.max(0, Math.min(1.2, (products + prior) / (guessSquares + prior)));
    }

    /** The median time of a job so guessed, in seconds. */
    double median(double guess) {
        double x = Math.log(guess);
        double off = meanTime - meanGuess;
        double common = jobs / (jobs + PRIOR_JOBS) * off;
        return Math.exp(x + common + (slope() - 1) * (x - meanGuess) * jobs / (jobs + PRIOR_JOBS));
    }

    private double spread() {
        double slope = slope();
        double left = Math.max(0, timeSquares - 2 * slope * products + slope * slope * guessSquares);
        double variance = (left + PRIOR_JOBS * PRIOR_SPREAD * PRIOR_SPREAD) / (jobs + PRIOR_JOBS);
        return Math.max(LEAST_SPREAD, Math.min(MOST_SPREAD, Math.sqrt(variance)));
    }

    /** The part of such jobs that run longer than {@code time} seconds. */
    double longer(double guess, double time) {
        if (time <= 0) {
            return 1;
        }
        double off = (Math.log(time) - Math.log(median(guess))) / (SCALE * spread());
        return 1 / (1 + Math.exp(Math.max(-30, Math.min(30, off))));
    }
}
