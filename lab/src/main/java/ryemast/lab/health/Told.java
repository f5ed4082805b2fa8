package ryemast.lab.health;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import ryemast.lab.health.Cases.Played;

/** What the cases came to, as JSON and for people; made of the rows alone, so the same runs read the same. */
public final class Told {

    private static final List<String> FIGURES = List.of("left_after_s", "back_after_s", "lost",
            "lost_repeatable", "aside_box_s", "sends_per_served", "service");
    private static final String ROW = "%-26s %-8s %-24s %-24s %-20s %-20s %-22s %-20s %s%n";
    /** Beliefs under this share of the time are noise. */
    private static final double WORTH_TELLING = 0.0005;

    private Told() {
    }

    public static JsonObject json(Collection<Played> played, boolean interrupted) {
        var json = new JsonObject();
        json.addProperty("interrupted", interrupted);
        var cases = new JsonArray();
        for (var each : played) {
            var one = new JsonObject();
            one.addProperty("case", each.file().name());
            one.addProperty("title", each.file().title());
            one.addProperty("policy", each.policy().name());
            for (var figure : FIGURES) {
                one.add(figure, Median.of(each.rows().values(), figure).json());
            }
            one.addProperty("asked", sum(each, "asked"));
            one.addProperty("lost_in_all", sum(each, "lost"));
            one.addProperty("lost_repeatable_in_all", sum(each, "lost_repeatable"));
            var runs = new JsonArray();
            each.rows().values().forEach(runs::add);
            one.add("runs", runs);
            cases.add(one);
        }
        json.add("cases", cases);
        var beliefs = new JsonObject();
        confusion(played).forEach((truth, believed) -> {
            var shares = new JsonObject();
            long all = all(believed);
            believed.forEach((word, count) -> shares.addProperty(word, (double) count / all));
            beliefs.add(truth, shares);
        });
        json.add("beliefs", beliefs);
        return json;
    }

    private static long sum(Played played, String figure) {
        return played.rows().values().stream().mapToLong(row -> row.get(figure).getAsLong()).sum();
    }

    /** How often what was believed of a box while something was true of it, over all runs. */
    static Map<String, Map<String, Long>> confusion(Collection<Played> played) {
        Map<String, Map<String, Long>> counts = new TreeMap<>();
        for (var each : played) {
            for (var row : each.rows().values()) {
                row.getAsJsonObject("beliefs").entrySet().forEach(truth -> {
                    var believed = counts.computeIfAbsent(truth.getKey(), any -> new TreeMap<>());
                    truth.getValue().getAsJsonObject().entrySet().forEach(word ->
                            believed.merge(word.getKey(), word.getValue().getAsLong(), Long::sum));
                });
            }
        }
        return counts;
    }

    private static long all(Map<String, Long> believed) {
        return believed.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Medians over the runs with their 95% intervals, and the table of beliefs. */
    public static String words(Collection<Played> played) {
        var text = new StringBuilder();
        text.append(String.format(Locale.ROOT, ROW, "case", "policy", "left after s", "back after s",
                "lost jobs",
                "that may repeat", "set aside, box-s", "sends per served", "service"));
        for (var each : played) {
            var rows = each.rows().values();
            if (!rows.isEmpty()) {
                text.append(String.format(Locale.ROOT, ROW, each.file().name(),
                        shortened(each.policy().name()),
                        Median.of(rows, "left_after_s").words(2), Median.of(rows, "back_after_s").words(2),
                        Median.of(rows, "lost").words(0), Median.of(rows, "lost_repeatable").words(0),
                        Median.of(rows, "aside_box_s").words(1), Median.of(rows, "sends_per_served").words(3),
                        Median.of(rows, "service").words(4)));
            }
        }
        var confusion = confusion(played);
        if (!confusion.isEmpty()) {
            text.append("\nWhat was true of a box, and what was believed of it, in % of the time:\n");
            confusion.forEach((truth, believed) -> text.append(line(truth, believed)));
        }
        return text.toString().stripTrailing();
    }

    private static String shortened(String policy) {
        return policy.startsWith("jar:") ? "jar" : policy;
    }

    private static String line(String truth, Map<String, Long> believed) {
        long all = all(believed);
        var line = new StringBuilder(String.format(Locale.ROOT, "  %-44s", truth));
        believed.entrySet().stream().sorted(Map.Entry.<String, Long>comparingByValue().reversed())
                .filter(each -> each.getValue() >= WORTH_TELLING * all)
                .forEach(each -> line.append(String.format(Locale.ROOT, " %s %.1f;", each.getKey(),
                        100.0 * each.getValue() / all)));
        return line.append('\n').toString();
    }
}
