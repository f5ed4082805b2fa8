package ryemast.lab.choices;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import ryemast.fleet.choices.Subset;
import ryemast.fleet.choices.SubsetWidth;
import ryemast.lab.load.Table;

/** How evenly each way of choosing covers the workers, how much it moves, and what it costs. */
public final class SubsetFigures {

    private static final int[] MEMBERS = {1, 2, 3, 14, 100, 300};
    private static final int[] WORKERS = {1, 10, 60, 200, 2_000};
    private static final int ROUNDS = 20;

    private SubsetFigures() {
    }

    /** Where a member has room for all workers, and where it hasn't, by each way; no chance, no clock. */
    public static Table table(int room, JsonArray json) {
        var table = new Table("members x workers", "way", "busiest, idlest / mean", "connections at a worker",
                "workers a member", "moved, % of all: member joins", "leaves", "tenth away", "worker joins",
                "leaves", "half replaced");
        for (int members : MEMBERS) {
            for (int workers : WORKERS) {
                if (Subset.cover(members, workers, room) < members) {
                    for (var way : Way.values()) {
                        row(way, members, workers, room, table, json);
                    }
                }
            }
        }
        return table;
    }

    private static void row(Way way, int memberCount, int workerCount, int room, Table table,
            JsonArray json) {
        var members = Change.members(memberCount);
        var workers = Change.workers(workerCount);
        var uses = way.all(members, workers, room);
        var even = uses.evenness(workers);
        var row = new JsonObject();
        row.addProperty("room", room);
        row.addProperty("members", memberCount);
        row.addProperty("workers", workerCount);
        row.addProperty("way", way.words);
        row.addProperty("busiest_over_mean", even.busiest());
        row.addProperty("idlest_over_mean", even.idlest());
        row.addProperty("connections_least", even.fewest());
        row.addProperty("connections_most", even.most());
        row.addProperty("subset_least", even.smallest());
        row.addProperty("subset_most", even.largest());
        var cells = new Object[5 + Change.values().length];
        cells[0] = memberCount + " x " + workerCount;
        cells[1] = way.words;
        cells[2] = words("%.2f, %.2f", even.busiest(), even.idlest());
        cells[3] = even.fewest() + " to " + even.most();
        cells[4] = even.smallest() + " to " + even.largest();
        for (var change : Change.values()) {
            double moved = uses.moved(way.all(change.members(members), change.workers(workers), room));
            cells[5 + change.ordinal()] = words("%.1f", 100 * moved);
            row.addProperty("moved_" + change.name().toLowerCase(Locale.ROOT), moved);
        }
        table.row(cells);
        json.add(row);
    }

    /** At which sizes all members use all workers. */
    public static Table whole(int room) {
        var table = new Table("members", "whole fleet up to so many workers", "workers a member at 200",
                "at 2,000", "members a worker at 2,000");
        for (int members : MEMBERS) {
            table.row(members, members <= 3 ? "any" : room, words("%.0f", size(members, 200, room)),
                    words("%.0f", size(members, 2_000, room)),
                    words("%.1f", Subset.cover(members, 2_000, room)));
        }
        return table;
    }

    private static double size(int members, int workers, int room) {
        return Subset.cover(members, workers, room) * workers / members;
    }

    /** What widening does where a part of the workers is ill or full, everywhere alike. */
    public static Table ill(int room, JsonArray json) {
        var table = new Table("ill or full", "members at width 0, 1, 2 or more", "workers a member, usable",
                "busiest / mean of the usable", "without widening");
        int members = 100;
        var workers = Change.workers(10 * room);
        for (double part : new double[] {0, 0.1, 0.3, 0.5, 0.6, 0.8, 0.95}) {
            var random = new SplittableRandom(1);
            var ill = workers.keySet().stream().filter(each -> random.nextDouble() < part)
                    .collect(Collectors.toSet());
            Predicate<String> usable = worker -> !ill.contains(worker);
            var healthy = Change.workers(10 * room);
            healthy.keySet().removeAll(ill);
            var widened = new Uses();
            var plain = new Uses();
            var widths = new int[3];
            var names = Change.members(members);
            for (var self : names) {
                var subset = Subset.select(self, names, workers, room);
                int width = new SubsetWidth().width(0, subset, usable);
                widths[Math.min(2, width)]++;
                widened.put(self, subset.workersAt(width).stream().filter(usable)
                        .collect(Collectors.toMap(each -> each, workers::get)));
                plain.put(self, subset.workersAt(0).stream().filter(usable)
                        .collect(Collectors.toMap(each -> each, workers::get)));
            }
            var even = widened.evenness(healthy);
            var without = plain.evenness(healthy);
            table.row(words("%.0f%%", 100 * part), widths[0] + ", " + widths[1] + ", " + widths[2],
                    even.smallest() + " to " + even.largest(), words("%.2f", even.busiest()),
                    words("%.2f", without.busiest()));
            var row = new JsonObject();
            row.addProperty("ill", part);
            row.addProperty("busiest_over_mean", even.busiest());
            row.addProperty("busiest_over_mean_not_widened", without.busiest());
            json.add(row);
        }
        return table;
    }

    /** What a member's own subset costs to draw anew; measured, so it differs from run to run. */
    public static Table costs(int room, JsonArray json) {
        var table = new Table("members x workers", "drawn anew, us", "one worker more, us");
        for (int members : new int[] {14, 100, 300}) {
            for (int workers : new int[] {200, 2_000}) {
                var names = Change.members(members);
                var all = Change.workers(workers);
                var more = Change.WORKER_JOINS.workers(all);
                double best = Double.MAX_VALUE;
                double changed = Double.MAX_VALUE;
                for (int i = 0; i < ROUNDS; i++) {
                    long begin = System.nanoTime();
                    var subset = Subset.select(names.get(i % members), names, all, room);
                    best = Math.min(best, (System.nanoTime() - begin) / 1e3);
                    begin = System.nanoTime();
                    subset.reselect(more, room);
                    changed = Math.min(changed, (System.nanoTime() - begin) / 1e3);
                }
                table.row(members + " x " + workers, words("%.0f", best), words("%.0f", changed));
                var row = new JsonObject();
                row.addProperty("members", members);
                row.addProperty("workers", workers);
                row.addProperty("drawn_us", best);
                row.addProperty("one_more_us", changed);
                json.add(row);
            }
        }
        return table;
    }

    static String words(String format, Object... figures) {
        return String.format(Locale.ROOT, format, figures);
    }
}
