package ryemast.lab.cli;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.nio.file.Path;
import java.util.Locale;
import ryemast.lab.model.Runs;

/** What a person reads at the end of {@code lab simulate}. */
final class SimulateWords {

    private SimulateWords() {
    }

    /** {@code json}: where the result is kept; null: nowhere. */
    static String summary(JsonObject result, Runs.Done done, int wanted, double seconds, Path json) {
        var text = new StringBuilder();
        int runs = done.rows().size();
        add(text, "%s, policy %s: %d runs%s", result.get("scenario").getAsString(),
                result.get("policy").getAsString(), runs, runs < wanted ? " of " + wanted : "");
        if (done.interrupted()) {
            add(text, "  cut short; the %d runs that were done are kept%s", runs,
                    json == null ? " nowhere: --json FILE keeps them"
                            : " in " + json + ", and --resume goes on");
        }
        if (runs == 0) {
            return text.toString().stripTrailing();
        }
        var service = result.getAsJsonObject("service");
        add(text, "  service    %s%s", number(service.get("mean"), 4),
                service.get("low").isJsonNull() ? "" : "   95% interval " + number(service.get("low"), 4)
                        + " to " + number(service.get("high"), 4));
        double asked = Math.max(1, result.get("asked").getAsDouble());
        add(text, "  jobs       %d asked; served %.2f%%, refused %.2f%%, failed %.2f%%, left %.2f%%",
                result.get("asked").getAsLong(), share(result, "served", asked),
                share(result, "refused", asked), share(result, "failed", asked),
                share(result, "left", asked));
        var latency = result.getAsJsonObject("latency_ms");
        add(text, "  latency    p50 %s ms, p99 %s ms, p99.9 %s ms (means over the runs)",
                number(latency.get("p50"), 1), number(latency.get("p99"), 1), number(latency.get("p999"), 1));
        add(text, "  rules      %s", result.get("rules_broken").getAsLong() == 0 ? "all kept"
                : result.get("rules_broken").getAsLong() + " broken; \"breaches\" in the JSON says which");
        if (result.get("overloaded").getAsLong() > 0) {
            add(text, "  overloaded in %d runs: jobs were still open when the last deadline had passed",
                    result.get("overloaded").getAsLong());
        }
        add(text, "  model      %,d events in %.1f s: %,d a second", done.events(), seconds,
                Math.round(done.events() / Math.max(0.001, seconds)));
        return text.toString().stripTrailing();
    }

    private static void add(StringBuilder text, String form, Object... figures) {
        text.append(String.format(Locale.ROOT, form, figures)).append('\n');
    }

    private static double share(JsonObject result, String key, double of) {
        return 100 * result.get(key).getAsLong() / of;
    }

    private static String number(JsonElement value, int digits) {
        return value.isJsonNull() ? "-"
                : String.format(Locale.ROOT, "%." + digits + "f", value.getAsDouble());
    }
}
