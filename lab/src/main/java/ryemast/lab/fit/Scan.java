package ryemast.lab.fit;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Finds stretches of time in which something happened to a larger share than at other times: the scan
 * statistic of Kulldorff ("A spatial scan statistic", 1997) over all stretches that begin and end at a hit. A
 * stretch counts from a likelihood ratio on that chance reaches anywhere once in more than a hundred such
 * series; its ends have the interval in which the ratio stays near the best.
 */
final class Scan {

    private static final double BAR = 9;
    /** Half of 7.35, as these are logarithms of ratios and those were twice that. */
    private static final double PLACE = 3.7;
    private static final int FEWEST = 4;
    private static final int MOST_HITS = 1_500;
    private static final int MOST_SPELLS = 5;

    /**
     * @param share  of what came within it that was hit
     * @param base   of all else
     */
    record Spell(Figure fromS, Figure untilS, Figure share, Figure base, double ratio) {
        boolean holds(double atS) {
            return atS >= fromS.value() && atS <= untilS.value();
        }
    }

    private Scan() {
    }

    /** {@code at}: when each came, in order, in seconds; {@code series}: how many are scanned beside this. */
    static List<Spell> find(double[] at, boolean[] hit, int series, String what) {
        var spells = new ArrayList<Spell>();
        var left = new boolean[at.length];
        Arrays.fill(left, true);
        while (spells.size() < MOST_SPELLS) {
            var found = best(at, hit, left, BAR + Math.log(Math.max(1, series)), what);
            if (found == null) {
                break;
            }
            spells.add(found);
            for (int i = 0; i < at.length; i++) {
                left[i] &= !found.holds(at[i]);
            }
        }
        spells.sort((a, b) -> Double.compare(a.fromS.value(), b.fromS.value()));
        return spells;
    }

    private static Spell best(double[] at, boolean[] hit, boolean[] left, double bar, String what) {
        var all = new int[at.length + 1];
        var hits = new int[at.length + 1];
        var places = new ArrayList<Integer>();
        for (int i = 0; i < at.length; i++) {
            all[i + 1] = all[i] + (left[i] ? 1 : 0);
            hits[i + 1] = hits[i] + (left[i] && hit[i] ? 1 : 0);
            if (left[i] && hit[i]) {
                places.add(i);
            }
        }
        int n = all[at.length];
        int h = hits[at.length];
        if (h < FEWEST || h == n && n > 0) {
            return null;
        }
        int step = Math.max(1, places.size() / MOST_HITS);
        double most = bar;
        int from = -1;
        int to = -1;
        for (int i = 0; i < places.size(); i += step) {
            for (int j = i + FEWEST - 1; j < places.size(); j += step) {
                double ratio = ratio(all, hits, places.get(i), places.get(j) + 1, n, h);
                if (ratio > most) {
                    most = ratio;
                    from = places.get(i);
                    to = places.get(j) + 1;
                }
            }
        }
        if (from < 0) {
            return null;
        }
        return spell(at, all, hits, from, to, most, what);
    }

    private static Spell spell(double[] at, int[] all, int[] hits, int from, int to, double most,
            String what) {
        int n = all[at.length];
        int h = hits[at.length];
        int firstFrom = from;
        int lastFrom = from;
        for (int i = 0; i < to - 1; i++) {
            if (ratio(all, hits, i, to, n, h) >= most - PLACE) {
                firstFrom = Math.min(firstFrom, i);
                lastFrom = Math.max(lastFrom, i);
            }
        }
        int firstTo = to;
        int lastTo = to;
        for (int j = from + 1; j <= at.length; j++) {
            if (ratio(all, hits, from, j, n, h) >= most - PLACE) {
                firstTo = Math.min(firstTo, j);
                lastTo = Math.max(lastTo, j);
            }
        }
        int inside = all[to] - all[from];
        int hit = hits[to] - hits[from];
        // Before the first that was surely in, back to the one that surely was not.
        var begin = new Figure(at[from], firstFrom == 0 ? 0 : at[firstFrom - 1], at[lastFrom], inside, what);
        var end = new Figure(at[to - 1], at[firstTo - 1], lastTo < at.length ? at[lastTo] : at[at.length - 1],
                inside, what);
        return new Spell(begin, end, Stats.share(hit, inside, what),
                Stats.share(h - hit, n - inside, what), most);
    }

    /** Logarithm of the likelihood of two shares against one; 0 where inside is no higher. */
    private static double ratio(int[] all, int[] hits, int from, int to, int n, int h) {
        int inside = all[to] - all[from];
        int hit = hits[to] - hits[from];
        int outside = n - inside;
        int missed = h - hit;
        if (inside == 0 || hit * (double) outside <= missed * (double) inside) {
            return 0;
        }
        return entropy(hit, inside) + entropy(missed, outside) - entropy(h, n);
    }

    private static double entropy(double hit, double of) {
        return of == 0 ? 0 : xLog(hit, of) + xLog(of - hit, of);
    }

    private static double xLog(double count, double of) {
        return count == 0 ? 0 : count * Math.log(count / of);
    }
}
