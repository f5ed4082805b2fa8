package ryemast.lab.fit;

import java.util.Arrays;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.apache.commons.math3.analysis.MultivariateFunction;
import org.apache.commons.math3.optim.PointValuePair;
import ryemast.lab.scenario.Scenario.Shape;

/**
 * When jobs come: how many a second, and whether that stays, swings as a wave, or leaps between high and low.
 *
 * <p>Each is a Poisson process whose rate is a function of time, a hidden one where it leaps (a
 * Markov-modulated Poisson process of two states; its likelihood by the forward recursion, Rabiner 1989). All
 * three are fitted to the same counts by maximum likelihood and compared by Akaike's criterion; the intervals
 * of swing and period are profile likelihood's. The rate's own is that of batch means, so that swings shorter
 * than a batch are in it.
 */
final class Shapes {

    private static final int BATCHES = 20;
    private static final int FEW = 60;
    private static final double SHORTEST_BIN = 0.25;
    private static final int MOST_BINS = 20_000;
    private static final double SHORTEST_PERIOD = 1.5;
    private static final double HALF = 0.5;
    /**
     * Akaike's criterion must be better by this, or the simpler shape is taken: the best of a hundred
     * frequencies is better by chance, and this is reached by one steady recording in a hundred.
     */
    private static final double CLEARLY = 12;
    /** Half of chi squared's 95%. */
    private static final double DROP = 1.92;
    private static final double FORBIDDEN = 1e12;
    private static final double CLOSE = 1e-4;
    /** The ends of an interval are looked for in steps of a value's part that grow. */
    private static final double FIRST_STEP = 0.001;
    private static final double LONGEST_STEP = 0.1;
    private static final int MOST_STEPS = 80;

    record Fitted(Figure rate, Shape shape, Figure swing, Figure periodS) {
    }

    private final double[] counts;
    private final double width;
    private final double length;

    private Shapes(double[] at, double length) {
        this.length = length;
        int bins = (int) Math.max(4, Math.min(MOST_BINS, length / SHORTEST_BIN));
        width = length / bins;
        counts = new double[bins];
        for (double each : at) {
            counts[Math.min(bins - 1, Math.max(0, (int) (each / width)))]++;
        }
    }

    static Fitted fit(double[] atS, double lengthS) {
        var rate = rate(atS, lengthS);
        if (atS.length < FEW || lengthS < 4 * SHORTEST_PERIOD) {
            return new Fitted(rate, Shape.STEADY, Figure.none("too few jobs"), Figure.none("too few jobs"));
        }
        return new Shapes(atS, lengthS).fit(rate, atS);
    }

    private static Figure rate(double[] at, double length) {
        double error = 1.96 * Math.sqrt(Math.max(1, at.length)) / length;
        double rate = at.length / length;
        if (at.length < FEW) {
            return new Figure(rate, Math.max(0, rate - error), rate + error, at.length,
                    "jobs, taken as Poisson");
        }
        var rates = new double[BATCHES];
        for (double each : at) {
            rates[Math.min(BATCHES - 1, (int) (each / length * BATCHES))] += BATCHES / length;
        }
        var mean = Stats.mean(rates, "");
        // Batches that vary less than a Poisson process would do so by chance.
        double half = Math.max(error, (mean.high() - mean.low()) / 2);
        return new Figure(rate, rate - half, rate + half, at.length, "jobs");
    }

    private Fitted fit(Figure rate, double[] at) {
        double mean = rate.value() * width;
        double steady = 0;
        for (double count : counts) {
            steady += count * Math.log(mean) - mean;
        }
        var wave = Least.of(this::wave, waveStart(at, mean), 0.05, CLOSE);
        var leaps = leapsBest(mean);
        double steadyAic = 2 - 2 * steady;
        double waveAic = 8 + 2 * wave.getValue();
        double leapsAic = 6 + 2 * leaps.getValue();
        if (Math.min(waveAic, leapsAic) > steadyAic - CLEARLY) {
            return new Fitted(rate, Shape.STEADY, Figure.none("no swing beyond chance"),
                    Figure.none("no swing beyond chance"));
        }
        boolean isWave = waveAic < leapsAic;
        MultivariateFunction minus = isWave ? this::wave : this::leaps;
        var point = isWave ? wave : leaps;
        return new Fitted(rate, isWave ? Shape.WAVE : Shape.BURSTY,
                profile(minus, point, 1, 0, 1, rate.samples()), profile(minus, point, 2, 0, Double.MAX_VALUE,
                rate.samples()));
    }

    /** Mean count, swing, logarithm of the period, phase. */
    private double wave(double[] p) {
        if (p[0] <= 0 || p[1] < 0 || p[1] > 1) {
            return FORBIDDEN;
        }
        double turn = 2 * Math.PI / Math.exp(p[2]);
        double sum = 0;
        for (int i = 0; i < counts.length; i++) {
            double rate = Math.max(1e-9, p[0] * (1 + p[1] * Math.sin(turn * (i + HALF) * width + p[3])));
            sum += rate - counts[i] * Math.log(rate);
        }
        return sum;
    }

    /** Mean count, swing, logarithm of the period; scaled as it goes, so that nothing gets too small. */
    private double leaps(double[] p) {
        if (p[0] <= 0 || p[1] < 0 || p[1] > 1 || p[2] < Math.log(SHORTEST_PERIOD / 4)
                || p[2] > Math.log(100 * length)) {
            return FORBIDDEN;
        }
        double high = p[0] * (1 + p[1]);
        double low = Math.max(1e-9, p[0] * (1 - p[1]));
        double leap = HALF * (1 - Math.exp(-4 * width / Math.exp(p[2])));
        double isHigh = HALF;
        double sum = 0;
        double logs = Math.log(low / high);
        for (double count : counts) {
            isHigh = isHigh * (1 - leap) + (1 - isHigh) * leap;
            // Against the high rate, so that one exponential is enough.
            double ratio = Math.exp(Math.min(700, count * logs + high - low));
            double both = isHigh + (1 - isHigh) * ratio;
            sum += high - count * Math.log(high) - Math.log(both);
            isHigh /= both;
        }
        return sum;
    }

    /** The strongest frequency, of those that turn at least one and a half times. */
    private double[] waveStart(double[] at, double mean) {
        double most = 0;
        double[] start = {mean, HALF / 2, Math.log(length / 2), 0};
        double step = Math.max(0.25, length / SHORTEST_PERIOD / 2_000);
        for (double waves = 1.5; length / waves >= SHORTEST_PERIOD; waves += step) {
            double turn = 2 * Math.PI * waves / length;
            double cos = 0;
            double sin = 0;
            for (int i = 0; i < counts.length; i++) {
                double off = counts[i] - mean;
                cos += off * Math.cos(turn * (i + HALF) * width);
                sin += off * Math.sin(turn * (i + HALF) * width);
            }
            double power = cos * cos + sin * sin;
            if (power > most) {
                most = power;
                double swing = Math.min(0.95, 2 * Math.sqrt(power) / at.length);
                start = new double[] {mean, swing, Math.log(length / waves), Math.atan2(cos, sin)};
            }
        }
        return start;
    }

    /** From several periods, as the likelihood may have several hills. */
    private PointValuePair leapsBest(double mean) {
        PointValuePair best = null;
        for (double period = 3; period < length; period *= 3) {
            var found = Least.of(this::leaps, new double[] {mean, 0.3, Math.log(period)}, 0.1, CLOSE);
            best = best == null || found.getValue() < best.getValue() ? found : best;
        }
        return best;
    }

    /** All values of one parameter with which the others can still make the likelihood nearly the best. */
    private static Figure profile(MultivariateFunction minus, PointValuePair best, int which, double least,
            double most, long samples) {
        boolean isLog = which == 2;
        double value = isLog ? Math.exp(best.getPoint()[which]) : best.getPoint()[which];
        double low = end(minus, best, which, isLog, -1, least);
        double high = end(minus, best, which, isLog, 1, most);
        return new Figure(value, low, high, samples, "jobs");
    }

    private static double end(MultivariateFunction minus, PointValuePair best, int which, boolean isLog,
            int way, double limit) {
        double value = isLog ? Math.exp(best.getPoint()[which]) : best.getPoint()[which];
        double last = best.getValue();
        var from = best.getPoint();
        double step = FIRST_STEP;
        for (int i = 0; i < MOST_STEPS; i++) {
            double before = value;
            value *= Math.exp(way * step);
            step = Math.min(LONGEST_STEP, step * 1.5);
            if (way > 0 ? value >= limit : value <= Math.max(limit, 1e-3)) {
                return limit;
            }
            double at = isLog ? Math.log(value) : value;
            var others = without(from, which);
            var found = Least.of(p -> minus.value(with(p, which, at)), others, 0.02, CLOSE);
            from = with(found.getPoint(), which, at);
            double drop = found.getValue() - best.getValue();
            if (drop > DROP) {
                // Likelihoods fall as squares do.
                double near = Math.sqrt(Math.max(0, last - best.getValue()));
                double part = (Math.sqrt(DROP) - near) / Math.max(1e-9, Math.sqrt(drop) - near);
                return before + Math.max(0, Math.min(1, part)) * (value - before);
            }
            last = found.getValue();
        }
        return way > 0 ? Double.POSITIVE_INFINITY : 0;
    }

    private static double[] without(double[] p, int which) {
        var others = new double[p.length - 1];
        for (int i = 0; i < others.length; i++) {
            others[i] = p[i < which ? i : i + 1];
        }
        return others;
    }

    private static double[] with(double[] others, int which, double value) {
        var all = new double[others.length + 1];
        for (int i = 0; i < all.length; i++) {
            all[i] = i == which ? value : others[i < which ? i : i - 1];
        }
        return all;
    }

    /** Shares of all, each with its own exact interval. */
    static <T> Figure[] shares(List<T> all, int groups, ToDoubleFunction<T> group, String what) {
        var counts = new long[groups];
        all.forEach(each -> {
            int of = (int) group.applyAsDouble(each);
            if (of >= 0 && of < groups) {
                counts[of]++;
            }
        });
        return Arrays.stream(counts).mapToObj(count -> Stats.share(count, all.size(), what))
                .toArray(Figure[]::new);
    }
}
