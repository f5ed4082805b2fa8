package ryemast.config;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import pipitladder.Dispatcher.Settings;
import ryemast.net.Addresses;
import ryemast.net.discovery.ListReader;
import ryemast.net.discovery.ListUpdate;
import ryemast.settings.SettingsException;
import ryemast.settings.SettingsReader;

/**
 * The one place where configuration is read, checked and given defaults: the environment names the file and
 * may say anew where to listen and where discovery is; all else is in the file.
 *
 * @param discovery  null where it is not needed, as the operator has chosen another catalogue
 * @param lanes     names of the classes, in the module's order
 * @param orgs      names of the tenants
 * @param connectLimit  how long a connection to a worker may take to come up, in microseconds
 * @param connIdle  after how long a worker closes an idle connection, in microseconds
 * @param grace     how long after its deadline a request may still be answered, in microseconds
 * @param sockets   how many file descriptors the process may hold
 * @param tuning    all that the platform has no word for
 */
public record Config(String name, InetSocketAddress listen, InetSocketAddress discovery, long seed,
        int sockets, Settings settings, List<String> lanes, List<String> orgs, ListReader listReader,
        ListUpdate known, long connectLimit, long connIdle, int maxOpen, long grace, Tuning tuning) {

    public static final int LEAST_SOCKETS = 64;
    /** The batch front's listener, selector and store. */
    private static final int BATCH_SOCKETS = 8;
    /** The store's files, or the calls to Consul that are out at once, the watches and what is kept. */
    private static final int COORDINATION_SOCKETS = 24;
    /** The datagrams' socket and selector. */
    private static final int PEERS_SOCKETS = 4;
    /** A timetable's jobs that may be out at once, beside clients' jobs. */
    public static final int MOST_FIRES = 256;
    private static final String ALONE = """
            {"name":"rehearsal","listen":"127.0.0.1:0","discovery":"127.0.0.1:9",
             "known":{"version":1,"full":true,"servers":[
              {"id":"w","addr":"127.0.0.1:9","zone":"z","kind":"k","cell":0,"state":"Ready","weight":1.0}]},
             "settings":{"areas":["z"],"models":["k"],"parties":[{"name":"t"}],
              "allowed":{"max_open":9},"categories":[{"name":"c","effect":"free"}]}}""";

    /** How many connections there may be to workers and to us, and how many jobs may be open. */
    public record Room(int regions, int terminals, int jobs) {
    }

    /** The descriptors, shared out as the tuning says. */
    public Room room() {
        var limits = tuning.limits();
        // Submitters have places of their own, and their jobs need none of clients' connections.
        var batch = tuning.batch();
        int apart = (batch == null ? 0 : batch.connections() + BATCH_SOCKETS)
                + (tuning.coordination() == null ? 0 : COORDINATION_SOCKETS)
                + (tuning.peers() == null ? 0 : PEERS_SOCKETS);
        int free = Math.max(2 * limits.regionsShare(), sockets - limits.reservedSockets() - apart);
        int regions = free / limits.regionsShare();
        int terminals = free - regions;
        int forCallBacks = Math.max(1, terminals / limits.callBackShare());
        return new Room(regions, terminals, Math.min(maxOpen, terminals - forCallBacks
                + (batch == null ? 0 : batch.mostOut()) + (tuning.timetable() == null ? 0 : MOST_FIRES)));
    }

    /** Reads the platform's file, already parsed, without any environment. */
    public static Config of(JsonObject file, Tuning tuning) throws ConfigException {
        return new Reader(Map.of(), file, tuning).config();
    }

    /** For a start without clients, workers and discovery, at any port of this machine. */
    public static Config alone() throws ConfigException {
        return new Reader(Map.of(), JsonParser.parseString(ALONE).getAsJsonObject(), Tuning.DEFAULT).config();
    }

    /** Reads what the environment points to, at the start. */
    public static Config read(Map<String, String> environment, Tuning tuning) throws ConfigException {
        return read(environment, tuning, false);
    }

    /** Reads it again: the address of discovery in the file is newer than the one given at the start. */
    public static Config readAgain(Map<String, String> environment, Tuning tuning) throws ConfigException {
        return read(environment, tuning, true);
    }

    private static Config read(Map<String, String> environment, Tuning tuning, boolean again)
            throws ConfigException {
        var file = json(environment);
        var given = new HashMap<>(environment);
        if (again && file.has("discovery")) {
            given.remove("BALANCER_DISCOVERY");
        }
        return new Reader(given, file, tuning).config();
    }

    /** The platform's file as it is. */
    public static JsonObject json(Map<String, String> environment) throws ConfigException {
        var path = environment.get("BALANCER_CONFIG");
        if (path == null || path.isEmpty()) {
            throw new ConfigException("BALANCER_CONFIG is not set");
        }
        JsonElement json;
        try {
            json = JsonParser.parseString(Files.readString(Path.of(path)));
        } catch (IOException e) {
            throw new ConfigException("BALANCER_CONFIG: cannot read " + path + ": " + e);
        } catch (JsonParseException e) {
            throw new ConfigException("BALANCER_CONFIG: " + path + " is not valid JSON: " + e.getMessage());
        }
        if (!json.isJsonObject()) {
            throw new ConfigException("BALANCER_CONFIG: " + path + " must hold a JSON object");
        }
        return json.getAsJsonObject();
    }

    /** The keys of one file. */
    private record Reader(Map<String, String> environment, JsonObject file, Tuning tuning) {

        Config config() throws ConfigException {
            var raw = object(file, "settings", "settings");
            var settings = settings(raw);
            var reader = new ListReader(texts(raw, "areas"), texts(raw, "models"));
            var allowed = optional(raw, "allowed", "settings.allowed");
            var obligations = optional(raw, "obligations", "settings.obligations");
            var limits = optional(file, "limits", "limits");
            var otherwise = tuning.unsaid();
            return new Config(name(), address("BALANCER_LISTEN", "listen", otherwise.listen()),
                    discovery(otherwise.discovery()), seed(),
                    (int) number(limits, "sockets", "limits.sockets", otherwise.sockets(), LEAST_SOCKETS),
                    settings, names(raw, "categories"), names(raw, "parties"), reader, known(reader),
                    (long) number(allowed, "connect_timeout", "settings.allowed.connect_timeout",
                            otherwise.connectLimit(), 1),
                    (long) number(allowed, "conn_idle", "settings.allowed.conn_idle",
                            otherwise.connIdle(), 1),
                    (int) number(allowed, "max_open", "settings.allowed.max_open", otherwise.maxOpen(), 1),
                    (long) number(obligations, "grace_to_answer", "settings.obligations.grace_to_answer",
                            otherwise.grace(), 0), tuning);
        }

        private String name() throws ConfigException {
            var given = environment.get("BALANCER_NAME");
            return given != null ? given : file.has("name") ? text("name") : tuning.unsaid().name();
        }

        private Settings settings(JsonObject raw) throws ConfigException {
            try {
                var settings = SettingsReader.read(plain(raw));
                if (settings.classes().isEmpty()) {
                    throw new ConfigException("settings.categories: at least one class is needed");
                }
                return settings;
            } catch (SettingsException e) {
                throw new ConfigException("settings: " + e.getMessage());
            }
        }

        /** Not by a Gson object: all the adapters that one makes for itself cost a start ten milliseconds. */
        private static Map<String, Object> plain(JsonObject object) {
            var map = new LinkedHashMap<String, Object>();
            object.entrySet().forEach(each -> map.put(each.getKey(), plain(each.getValue())));
            return map;
        }

        private static Object plain(JsonElement value) {
            if (value.isJsonObject()) {
                return plain(value.getAsJsonObject());
            }
            if (value.isJsonArray()) {
                var list = new ArrayList<>();
                value.getAsJsonArray().forEach(each -> list.add(plain(each)));
                return list;
            }
            if (value.isJsonNull()) {
                return null;
            }
            var primitive = value.getAsJsonPrimitive();
            return primitive.isBoolean() ? (Object) primitive.getAsBoolean()
                    : primitive.isNumber() ? (Object) primitive.getAsDouble() : primitive.getAsString();
        }

        private ListUpdate known(ListReader reader) throws ConfigException {
            if (!file.has("known")) {
                return new ListUpdate(0, true, List.of());
            }
            try {
                return reader.read(file.get("known").toString());
            } catch (IOException e) {
                throw new ConfigException("known: " + e.getMessage());
            }
        }

        private InetSocketAddress address(String variable, String key, InetSocketAddress otherwise)
                throws ConfigException {
            var given = environment.get(variable);
            if (given == null && otherwise != null && !file.has(key)) {
                return otherwise;
            }
            try {
                return Addresses.parse(given != null ? given : text(key));
            } catch (IllegalArgumentException e) {
                throw new ConfigException((given != null ? variable : key) + ": " + e.getMessage());
            }
        }

        /** Null where nobody names one, and none is needed as another catalogue takes its place. */
        private InetSocketAddress discovery(InetSocketAddress otherwise) throws ConfigException {
            boolean none = otherwise == null && tuning.consul() != null && !file.has("discovery")
                    && !environment.containsKey("BALANCER_DISCOVERY");
            return none ? null : address("BALANCER_DISCOVERY", "discovery", otherwise);
        }

        private long seed() throws ConfigException {
            if (!file.has("seed")) {
                return System.nanoTime();
            }
            try {
                return Long.parseUnsignedLong(text("seed"), 16);
            } catch (NumberFormatException e) {
                throw new ConfigException("seed: must be up to 16 hexadecimal digits");
            }
        }

        private String text(String key) throws ConfigException {
            return text(file.get(key), key);
        }

        private static String text(JsonElement value, String key) throws ConfigException {
            if (value == null) {
                throw new ConfigException(key + ": missing");
            }
            if (!value.isJsonPrimitive() || !value.getAsJsonPrimitive().isString()) {
                throw new ConfigException(key + ": must be text");
            }
            return value.getAsString();
        }

        private static JsonObject object(JsonObject from, String key, String path) throws ConfigException {
            var value = from.get(key);
            if (value == null || !value.isJsonObject()) {
                throw new ConfigException(path + (value == null ? ": missing" : ": must be an object"));
            }
            return value.getAsJsonObject();
        }

        private static JsonObject optional(JsonObject from, String key, String path) throws ConfigException {
            return from.has(key) ? object(from, key, path) : new JsonObject();
        }

        private static double number(JsonObject from, String key, String path, double otherwise, double least)
                throws ConfigException {
            var value = from.get(key);
            if (value == null) {
                return otherwise;
            }
            if (!value.isJsonPrimitive() || !value.getAsJsonPrimitive().isNumber()
                    || value.getAsDouble() < least) {
                throw new ConfigException(path + ": must be a number of at least " + (long) least);
            }
            return value.getAsDouble();
        }

        private static List<JsonElement> array(JsonObject from, String key) throws ConfigException {
            var value = from.get(key);
            if (value != null && !value.isJsonArray()) {
                throw new ConfigException("settings." + key + ": must be an array");
            }
            return value == null ? List.of() : value.getAsJsonArray().asList();
        }

        private static List<String> texts(JsonObject from, String key) throws ConfigException {
            var found = new ArrayList<String>();
            for (var each : array(from, key)) {
                found.add(text(each, "settings." + key));
            }
            return List.copyOf(found);
        }

        private static List<String> names(JsonObject from, String key) throws ConfigException {
            var found = new ArrayList<String>();
            for (var each : array(from, key)) {
                var path = "settings." + key + "[" + found.size() + "]";
                if (!each.isJsonObject()) {
                    throw new ConfigException(path + ": must be an object");
                }
                found.add(text(each.getAsJsonObject().get("name"), path + ".name"));
            }
            return List.copyOf(found);
        }
    }
}
