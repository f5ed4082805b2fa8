package ryemast.lab.model;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.Collection;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import ryemast.lab.books.Fingerprint;
import ryemast.lab.books.RunResult;
import ryemast.lab.scenario.Scenario;

/**
 * What many simulated runs came to, as JSON. Names are those of {@link RunResult}: counts are summed over the
 * runs, figures are means, {@code service} is a mean with its 95% interval, and {@code runs} holds a row for
 * each run. All is made of the rows alone, and nothing in it tells of the machine or of the time it took, so
 * that the same runs give the same bytes wherever and in how many parts they were made.
 */
public final class Simulated {

    private static final List<String> COUNTS = List.of("asked", "served", "refused", "failed", "left",
            "unanswered", "rules_broken", "second_copies", "events");
    private static final List<String> PARTS = List.of("whole", "worst_window", "worst_class", "worst_tenant",
            "late_fail", "waste");
    private static final List<String> PERCENTILES = List.of("p50", "p99", "p999");
    private static final List<String> KEPT = List.of("seed", "seconds", "asked", "served", "refused",
            "failed", "left", "unanswered", "service", "service_parts", "rules_broken", "rules_broken_by",
            "breaches",
            "double_runs", "latency_ms", "attempts_per_job", "second_copies", "by_class", "by_tenant");

    private Simulated() {
    }

    /** One run. */
    public static JsonObject row(Scenario scenario, RunResult result, ModelSite.Ending ending, long events) {
        var all = result.json();
        var row = new JsonObject();
        KEPT.forEach(key -> row.add(key, all.get(key)));
        row.addProperty("ending", ending.name().toLowerCase(Locale.ROOT));
        row.addProperty("events", events);
        row.addProperty("site", print(scenario));
        return row;
    }

    /** Tells one drawn scenario from another, so that runs of two are not taken for runs of one. */
    public static String print(Scenario scenario) {
        return HexFormat.of().toHexDigits(Fingerprint.of(scenario.toString()));
    }

    /** {@code rows}: in the order of their seeds. */
    public static JsonObject json(String scenario, String title, String policy, Collection<JsonObject> rows,
            boolean interrupted) {
        var json = new JsonObject();
        json.addProperty("scenario", scenario);
        json.addProperty("title", title);
        json.addProperty("policy", policy);
        json.addProperty("interrupted", interrupted);
        json.addProperty("overloaded", rows.stream()
                .filter(row -> row.get("ending").getAsString().equals("overloaded")).count());
        COUNTS.forEach(key -> json.addProperty(key,
                rows.stream().mapToLong(row -> row.get(key).getAsLong()).sum()));
        json.add("service", spread(rows, row -> row.get("service")).json());
        var parts = new JsonObject();
        PARTS.forEach(key -> parts.add(key, spread(rows,
                row -> row.getAsJsonObject("service_parts").get(key)).json()));
        json.add("service_parts", parts);
        var latency = new JsonObject();
        var latencySpread = new JsonObject();
        for (var key : PERCENTILES) {
            var spread = spread(rows, row -> row.getAsJsonObject("latency_ms").get(key));
            latency.add(key, spread.json().get("mean"));
            latencySpread.add(key, spread.json());
        }
        json.add("latency_ms", latency);
        json.add("latency_ms_spread", latencySpread);
        json.add("attempts_per_job", spread(rows, row -> row.get("attempts_per_job")).json().get("mean"));
        json.add("cpu_us_per_job", null);
        json.add("rss_mb", null);
        json.addProperty("emulator_late_ms", 0);
        var all = new JsonArray();
        rows.forEach(all::add);
        json.add("runs", all);
        return json;
    }

    /** Over the runs in which the figure is known. */
    public static Spread spread(Collection<JsonObject> rows, Function<JsonObject, JsonElement> figure) {
        return Spread.of(rows.stream().map(figure).filter(value -> !value.isJsonNull())
                .mapToDouble(JsonElement::getAsDouble).toArray());
    }
}
