package ryemast.operator;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import ryemast.config.Config;
import ryemast.config.ConfigException;
import ryemast.net.Addresses;

/**
 * What is in force after the platform, the operator file and the defaults have had their say, in this order,
 * and who said it: the same precedence that {@link Config} follows at a start, whose values are shown here.
 *
 * @param settings  one for each key, in the table's order
 * @param platform  what the platform says beside the keys; empty without its configuration
 */
public record InForce(List<Setting> settings, Map<String, Object> platform) {

    private static final double MICROS_PER_MS = 1000;

    /** Whose word a value is. */
    public enum Origin { DEFAULT, OPERATOR, PLATFORM, ENVIRONMENT }

    /**
     * @param value  a text, or a number in the key's unit
     * @param where  the file and line, the platform's key or the variable; empty for a default
     */
    public record Setting(Key key, Object value, Origin origin, String where) {
    }

    /** Where the platform says what a key is about, and what of it the program took. */
    private record Word(String variable, String path, Object value) {
    }

    public static InForce of(OperatorFile file, Map<String, String> environment) throws ConfigException {
        var named = environment.get("BALANCER_CONFIG");
        boolean told = named != null && !named.isEmpty();
        var config = told ? Config.read(environment, file.tuning()) : null;
        var json = told ? Config.json(environment) : new JsonObject();
        var settings = new ArrayList<Setting>();
        for (var key : Key.values()) {
            var own = file.values().get(key);
            var word = word(key, config, environment);
            if (word != null && word.variable != null && environment.get(word.variable) != null) {
                settings.add(new Setting(key, word.value, Origin.ENVIRONMENT, word.variable));
            } else if (word != null && has(json, word.path)) {
                settings.add(new Setting(key, word.value, Origin.PLATFORM, named + " " + word.path));
            } else if (own.line() > 0) {
                settings.add(new Setting(key, own.value(), Origin.OPERATOR, file.file() + ":" + own.line()));
            } else {
                settings.add(new Setting(key, own.value(), Origin.DEFAULT, ""));
            }
        }
        return new InForce(List.copyOf(settings), config == null ? Map.of() : Map.of(
                "classes", config.lanes(), "tenants", config.orgs(), "known_workers",
                config.known().entries().size(), "seed", Long.toHexString(config.seed())));
    }

    /** Null for a key that the platform has no word for. */
    private static Word word(Key key, Config config, Map<String, String> environment) {
        return switch (key) {
            case NAME -> new Word("BALANCER_NAME", "name",
                    config == null ? environment.get("BALANCER_NAME") : config.name());
            case LISTEN -> new Word("BALANCER_LISTEN", "listen", config == null
                    ? environment.get("BALANCER_LISTEN") : Addresses.text(config.listen()));
            case DISCOVERY -> new Word("BALANCER_DISCOVERY", "discovery", config == null
                    ? environment.get("BALANCER_DISCOVERY")
                    : config.discovery() == null ? "" : Addresses.text(config.discovery()));
            case SOCKETS -> told(config, "limits.sockets", config == null ? 0 : config.sockets());
            case MAX_OPEN -> told(config, "settings.allowed.max_open", config == null ? 0 : config.maxOpen());
            case GRACE_MS -> told(config, "settings.obligations.grace_to_answer",
                    config == null ? 0 : config.grace() / MICROS_PER_MS);
            case CONNECT_LIMIT_MS -> told(config, "settings.allowed.connect_timeout",
                    config == null ? 0 : config.connectLimit() / MICROS_PER_MS);
            case REGION_IDLE_LIMIT_MS -> told(config, "settings.allowed.conn_idle",
                    config == null ? 0 : config.connIdle() / MICROS_PER_MS);
            default -> null;
        };
    }

    private static Word told(Config config, String path, double value) {
        return config == null ? null
                : new Word(null, path, value == Math.rint(value) ? (Object) (long) value : (Object) value);
    }

    private static boolean has(JsonObject json, String path) {
        JsonElement at = json;
        for (var name : path.split("\\.")) {
            at = at != null && at.isJsonObject() ? at.getAsJsonObject().get(name) : null;
        }
        return at != null;
    }
}
