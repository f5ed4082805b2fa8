package ryemast.operator;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Collections;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.logging.Level;
import ryemast.config.ConfigException;
import ryemast.config.Tuning;
import ryemast.consul.Field;
import ryemast.log.LogTuning;
import ryemast.membership.MembershipLimits;
import ryemast.net.Addresses;
import ryemast.net.client.ClientTuning;
import ryemast.net.discovery.DiscoveryTuning;
import ryemast.net.worker.WorkerTuning;
import ryemast.toml.Faults;
import ryemast.toml.FaultyFileException;
import ryemast.toml.TomlTable;

/**
 * What one operator file says, complete and checked: a value for each key, and the line that it is from. A
 * file with a fault anywhere gives none, so that no dispatcher runs with half of what its operator meant.
 * Immutable.
 *
 * @param file    null where there is no file, and every value is the default
 * @param values  one for each key
 */
public record OperatorFile(Path file, Map<Key, Value> values) {

    static final int LONGEST_NAME = 100;
    static final int LONGEST_TEXT = 1000;
    private static final long MICROS_PER_MS = 1000;
    private static final long MS_PER_S = 1000;
    private static final long BYTES_PER_MB = 1_000_000;

    /**
     * @param value  a {@link Long} in the key's unit, or a {@link String}
     * @param line   0 for a default
     */
    public record Value(Object value, int line) {
    }

    public OperatorFile {
        values = Collections.unmodifiableMap(new EnumMap<>(values));
    }

    /** All defaults. */
    public static OperatorFile none() {
        var values = new EnumMap<Key, Value>(Key.class);
        for (var key : Key.values()) {
            values.put(key, new Value(key.otherwise(), 0));
        }
        return new OperatorFile(null, values);
    }

    /** Reads and checks a file; the exception tells all its faults. */
    public static OperatorFile read(Path file) throws FaultyFileException {
        var faults = new Faults();
        var root = TomlTable.read(file, faults);
        var found = root == null ? none() : new Reader(root, faults).read(file);
        faults.raise();
        return found;
    }

    /** The same for a start of the program, which tells of faults as of those in its other configuration. */
    static Tuning tuning(String path) throws ConfigException {
        try {
            return read(Path.of(path)).tuning();
        } catch (FaultyFileException e) {
            throw new ConfigException("not started, as the operator file is at fault:\n" + e.getMessage());
        } catch (InvalidPathException e) {
            throw new ConfigException("not started, as the operator file can have no such path: "
                    + e.getMessage());
        }
    }

    /** How many keys the file sets. */
    public long count() {
        return values.values().stream().filter(value -> value.line > 0).count();
    }

    public Tuning tuning() {
        int maxOpen = whole(Key.MAX_OPEN);
        return new Tuning(
                new Tuning.Unsaid(text(Key.NAME), address(Key.LISTEN), address(Key.DISCOVERY),
                        whole(Key.SOCKETS), maxOpen == 0 ? Integer.MAX_VALUE : maxOpen,
                        micros(Key.CONNECT_LIMIT_MS), micros(Key.REGION_IDLE_LIMIT_MS), micros(Key.GRACE_MS)),
                new Tuning.Limits(whole(Key.RESERVED_SOCKETS), whole(Key.REGIONS_SHARE),
                        whole(Key.CALL_BACK_SHARE), whole(Key.NAMES_REMEMBERED)),
                new ClientTuning(micros(Key.LONGEST_REQUEST_MS), micros(Key.TERMINAL_IDLE_LIMIT_S),
                        micros(Key.LINGER_MS), micros(Key.YOUNG_MS), whole(Key.FREE_SHARE),
                        whole(Key.BACKLOG)),
                new WorkerTuning(micros(Key.LEAST_REST_MS), micros(Key.FORGIVING_S),
                        micros(Key.PATIENCE_MS)),
                new DiscoveryTuning(micros(Key.SILENCE_MS), whole(Key.TABLE_CONNECT_LIMIT_MS),
                        whole(Key.LONGEST_LINE_BYTES)),
                new Tuning.Ending(micros(Key.CLIENTS_COME_MS), micros(Key.REST_MS), micros(Key.LEAST_MS)),
                new LogTuning(text(Key.FORMAT).equals("json"),
                        Level.parse(text(Key.LEVEL).toUpperCase(Locale.ROOT)), whole(Key.REPEAT_LIMIT),
                        micros(Key.REPEAT_WINDOW_S) / MICROS_PER_MS), recording(),
                text(Key.DRAINED_FILE).isEmpty() ? null : text(Key.DRAINED_FILE), bounds(), consul(),
                batch(), coordination(), orNull(Key.TIMETABLE_FILE), orNull(Key.RESERVATIONS_FILE),
                text(Key.PEERS_LISTEN).isEmpty() ? null
                : new Tuning.Peers(address(Key.PEERS_LISTEN), addresses(Key.PEERS_ADDRESSES),
                        micros(Key.PEERS_PERIOD_MS)));
    }

    private MembershipLimits bounds() {
        var usual = MembershipLimits.DEFAULT;
        return new MembershipLimits(part(Key.LOSS_PERCENT), micros(Key.LOSS_WINDOW_S), micros(Key.SUSPECT_S),
                usual.livenessTimeout(), micros(Key.PROBATION_S), usual.maxAge(),
                micros(Key.FLAP_HALF_LIFE_S),
                number(Key.FLAP_FALLS), part(Key.HELD_PERCENT), part(Key.WARNED_PERCENT),
                micros(Key.FORGET_S));
    }

    /** A third is a third, which no whole number of percent is. */
    private double part(Key key) {
        return number(key) == 33 ? 1.0 / 3 : number(key) / 100.0;
    }

    private Tuning.Consul consul() {
        if (text(Key.CONSUL_AGENTS).isEmpty()) {
            return null;
        }
        var agents = addresses(Key.CONSUL_AGENTS);
        var workers = text(Key.CONSUL_WORKERS).split(":", 2);
        return new Tuning.Consul(agents, workers[0].equals("service") ? workers[1] : null,
                workers[0].equals("tag") ? workers[1]
                : null, text(Key.CONSUL_MODE), orNull(Key.CONSUL_DATACENTRE),
                orNull(Key.CONSUL_FILTER), orNull(Key.CONSUL_TOKEN_FILE), orNull(Key.CONSUL_AUTHORITY_FILE),
                orNull(Key.CONSUL_TLS_NAME), micros(Key.CONSUL_WAIT_S), micros(Key.CONSUL_CONNECT_LIMIT_MS),
                Math.toIntExact(number(Key.CONSUL_LONGEST_ANSWER_MB) * BYTES_PER_MB),
                new Tuning.Fields(text(Key.CONSUL_ID), text(Key.CONSUL_KIND), text(Key.CONSUL_ZONE),
                        text(Key.CONSUL_CELL), text(Key.CONSUL_WEIGHT), text(Key.CONSUL_STARTED)),
                orNull(Key.CONSUL_REGISTER_AS), micros(Key.CONSUL_TTL_S));
    }

    private Tuning.Batch batch() {
        return text(Key.BATCH_LISTEN).isEmpty() ? null : new Tuning.Batch(address(Key.BATCH_LISTEN),
                text(Key.BATCH_FOLDER), text(Key.BATCH_KEYS_FOLDER), whole(Key.BATCH_MOST_OUT),
                whole(Key.BATCH_MOST_WAITING), whole(Key.BATCH_CONNECTIONS), micros(Key.BATCH_HELLO_LIMIT_MS),
                micros(Key.BATCH_FRAME_LIMIT_MS), micros(Key.BATCH_IDLE_LIMIT_S), whole(Key.BATCH_WINDOW),
                number(Key.BATCH_STORE_MB) * BYTES_PER_MB, number(Key.BATCH_RESERVE_MB) * BYTES_PER_MB,
                micros(Key.BATCH_RETAIN_S), whole(Key.BATCH_FAILURES));
    }

    private Tuning.Coordination coordination() {
        if (text(Key.COORDINATION_KIND).equals("none")) {
            return null;
        }
        boolean own = !text(Key.COORDINATION_AGENTS).isEmpty();
        var token = text(Key.COORDINATION_TOKEN_FILE).isEmpty() ? Key.CONSUL_TOKEN_FILE
                : Key.COORDINATION_TOKEN_FILE;
        boolean embedded = text(Key.COORDINATION_KIND).equals("embedded");
        return new Tuning.Coordination(embedded ? text(Key.COORDINATION_FOLDER) : null,
                embedded ? null : new Tuning.Kv(text(Key.COORDINATION_PREFIX),
                        addresses(own ? Key.COORDINATION_AGENTS : Key.CONSUL_AGENTS), orNull(token),
                        orNull(Key.CONSUL_AUTHORITY_FILE), orNull(Key.CONSUL_TLS_NAME),
                        micros(Key.CONSUL_WAIT_S), micros(Key.CONSUL_CONNECT_LIMIT_MS),
                        Math.toIntExact(number(Key.CONSUL_LONGEST_ANSWER_MB) * BYTES_PER_MB)),
                whole(Key.COORDINATION_REPLICAS), micros(Key.COORDINATION_LASTS_MS),
                number(Key.COORDINATION_DRIFT_PERCENT) / 100.0);
    }

    /** Empty where there are none. */
    private List<InetSocketAddress> addresses(Key key) {
        return text(key).isEmpty() ? List.of()
                : Arrays.stream(text(key).split(",")).map(String::strip).map(Addresses::parse).toList();
    }

    private String orNull(Key key) {
        return text(key).isEmpty() ? null : text(key);
    }

    private Tuning.Recording recording() {
        return text(Key.RECORDING_FOLDER).isEmpty() ? null : new Tuning.Recording(text(Key.RECORDING_FOLDER),
                number(Key.PART_MB) * BYTES_PER_MB, number(Key.TOTAL_MB) * BYTES_PER_MB,
                whole(Key.WAITING_RECORDS));
    }

    private String text(Key key) {
        return (String) values.get(key).value;
    }

    private long number(Key key) {
        return (Long) values.get(key).value;
    }

    /** For a key whose range lies within what an int holds. */
    private int whole(Key key) {
        return Math.toIntExact(number(key));
    }

    private long micros(Key key) {
        return number(key) * MICROS_PER_MS * (key.unit().equals("s") ? MS_PER_S : 1);
    }

    private InetSocketAddress address(Key key) {
        return text(key).isEmpty() ? null : Addresses.parse(text(key));
    }

    /** Goes through one file key by key. */
    private static final class Reader {
        private final TomlTable root;
        private final Faults faults;
        private final Map<String, TomlTable> sections = new HashMap<>();
        private final Map<Key, Value> values = new EnumMap<>(Key.class);
        /** Keys whose values will not do; what depends on them is not checked. */
        private final Map<Key, Boolean> faulty = new EnumMap<>(Key.class);

        Reader(TomlTable root, Faults faults) {
            this.root = root;
            this.faults = faults;
        }

        OperatorFile read(Path file) {
            for (var key : Key.values()) {
                var section = sections.computeIfAbsent(key.section(), root::table);
                int before = faults.count();
                var value = value(section, key);
                boolean own = section.has(key.inSection());
                values.put(key, new Value(value, own ? section.line(key.inSection()) : 0));
                faulty.put(key, faults.count() > before);
            }
            for (var rule : Rule.values()) {
                if (!faulty.get(rule.one) && !faulty.get(rule.other)) {
                    check(rule);
                }
            }
            misplaced(root, "");
            sections.forEach((name, section) -> misplaced(section, name));
            root.done();
            return new OperatorFile(file, values);
        }

        private static Object value(TomlTable section, Key key) {
            var name = key.inSection();
            if (key.kind() == Key.Kind.WHOLE) {
                return section.whole(name, (Long) key.otherwise(), key.least(), key.most(), key.expected());
            } else if (key.kind() == Key.Kind.WORD) {
                return section.oneOf(name, (String) key.otherwise(), key.words());
            }
            var text = section.text(name, (String) key.otherwise(), key.expected());
            if (section.has(name) && !isGood(key, text)) {
                section.wrong(name, key.expected());
            }
            return text;
        }

        private static boolean isGood(Key key, String text) {
            return switch (key.kind()) {
                case ADDRESS -> isAddress(text);
                case ADDRESSES -> Arrays.stream(text.split(",", -1)).map(String::strip)
                        .allMatch(Reader::isAddress);
                case FOLDER -> isFolder(text);
                case FILE -> isFile(text);
                case TEXT -> isText(text, LONGEST_TEXT);
                case FIELD -> isField(text);
                case KEY -> text.length() <= LONGEST_NAME
                        && text.matches("[A-Za-z0-9._-]+(/[A-Za-z0-9._-]+)*");
                case WORKERS -> text.matches("(service|tag):[^:/?#]+") && isText(text, LONGEST_TEXT);
                default -> isText(text, LONGEST_NAME);
            };
        }

        /** Whether it is there is seen when it is needed; until then it can be made. */
        private static boolean isFolder(String text) {
            try {
                return !text.isBlank() && text.codePoints().noneMatch(Character::isISOControl)
                        && !Files.isRegularFile(Path.of(text));
            } catch (InvalidPathException e) {
                return false;
            }
        }

        /** Whether it is there is seen when it is read. */
        private static boolean isFile(String text) {
            try {
                return isText(text, LONGEST_TEXT) && !Files.isDirectory(Path.of(text));
            } catch (InvalidPathException e) {
                return false;
            }
        }

        private static boolean isField(String text) {
            try {
                return new Field(text).toString().equals(text);
            } catch (IllegalArgumentException e) {
                return false;
            }
        }

        private static boolean isText(String text, int longest) {
            return !text.isBlank() && text.length() <= longest
                    && text.codePoints().noneMatch(Character::isISOControl);
        }

        private static boolean isAddress(String text) {
            try {
                return Addresses.parse(text) != null;
            } catch (IllegalArgumentException e) {
                return false;
            }
        }

        /** A key that is known, but in another section, is told to belong there. */
        private static void misplaced(TomlTable table, String section) {
            for (var name : table.keys()) {
                var homes = Arrays.stream(Key.values()).filter(key -> key.inSection().equals(name)).toList();
                if (!homes.isEmpty() && homes.stream().noneMatch(key -> key.section().equals(section))
                        && table.has(name)) {
                    table.complain(name, "has its place elsewhere; expected " + homes.get(0).path());
                }
            }
        }

        /** A broken rule is told at the key that the file sets; at the first of them if it sets both. */
        private void check(Rule rule) {
            var one = values.get(rule.one);
            var other = values.get(rule.other);
            if (rule.holds(one.value, other.value)) {
                return;
            }
            boolean atOther = one.line == 0;
            var at = atOther ? rule.other : rule.one;
            var against = atOther ? rule.one : rule.other;
            var told = values.get(against);
            var from = told.value.equals("") ? ", which is not set" : " = " + told.value
                    + (told.line == 0 ? " (the default)" : " (line " + told.line + ")");
            sections.get(at.section()).complain(at.inSection(), "is " + values.get(at).value
                    + ", against " + against.path() + from + "; expected " + rule.expected);
        }
    }
}
