package ryemast.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import pipitladder.Dispatcher.Effect;
import pipitladder.Dispatcher.JobClass;
import pipitladder.Dispatcher.KeyScope;
import pipitladder.Dispatcher.Limits;
import pipitladder.Dispatcher.Prices;
import pipitladder.Dispatcher.ReportField;
import pipitladder.Dispatcher.Rules;
import pipitladder.Dispatcher.Settings;
import pipitladder.Dispatcher.Tenant;

/**
 * Reads the deployment settings from the JSON object that both the platform's configuration and the
 * simulator's protocol use. A missing value gets the most conservative default.
 */
public final class SettingsReader {

    private final Map<String, Object> env;

    private SettingsReader(Map<String, Object> env) {
        this.env = env;
    }

    /**
     * Reads nested JSON as parsed by Gson: objects as maps, numbers as {@code Double}.
     *
     * @throws SettingsException if a keyword is unknown or an array holds anything but objects
     */
    public static Settings read(Map<String, Object> env) throws SettingsException {
        return new SettingsReader(env).settings();
    }

    private Settings settings() throws SettingsException {
        var specifics = object(env, "specifics");
        return new Settings((int) number(env, "ordinal", 0), (int) number(env, "fleet_size", 1),
                (int) number(env, "locality", 0), Math.max(1, micros(env, "resolution", 1000)),
                !"subscribe".equals(env.get("registry_mode")),
                "nominal".equals(env.get("weights")) || "rough".equals(env.get("weights")),
                Boolean.TRUE.equals(specifics.get("tells_start")),
                micros(specifics, "progress", 0), classes(specifics),
                tenants(), reportFields(), limits(), rules(), prices());
    }

    private List<JobClass> classes(Map<String, Object> specifics) throws SettingsException {
        var kinds = list(specifics, "class_kind");
        var stretches = list(specifics, "class_stretch");
        var found = new ArrayList<JobClass>();
        for (var each : objects("categories")) {
            int index = found.size();
            long deadline = micros(each, "deadline", 0);
            found.add(new JobClass(effect(each.get("effect")), scope(each.get("key_scope")),
                    (int) elementOr(kinds, index, -1), micros(each, "on_time", deadline),
                    number(each, "aim_stretch", elementOr(stretches, index, 0)), deadline,
                    number(each, "worth", 1),
                    number(each, "late_worth", 0), micros(each, "window", 0)));
        }
        return List.copyOf(found);
    }

    private List<Tenant> tenants() throws SettingsException {
        var found = new ArrayList<Tenant>();
        for (var each : objects("parties")) {
            found.add(new Tenant(number(each, "quota_per_s", Double.MAX_VALUE)));
        }
        return List.copyOf(found);
    }

    private List<ReportField> reportFields() {
        var report = object(env, "report");
        if ("silent".equals(report.get("source"))) {
            return List.of();
        }
        return list(report, "fields").stream().map(SettingsReader::reportField).toList();
    }

    private Limits limits() {
        var allowed = object(env, "allowed");
        return new Limits((int) number(allowed, "max_attempts", 1), flag(allowed, "second_copies"),
                flag(allowed, "cancelling"), flag(allowed, "probes"), flag(allowed, "peer_messages"),
                flag(allowed, "retry_after"), micros(allowed, "max_retry_after", 0),
                micros(allowed, "connect_timeout", 0), micros(allowed, "conn_idle", Limits.USUAL_CONN_IDLE));
    }

    private Rules rules() {
        var rules = object(env, "obligations");
        return new Rules(micros(rules, "ask_every", Long.MAX_VALUE), micros(rules, "cold", 0),
                number(rules, "start_capacity", 1), number(rules, "fall_multiple", 1),
                micros(rules, "fall", 0));
    }

    private Prices prices() {
        var tariffs = object(env, "tariffs");
        return new Prices(number(tariffs, "cross_zone", 0), number(tariffs, "waste", 0),
                number(tariffs, "peer", 0), number(tariffs, "probe", 0));
    }

    private static Effect effect(Object value) throws SettingsException {
        if (value == null) {
            return Effect.UNSAFE;
        }
        return switch (value.toString()) {
            case "free" -> Effect.REPEATABLE;
            case "guarded" -> Effect.KEYED;
            case "single_shot" -> Effect.UNSAFE;
            default -> throw new SettingsException("unknown effect '" + value + "'");
        };
    }

    private static KeyScope scope(Object value) throws SettingsException {
        if (value == null) {
            return KeyScope.CELL;
        }
        return switch (value.toString()) {
            case "all" -> KeyScope.ALL;
            case "zone" -> KeyScope.ZONE;
            case "cell" -> KeyScope.CELL;
            default -> throw new SettingsException("unknown key_scope '" + value + "'");
        };
    }

    private static ReportField reportField(Object value) {
        return switch (String.valueOf(value)) {
            case "concurrent" -> ReportField.IN_FLIGHT;
            case "depth" -> ReportField.QUEUED;
            case "load_share" -> ReportField.UTILISATION;
            case "mean_ms" -> ReportField.LATENCY_MS;
            case "tps" -> ReportField.PER_SECOND;
            case "err_ps" -> ReportField.ERRORS_PER_SECOND;
            case "x0" -> ReportField.FREE_SLOTS;
            case "x1" -> ReportField.FREE_MEMORY;
            default -> ReportField.UNKNOWN;
        };
    }

    private List<Map<String, Object>> objects(String field) throws SettingsException {
        var found = new ArrayList<Map<String, Object>>();
        for (var each : list(env, field)) {
            if (!(each instanceof Map)) {
                throw new SettingsException(field + " must be an array of objects");
            }
            found.add(asObject(each));
        }
        return found;
    }

    private static Map<String, Object> object(Map<String, Object> from, String field) {
        return from.get(field) instanceof Map<?, ?> found ? asObject(found) : Map.of();
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> asObject(Object value) {
        return (Map<String, Object>) value;
    }

    private static List<?> list(Map<String, Object> from, String field) {
        return from.get(field) instanceof List<?> found ? found : List.of();
    }

    private static double elementOr(List<?> values, int index, double defaultValue) {
        return index < values.size() && values.get(index) instanceof Double value ? value : defaultValue;
    }

    private static double number(Map<String, Object> from, String field, double defaultValue) {
        return from.get(field) instanceof Double value ? value : defaultValue;
    }

    private static long micros(Map<String, Object> from, String field, long defaultValue) {
        return from.get(field) instanceof Double value ? value.longValue() : defaultValue;
    }

    private static boolean flag(Map<String, Object> from, String field) {
        return Boolean.TRUE.equals(from.get(field));
    }
}
