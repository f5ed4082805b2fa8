package ryemast.lab.choices;

import static ryemast.lab.choices.SubsetFigures.words;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.function.IntToDoubleFunction;
import java.util.stream.IntStream;
import ryemast.fleet.choices.PermitOrder;
import ryemast.lab.load.Table;

/** How fair each line is, and what a line by sizes lets through. */
public final class TurnFigures {

    private static final int[] MEMBERS = {1, 2, 3, 14, 100, 300};
    private static final int WINDOWS = 100;
    private static final int RESOURCES = 5;
    private static final int DRAWS = 1_000;

    /** A line of the program. */
    private enum Line {
        ROTATED, BALANCED, RANKED;

        /** The places of all members. */
        int[] places(int resource, long window, List<String> members) {
            var places = new int[members.size()];
            for (int i = 0; i < places.length; i++) {
                places[i] = switch (this) {
                    case ROTATED ->
                            PermitOrder.rotatedPosition(PermitOrder.mix(resource), window, i, places.length);
                    case BALANCED -> PermitOrder.balancedPosition(resource, window, i, places.length);
                    case RANKED -> PermitOrder.rankedPosition(resource, window, members.get(i), members);
                };
            }
            return places;
        }
    }

    private TurnFigures() {
    }

    /**
     * The smallest and the largest number of turns that any member has in 100 windows, where the first places
     * have one, and how far work by {@link PermitOrder#fits} is from even; means over a few resources.
     */
    public static Table fairness(JsonArray json) {
        var table = new Table("members", "turns a window", "fair", "rotated", "balanced", "ranked",
                "work by sizes, over the mean: rotated", "balanced", "ranked");
        for (int members : MEMBERS) {
            var shares = Arrays.stream(Line.values()).map(line -> new Shares(line, members)).toList();
            int[] some = {1, members / 10, members / 2};
            for (int turns : Arrays.stream(some).filter(each -> each > 0).distinct().toArray()) {
                row(members, turns, shares, table, json);
            }
        }
        return table;
    }

    private static void row(int members, int turns, List<Shares> lines, Table table, JsonArray json) {
        var cells = new Object[9];
        double fair = (double) WINDOWS * turns / members;
        cells[0] = members;
        cells[1] = turns;
        cells[2] = words("%.1f", fair);
        var row = new JsonObject();
        row.addProperty("members", members);
        row.addProperty("turns", turns);
        row.addProperty("fair", fair);
        for (var shares : lines) {
            var name = shares.line.name().toLowerCase(Locale.ROOT);
            var taken = shares.spread(place -> place < turns ? 1 : 0);
            var done = shares.spread(place -> 1.0 / (place + 1));
            row.addProperty(name + "_smallest", taken[0]);
            row.addProperty(name + "_largest", taken[1]);
            row.addProperty(name + "_work_smallest", done[0] / done[2]);
            row.addProperty(name + "_work_largest", done[1] / done[2]);
            cells[3 + shares.line.ordinal()] = words("%.1f to %.1f", taken[0], taken[1]);
            cells[6 + shares.line.ordinal()] = words("%.2f to %.2f", done[0] / done[2], done[1] / done[2]);
        }
        table.row(cells);
        json.add(row);
    }

    /** How often each member had each place, by resource. */
    private static final class Shares {
        private final Line line;
        private final int[][][] times;

        Shares(Line line, int members) {
            this.line = line;
            times = new int[RESOURCES][members][members];
            var names = Change.members(members);
            for (int resource = 0; resource < RESOURCES; resource++) {
                for (int window = 0; window < WINDOWS; window++) {
                    var places = line.places(resource, window, names);
                    for (int i = 0; i < members; i++) {
                        times[resource][i][places[i]]++;
                    }
                }
            }
        }

        /** The least and the most that a member has, and the mean. */
        double[] spread(IntToDoubleFunction worth) {
            var sums = new double[3];
            for (var ofResource : times) {
                var each = Arrays.stream(ofResource).mapToDouble(places -> IntStream.range(0, places.length)
                        .mapToDouble(place -> places[place] * worth.applyAsDouble(place)).sum())
                        .summaryStatistics();
                sums[0] += each.getMin() / RESOURCES;
                sums[1] += each.getMax() / RESOURCES;
                sums[2] += each.getAverage() / RESOURCES;
            }
            return sums;
        }
    }

    /**
     * What all do together in a window by {@link PermitOrder#fits}, over what they may by jobs of one size.
     */
    public static Table sizes(JsonArray json) {
        var table = new Table("members", "each its largest", "one job each, 0.001 to 1 of all: mean",
                "most of " + DRAWS, "five to choose from: mean", "most of " + DRAWS,
                "cold rule, 0.1 jobs a second each", "1", "10");
        for (int members : MEMBERS) {
            var random = new SplittableRandom(members);
            var one = drawn(members, 1, random);
            var five = drawn(members, 5, random);
            double[] cold = {ColdRule.worst(members, 0.1), ColdRule.worst(members, 1),
                ColdRule.worst(members, 10)};
            table.row(members, words("%.2f", PermitOrder.worstCaseFactor(members)), words("%.2f", one[0]),
                    words("%.2f", one[1]), words("%.2f", five[0]), words("%.2f", five[1]),
                    words("%.2f", cold[0]), words("%.2f", cold[1]), words("%.2f", cold[2]));
            var row = new JsonObject();
            row.addProperty("members", members);
            row.addProperty("each_its_largest", PermitOrder.worstCaseFactor(members));
            row.addProperty("one_job_most", one[1]);
            row.addProperty("five_jobs_most", five[1]);
            row.addProperty("cold_rule_at_10_a_second", cold[2]);
            json.add(row);
        }
        return table;
    }

    /** Mean and most; each member sends the largest of its jobs that fits, sizes drawn over three decades. */
    private static double[] drawn(int members, int jobs, SplittableRandom random) {
        double total = 0;
        double most = 0;
        for (int i = 0; i < DRAWS; i++) {
            double sum = 0;
            for (int place = 0; place < members; place++) {
                double best = 0;
                for (int j = 0; j < jobs; j++) {
                    double size = Math.pow(10, -3 * random.nextDouble());
                    best = PermitOrder.fits(size, 1, place) ? Math.max(best, size) : best;
                }
                sum += best;
            }
            total += sum;
            most = Math.max(most, sum);
        }
        return new double[] {total / DRAWS, most};
    }
}
