package ryemast.lab.compare;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import ryemast.lab.compare.Comparison.Rows;
import ryemast.lab.model.Simulated;
import ryemast.lab.model.Spread;

/**
 * A comparison as it is told: in JSON, whose names tools rely on, in the summary and in the report. Made of
 * the rows alone; nothing in it tells of the machine or the time that it took.
 */
public record Compared(String scenario, String title, Comparison.Plan plan, Comparison.Done done) {

    /** Parts of the served jobs whose latency is kept, for the curve. */
    public static final double[] PARTS = Trial.PARTS.clone();

    /** By metric, in their order. */
    public Map<Metric, Paired> differences() {
        var found = new LinkedHashMap<Metric, Paired>();
        Metric.ALL.forEach(metric -> found.put(metric, Paired.of(done.rows().differences(metric.of()))));
        return found;
    }

    /** Rows of seeds that both arms have run. */
    public List<JsonObject> paired(boolean ofA) {
        var of = ofA ? done.rows().a() : done.rows().b();
        return done.rows().seeds().stream().map(of::get).toList();
    }

    public static Spread spread(Collection<JsonObject> rows, Metric metric) {
        return Simulated.spread(rows.stream().filter(row -> metric.of().apply(row) != null).toList(),
                metric.of());
    }

    public JsonObject json() {
        var json = new JsonObject();
        json.addProperty("scenario", scenario);
        json.addProperty("title", title);
        json.addProperty("interrupted", done.interrupted());
        json.addProperty("runs", done.rows().seeds().size());
        json.addProperty("verdict", done.verdict().word().name().toLowerCase(Locale.ROOT));
        json.addProperty("settled", done.verdict().settled());
        json.addProperty("more_runs", done.verdict().more() < 0 ? null : done.verdict().more());
        json.addProperty("margin", plan.margin());
        json.addProperty("false_alarms", Looks.LEVEL);
        json.addProperty("look", done.look());
        json.addProperty("looks", done.looks());
        var service = differences().get(Metric.SERVICE);
        json.addProperty("chance_a_better", known(service.chance()));
        json.add("a", arm(plan.a(), paired(true)));
        json.add("b", arm(plan.b(), paired(false)));
        var differences = new JsonObject();
        differences().forEach((metric, paired) -> differences.add(metric.key(), difference(metric, paired)));
        var whole = differences.getAsJsonObject("service");
        whole.addProperty("sure_low", known(done.verdict().low()));
        whole.addProperty("sure_high", known(done.verdict().high()));
        json.add("differences", differences);
        json.add("rows_a", rows(done.rows().a()));
        json.add("rows_b", rows(done.rows().b()));
        return json;
    }

    private static JsonObject arm(Arm arm, List<JsonObject> rows) {
        var json = new JsonObject();
        json.addProperty("arm", arm.spec());
        json.addProperty("words", arm.words());
        for (var metric : Metric.ALL) {
            json.add(metric.key(), spread(rows, metric).json());
        }
        for (var key : List.of("asked", "served", "refused", "failed", "left", "rules_broken")) {
            json.addProperty(key, rows.stream().mapToLong(row -> row.get(key).getAsLong()).sum());
        }
        return json;
    }

    private static JsonObject difference(Metric metric, Paired paired) {
        var json = new JsonObject();
        json.addProperty("mean", known(paired.mean()));
        json.addProperty("low", known(paired.low()));
        json.addProperty("high", known(paired.high()));
        json.add("t_95", pair(paired.tLow(), paired.tHigh()));
        json.add("bootstrap_95", pair(paired.bootLow(), paired.bootHigh()));
        json.addProperty("deviation", known(paired.deviation()));
        json.addProperty("runs", paired.runs());
        json.addProperty("chance_a_better", known(metric.better(paired)));
        json.addProperty("a_higher_in", known(paired.wins()));
        return json;
    }

    private static JsonArray pair(double low, double high) {
        var pair = new JsonArray();
        pair.add(known(low));
        pair.add(known(high));
        return pair;
    }

    private static JsonArray rows(Map<Long, JsonObject> rows) {
        var all = new JsonArray();
        rows.values().forEach(all::add);
        return all;
    }

    /** Rows out of the JSON of an earlier call, by seed. */
    public static Map<Long, JsonObject> rows(JsonElement of) {
        var rows = new TreeMap<Long, JsonObject>();
        of.getAsJsonArray().forEach(each -> rows.put(each.getAsJsonObject().get("seed").getAsLong(),
                each.getAsJsonObject()));
        return rows;
    }

    static Double known(double value) {
        return Double.isFinite(value) ? value : null;
    }

    /** A comparison of which only some runs are done, to be kept. */
    public static JsonObject kept(String scenario, String title, Comparison.Plan plan, Rows rows) {
        var copy = new Rows(new TreeMap<>(rows.a()), new TreeMap<>(rows.b()));
        return new Compared(scenario, title, plan, new Comparison.Done(copy,
                new Verdict(Verdict.Word.UNDECIDED,
                Double.NaN, Double.NaN, -1), 0, 0, 0, true)).json();
    }
}
