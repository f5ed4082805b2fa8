package ryemast.lab.fit;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Finds where the middle of a series leaps: binary segmentation by the likelihood ratio of one mean against
 * two, on values whose wild ones are cut to three sigma. A leap's place has the interval in which its
 * likelihood ratio stays within 7.35 of the best (Hansen, "Sample splitting and threshold estimation", 2000).
 */
final class Steps {

    /** Fewer values on one side of a leap say nothing. */
    private static final int LEAST = 8;
    /** Chance alone leaps this high, at some place of some box, in less than one recording of a hundred. */
    private static final double BAR = 22;
    private static final double PLACE = 7.35;
    private static final double WILD = 3;

    /** From the first value of it to before the last; the start lies between two of the values before. */
    record Stretch(int from, int to, int fromEarliest, int fromLatest) {
    }

    private final double[] sums;
    private final double sigma;
    private final double bar;
    /** Where it leaps, in order. */
    private final List<Integer> leaps = new ArrayList<>();

    private Steps(double[] values, double sigma, int series) {
        this.sigma = sigma;
        bar = BAR + 2 * Math.log(Math.max(1, series));
        sums = new double[values.length + 1];
        for (int i = 0; i < values.length; i++) {
            sums[i + 1] = sums[i] + values[i];
        }
    }

    /** {@code series}: how many are looked at beside this one, each with chances of its own. */
    static List<Stretch> find(double[] values, int series) {
        var diffs = new double[Math.max(0, values.length - 1)];
        for (int i = 0; i < diffs.length; i++) {
            diffs[i] = (values[i + 1] - values[i]) / Math.sqrt(2);
        }
        // Leaps hardly show in the differences of neighbours, so that these tell the noise.
        double sigma = Math.max(1e-6, Stats.sigma(diffs, "").value());
        if (values.length < 2 * LEAST || Double.isNaN(sigma)) {
            return List.of(new Stretch(0, values.length, 0, 0));
        }
        var cut = new double[values.length];
        for (int i = 0; i < cut.length; i++) {
            double near = local(values, i);
            cut[i] = Math.max(near - WILD * sigma, Math.min(near + WILD * sigma, values[i]));
        }
        var steps = new Steps(cut, sigma, series);
        steps.split(0, values.length);
        return steps.stretches(values.length);
    }

    /** The median of the values about one. */
    private static double local(double[] values, int i) {
        int reach = LEAST / 2;
        var some = Arrays.copyOfRange(values, Math.max(0, i - reach), Math.min(values.length, i + reach + 1));
        Arrays.sort(some);
        return Stats.median(some);
    }

    private void split(int from, int to) {
        int best = best(from, to);
        if (best < 0 || ratio(from, best, to) <= bar) {
            return;
        }
        split(from, best);
        leaps.add(best);
        split(best, to);
    }

    private int best(int from, int to) {
        int best = -1;
        double most = 0;
        for (int at = from + LEAST; at <= to - LEAST; at++) {
            double ratio = ratio(from, at, to);
            if (ratio > most) {
                most = ratio;
                best = at;
            }
        }
        return best;
    }

    /**
     * Each leap is placed anew between its neighbours, as others pulled at it when it was found (Bai, 1997).
     */
    private List<Stretch> stretches(int length) {
        for (int i = 0; i < leaps.size(); i++) {
            int better = best(i == 0 ? 0 : leaps.get(i - 1), i + 1 < leaps.size() ? leaps.get(i + 1)
                    : length);
            leaps.set(i, better < 0 ? leaps.get(i) : better);
        }
        var found = new ArrayList<Stretch>();
        for (int i = 0; i <= leaps.size(); i++) {
            int from = i == 0 ? 0 : leaps.get(i - 1);
            int to = i < leaps.size() ? leaps.get(i) : length;
            found.add(i == 0 ? new Stretch(0, to, 0, 0) : placed(i == 1 ? 0 : leaps.get(i - 2), from, to));
        }
        return List.copyOf(found);
    }

    private Stretch placed(int before, int from, int to) {
        double most = ratio(before, from, to);
        int first = from;
        int last = from;
        for (int at = before + 1; at < to; at++) {
            if (ratio(before, at, to) >= most - PLACE) {
                first = Math.min(first, at);
                last = Math.max(last, at);
            }
        }
        return new Stretch(from, to, first, last);
    }

    private double ratio(int from, int at, int to) {
        double left = (sums[at] - sums[from]) / (at - from);
        double right = (sums[to] - sums[at]) / (to - at);
        double weight = 1.0 / (1.0 / (at - from) + 1.0 / (to - at));
        return (left - right) * (left - right) * weight / (sigma * sigma);
    }
}
