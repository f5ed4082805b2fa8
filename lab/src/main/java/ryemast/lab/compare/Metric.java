package ryemast.lab.compare;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import java.util.List;
import java.util.function.Function;

/**
 * A figure of a run that the two arms are compared by.
 *
 * @param key      its name in results
 * @param words    for people
 * @param upwards  whether more of it is better
 */
public record Metric(String key, String words, boolean upwards, Function<JsonObject, JsonElement> of) {

    public static final Metric SERVICE = new Metric("service", "service", true, row -> row.get("service"));

    public static final List<Metric> ALL = List.of(SERVICE, part("whole", "whole run", true),
            part("worst_window", "worst 10 s", true), part("worst_class", "worst class", true),
            part("worst_tenant", "worst account, within its share", true),
            part("late_fail", "late failures (a price)", false), part("waste", "waste (a price)", false),
            share("refused", "refused"), share("failed", "failed"), latency("p50", "latency, half, ms"),
            latency("p99", "latency, 99%, ms"), latency("p999", "latency, 99.9%, ms"),
            new Metric("attempts_per_job", "requests a job", false, row -> row.get("attempts_per_job")));

    private static Metric part(String key, String words, boolean upwards) {
        return new Metric(key, words, upwards, row -> row.getAsJsonObject("service_parts").get(key));
    }

    private static Metric latency(String key, String words) {
        return new Metric("latency_ms_" + key, words, false, row -> row.getAsJsonObject("latency_ms")
                .get(key));
    }

    private static Metric share(String key, String words) {
        return new Metric(key + "_share", words + ", of all jobs", false, row -> {
            double asked = row.get("asked").getAsDouble();
            return asked == 0 ? null : new JsonPrimitive(row.get(key).getAsDouble() / asked);
        });
    }

    /** Whether A's figure is better, as a chance. */
    public double better(Paired difference) {
        return upwards ? difference.chance() : 1 - difference.chance();
    }
}
