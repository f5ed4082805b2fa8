package ryemast.lab.fit;

import java.util.Arrays;
import java.util.List;
import org.apache.commons.math3.analysis.MultivariateFunction;
import org.apache.commons.math3.linear.Array2DRowRealMatrix;
import org.apache.commons.math3.linear.SingularValueDecomposition;
import org.apache.commons.statistics.distribution.ChiSquaredDistribution;
import org.apache.commons.statistics.distribution.NormalDistribution;
import ryemast.lab.scenario.Scenario.Spread;

/**
 * How the work of a class is distributed. A job that was cut short tells that it would have cost more than
 * was seen (right-censored); leaving it out, or taking it for done, would make heavy tails look light. Each
 * family is fitted by maximum likelihood with those in it, and the best by Akaike's criterion is taken.
 */
final class Works {

    private static final NormalDistribution NORMAL = NormalDistribution.of(0, 1);
    private static final int FEW = 12;
    /** A spread this narrow is the noise of clocks and networks. */
    private static final double NARROW = 0.03;
    private static final double Z = 1.959964;
    private static final double MS = 1e3;
    /** From here the first terms of the tail's series are right to six digits. */
    private static final double FAR_BELOW = -20;
    /** Less than this a clock does not tell. */
    private static final double NOISE = 0.002;
    /**
     * The Pareto of a scenario has a variance; a tail heavier than that is written as the heaviest there is.
     */
    private static final double HEAVIEST_CV = 20;

    /** @param done  whether it ran to its end; else it would have cost more */
    record Sample(double work, boolean done) {
    }

    /**
     * @param meanMs  work of one core of speed 1
     * @param cut     how many of the samples were cut short
     */
    record Fitted(Spread spread, Figure meanMs, Figure cv, long cut, double aic) {
    }

    private Works() {
    }

    /**
     * {@code common}: the standard error of what the works' logarithms may all be off by. Null: too few to
     * tell.
     */
    static Fitted fit(List<Sample> samples, double common) {
        var found = fit(samples);
        if (found == null) {
            return null;
        }
        double mean = found.meanMs.value();
        double low = Math.hypot(Math.log(mean / found.meanMs.low()), Z * common);
        double high = Math.hypot(Math.log(found.meanMs.high() / mean), Z * common);
        return new Fitted(found.spread, new Figure(mean, mean * Math.exp(-low), mean * Math.exp(high),
                found.meanMs.samples(), found.meanMs.what()), found.cv, found.cut, found.aic);
    }

    private static Fitted fit(List<Sample> samples) {
        long done = samples.stream().filter(Sample::done).count();
        if (done < FEW) {
            return null;
        }
        long cut = samples.size() - done;
        Fitted best = narrow(samples, cut);
        if (best != null) {
            return best;
        }
        for (var each : List.of(exponential(samples, cut), lognormal(samples, cut), pareto(samples, cut))) {
            best = best == null || each.aic < best.aic ? each : best;
        }
        return best;
    }

    private static Fitted narrow(List<Sample> samples, long cut) {
        var logs = samples.stream().filter(Sample::done).mapToDouble(each -> Math.log(each.work)).toArray();
        if (cut > 0 || Stats.sigma(logs, "").value() > NARROW) {
            return null;
        }
        var middle = Stats.median(logs, "jobs");
        return new Fitted(Spread.FIXED, new Figure(Math.exp(middle.value()) / 1e3,
                Math.exp(middle.low()) / 1e3,
                Math.exp(middle.high()) / 1e3, samples.size(), "jobs"),
                new Figure(0, 0, NARROW, samples.size(),
                "jobs"), cut, 0);
    }

    /** Total time over events; its interval is exact where nothing was cut (chi squared). */
    private static Fitted exponential(List<Sample> samples, long cut) {
        double total = samples.stream().mapToDouble(Sample::work).sum();
        long done = samples.size() - cut;
        double mean = total / done;
        var chi = ChiSquaredDistribution.of(2.0 * done);
        var figure = new Figure(mean / 1e3, 2 * total / chi.inverseSurvivalProbability(Stats.TAIL) / 1e3,
                2 * total / chi.inverseCumulativeProbability(Stats.TAIL) / 1e3, samples.size(), "jobs");
        return new Fitted(Spread.EXPONENTIAL, figure, new Figure(1, 1, 1, samples.size(),
                "jobs, by the family"),
                cut, 2 + 2 * (done * Math.log(mean) + total / mean));
    }

    private static Fitted lognormal(List<Sample> samples, long cut) {
        var done = samples.stream().filter(Sample::done).mapToDouble(each -> Math.log(each.work)).toArray();
        double mu = Arrays.stream(done).average().orElse(0);
        double s = Math.max(1e-3, Math.sqrt(Stats.variance(done, mu)));
        MultivariateFunction minus = p -> -likelihood(samples, p[0], Math.exp(p[1]));
        var best = Least.of(minus, new double[] {mu, Math.log(s)}, 0.1 * Math.max(s, 0.1), 1e-6);
        double[] at = best.getPoint();
        double sigma = Math.exp(at[1]);
        double[][] variance = inverse(hessian(minus, at));
        // Of mu + s^2 / 2 and of the cv's logarithm, by the delta method on (mu, log s).
        double logMean = at[0] + sigma * sigma / 2;
        double byS = sigma * sigma;
        double error = Z * Math.sqrt(Math.max(0, variance[0][0] + 2 * byS * variance[0][1]
                + byS * byS * variance[1][1]));
        double cv = Math.sqrt(Math.expm1(sigma * sigma));
        double slope = sigma * sigma * Math.exp(sigma * sigma) / (cv * cv);
        double cvError = Z * slope * Math.sqrt(Math.max(0, variance[1][1]));
        double mean = Math.exp(logMean) / 1e3;
        return new Fitted(Spread.LOGNORMAL,
                new Figure(mean, mean * Math.exp(-error), mean * Math.exp(error), samples.size(), "jobs"),
                new Figure(cv, cv * Math.exp(-cvError), cv * Math.exp(cvError), samples.size(), "jobs"), cut,
                4 + 2 * best.getValue());
    }

    private static double likelihood(List<Sample> samples, double mu, double s) {
        double sum = 0;
        for (var each : samples) {
            double log = Math.log(each.work);
            double z = (log - mu) / s;
            sum += each.done ? -z * z / 2 - Math.log(s) - log - 0.9189385332
                    : Math.log(Math.max(1e-300, NORMAL.survivalProbability(z)));
        }
        return sum;
    }

    /** By differences; the likelihoods are smooth on the scale of a thousandth. */
    private static double[][] hessian(MultivariateFunction f, double[] at) {
        double h = 1e-3;
        int n = at.length;
        var found = new double[n][n];
        for (int i = 0; i < n; i++) {
            for (int j = 0; j < n; j++) {
                found[i][j] = (moved(f, at, i, h, j, h) - moved(f, at, i, h, j, -h)
                        - moved(f, at, i, -h, j, h)
                        + moved(f, at, i, -h, j, -h)) / (4 * h * h);
            }
        }
        return found;
    }

    private static double moved(MultivariateFunction f, double[] at, int i, double by, int j, double also) {
        var moved = at.clone();
        moved[i] += by;
        moved[j] += also;
        return f.value(moved);
    }

    private static double[][] inverse(double[][] information) {
        return new SingularValueDecomposition(new Array2DRowRealMatrix(information)).getSolver().getInverse()
                .getData();
    }

    /**
     * The logarithm of a Pareto is a constant and an exponential. What is seen of it is off by what a box's
     * speed and the network add, and one least value that is off would spoil the shape; so a normal error is
     * fitted with it (an exponentially modified Gaussian), small where the data are clean.
     */
    private static Fitted pareto(List<Sample> samples, long cut) {
        double least = samples.stream().filter(Sample::done).mapToDouble(each -> Math.log(each.work)).min()
                .orElse(0);
        double over = samples.stream().mapToDouble(each -> Math.max(0, Math.log(each.work) - least)).sum();
        double shape = (samples.size() - cut) / Math.max(1e-6, over);
        MultivariateFunction minus = p -> -paretoLikelihood(samples, p[0], Math.exp(p[1]), Math.exp(p[2]));
        var best = Least.of(minus, new double[] {least + 0.05, Math.log(shape), Math.log(0.05)}, 0.1, 1e-6);
        var at = best.getPoint();
        shape = Math.exp(at[1]);
        var variance = inverse(hessian(minus, at));
        double shapeError = Z * Math.sqrt(Math.max(0, variance[1][1]));
        double low = shape * Math.exp(-shapeError);
        double high = shape * Math.exp(shapeError);
        double scale = Math.exp(at[0]) / MS;
        double mean = mean(scale, shape);
        double slope = -1 / Math.max(1e-3, shape - 1);
        double error = Z * Math.sqrt(Math.max(0, variance[0][0] + 2 * slope * variance[0][1]
                + slope * slope * variance[1][1]));
        var figure = shape <= 1.05 ? new Figure(mean(scale, 1.05), mean(scale, high),
                Double.POSITIVE_INFINITY,
                samples.size(), "jobs") : new Figure(mean, mean * Math.exp(-error), low <= 1
                ? Double.POSITIVE_INFINITY : mean * Math.exp(error), samples.size(), "jobs");
        return new Fitted(Spread.PARETO, figure, new Figure(cv(shape), cv(high), cv(low), samples.size(),
                "jobs"),
                cut, 6 + 2 * best.getValue());
    }

    private static double paretoLikelihood(List<Sample> samples, double mu, double shape, double noise) {
        double s = Math.max(NOISE, noise);
        double sum = -noise;
        for (var each : samples) {
            double log = Math.log(each.work);
            double z = (log - mu) / s;
            double tail = shape * shape * s * s / 2 - shape * (log - mu) + logBelow(z - shape * s);
            sum += each.done ? Math.log(shape) + tail - log
                    : Math.log(Math.max(1e-300, NORMAL.survivalProbability(z) + Math.exp(Math.min(0, tail))));
        }
        return sum;
    }

    /** The logarithm of the normal's distribution function, also where that is too small for a double. */
    private static double logBelow(double z) {
        return z > FAR_BELOW ? Math.log(NORMAL.cumulativeProbability(z))
                : -z * z / 2 - Math.log(-z * Math.sqrt(2 * Math.PI)) - 1 / (z * z);
    }

    private static double mean(double least, double shape) {
        return shape > 1 ? shape * least / (shape - 1) : Double.POSITIVE_INFINITY;
    }

    private static double cv(double shape) {
        return shape > 2 ? Math.min(HEAVIEST_CV, 1 / Math.sqrt(shape * (shape - 2))) : HEAVIEST_CV;
    }
}
