package ryemast.lab.fit;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import ryemast.lab.scenario.Scenario.Effect;

/** The platform's settings as a recording keeps them; what is absent has the dispatcher's own default. */
final class Platform {

    private static final double MS = 1e3;

    private final JsonObject all;

    /** A class of jobs as it is set; times in microseconds. */
    record JobClass(String name, double aim, double stretch, double deadline, double worth, double lateWorth,
            Effect effect) {
    }

    record Tenant(String name, double portion, double quota) {
    }

    Platform(JsonObject settings) {
        all = settings;
    }

    JsonObject object(String key) {
        return all.get(key) != null && all.get(key).isJsonObject() ? all.getAsJsonObject(key)
                : new JsonObject();
    }

    static double number(JsonObject from, String key, double otherwise) {
        var value = from.get(key);
        return value != null && value.isJsonPrimitive() && value.getAsJsonPrimitive().isNumber()
                ? value.getAsDouble() : otherwise;
    }

    static boolean flag(JsonObject from, String key, boolean otherwise) {
        var value = from.get(key);
        return value != null && value.isJsonPrimitive() && value.getAsJsonPrimitive().isBoolean()
                ? value.getAsBoolean() : otherwise;
    }

    double number(String key, double otherwise) {
        return number(all, key, otherwise);
    }

    private static String text(JsonElement value, String otherwise) {
        return value != null && value.isJsonPrimitive() ? value.getAsString() : otherwise;
    }

    private JsonArray array(JsonObject from, String key) {
        return from.get(key) != null && from.get(key).isJsonArray() ? from.getAsJsonArray(key)
                : new JsonArray();
    }

    List<String> names(String key) {
        var names = new ArrayList<String>();
        array(all, key).forEach(each -> names.add(text(each, key + names.size())));
        return names;
    }

    List<JobClass> classes() {
        var stretches = array(object("specifics"), "class_stretch");
        var found = new ArrayList<JobClass>();
        for (var each : array(all, "categories")) {
            if (!each.isJsonObject()) {
                continue;
            }
            var one = each.getAsJsonObject();
            int i = found.size();
            double stretch = i < stretches.size() && stretches.get(i).isJsonPrimitive()
                    ? stretches.get(i).getAsDouble() : 0;
            double deadline = number(one, "deadline", 5_000 * MS);
            var effect = switch (text(one.get("effect"), "single_shot")) {
                case "free" -> Effect.FREE;
                case "guarded" -> Effect.GUARDED;
                default -> Effect.SINGLE_SHOT;
            };
            found.add(new JobClass(text(one.get("name"), "class-" + i),
                    Math.min(deadline, number(one, "on_time", deadline)), number(one, "aim_stretch", stretch),
                    deadline, number(one, "worth", 1), number(one, "late_worth", 0), effect));
        }
        return found;
    }

    List<Tenant> tenants() {
        var found = new ArrayList<Tenant>();
        for (var each : array(all, "parties")) {
            if (each.isJsonObject()) {
                var one = each.getAsJsonObject();
                found.add(new Tenant(text(one.get("name"), "tenant-" + found.size()),
                        number(one, "portion", 0),
                        number(one, "quota_per_s", 0)));
            }
        }
        return found;
    }

    boolean tellsStarts() {
        return flag(object("specifics"), "tells_start", false);
    }

    /** After so long a box is warm, at the latest. */
    long coldFor() {
        return (long) number(object("obligations"), "cold", 0);
    }

    /** What only the settings know: they are facts, not estimates. */
    List<Table> tables(int sources) {
        var found = new ArrayList<Table>();
        var allowed = object("allowed");
        var rules = object("obligations");
        var goal = object("goal");
        var prices = object("tariffs");
        var specifics = object("specifics");
        int fleet = (int) Math.max(1, number("fleet_size", 1));
        found.add(new Table("[dispatchers]", "dispatchers").number("count",
                Math.min(256, sources == fleet ? fleet
                : sources), sources == fleet ? "" : "the site has " + fleet + "; so many were recorded"));
        found.add(new Table("[telling]", "telling").flag("starts", tellsStarts(), "")
                .number("progress_s", number(specifics, "progress", 0) / 1e6, ""));
        found.add(new Table("[rules]", "rules")
                .number("drain_grace_ms", number(rules, "drain_grace", 500 * MS) / MS, "")
                .number("fall_multiple", Math.max(1, number(rules, "fall_multiple", 4)), "")
                .number("fall_window_ms", Math.max(1, number(rules, "fall", 1_000 * MS) / MS), "")
                .number("ask_every_s", Math.max(0.1, number(rules, "ask_every", 1e7) / 1e6), "")
                .number("grace_to_answer_ms", number(rules, "grace_to_answer", 20 * MS) / MS, "")
                .number("max_attempts", Math.max(1, Math.min(100, number(allowed, "max_attempts", 1))), "")
                .flag("second_copies", flag(allowed, "second_copies", false), "")
                .flag("cancel", flag(allowed, "cancelling", false), "")
                .flag("retry_after", flag(allowed, "retry_after", false), "")
                .number("max_retry_after_ms", Math.min(60_000, number(allowed, "max_retry_after", 0) / MS),
                "")
                .number("connect_timeout_ms", Math.max(1, number(allowed, "connect_timeout", 250 * MS) / MS),
                ""));
        double whole = number(goal, "whole", 0.6);
        double window = number(goal, "worst_window", 0.15);
        double jobClass = number(goal, "worst_class", 0.1);
        double tenant = number(goal, "worst_tenant", 0.15);
        double sum = Math.max(1e-9, whole + window + jobClass + tenant);
        found.add(new Table("[goal]", "goal").number("whole", whole / sum, "")
                .number("worst_window", window / sum, "").number("worst_class", jobClass / sum, "")
                .number("worst_tenant", tenant / sum, "").number("late_fail", number(prices, "late_fail", 0),
                "")
                .number("waste", number(prices, "waste", 0), ""));
        return found;
    }
}
