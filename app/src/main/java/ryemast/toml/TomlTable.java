package ryemast.toml;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;

/**
 * One table of a TOML file as its reader sees it: each key is asked for by its name, with what holds where it
 * is absent and what is permitted. A value that will not do is told to the {@link Faults}, and what holds
 * where it is absent is used instead, so that a reader goes on to the next fault. What was never asked for by
 * {@link #done} is not known. A key is one name: a dot in it is a part of the name, as in a quoted key.
 */
public final class TomlTable {

    private static final Pattern BARE = Pattern.compile("[A-Za-z0-9_-]+");

    private final Path file;
    private final Faults faults;
    /** Null for one that is not in the file. */
    private final org.tomlj.TomlTable raw;
    private final String path;
    private final int ownLine;
    /** Lines of the file above the text that the parser had. */
    private final int above;
    private final Set<String> asked = new LinkedHashSet<>();
    private final Map<String, List<TomlTable>> children = new HashMap<>();

    private TomlTable(Path file, Faults faults, org.tomlj.TomlTable raw, String path, int ownLine,
            int above) {
        this.file = file;
        this.faults = faults;
        this.raw = raw;
        this.path = path;
        this.ownLine = ownLine;
        this.above = above;
    }

    /** The file's root table; null, with the reason among the faults, if there is none to be had. */
    public static TomlTable read(Path file, Faults faults) {
        TomlParseResult parsed = new Source(file, faults).parse();
        return parsed == null ? null : new TomlTable(file, faults, parsed, "", 1, 0);
    }

    /** The root of a part of a file, below so many of its lines. */
    static TomlTable part(Path file, Faults faults, TomlParseResult parsed, int above) {
        return new TomlTable(file, faults, parsed, "", 1 + above, above);
    }

    /** The same table, told of under another path; nothing may have been asked for yet. */
    TomlTable as(String otherPath) {
        return new TomlTable(file, faults, raw, otherPath, ownLine, above);
    }

    /** A short text under a key, without asking for it; null if there is none. */
    String label(String key) {
        return get(key) instanceof String text && !text.isBlank() && text.length() <= Values.LONGEST ? text
                : null;
    }

    /** Whether the key is in the file, with whatever value. */
    public boolean has(String key) {
        asked.add(key);
        return get(key) != null;
    }

    /** The names of the keys in the file, in the order of their lines. Asks for none of them. */
    public List<String> keys() {
        return raw == null ? List.of() : raw.keySet().stream()
                .sorted((a, b) -> Integer.compare(line(a), line(b))).toList();
    }

    /** The table's own place in the file, empty for its root. */
    public String path() {
        return path;
    }

    /** The line of the key, or of its table where the key is absent. */
    public int line(String key) {
        TomlPosition at = raw == null || get(key) == null ? null : raw.inputPositionOf(List.of(key));
        return at == null ? ownLine : at.line() + above;
    }

    public String text(String key, String otherwise) {
        return text(key, otherwise, "a text in quotes");
    }

    /** {@code expected}: what to say in place of merely a text. */
    public String text(String key, String otherwise, String expected) {
        var value = ask(key);
        if (value == null || value instanceof String) {
            return value == null ? otherwise : (String) value;
        }
        return wrong(key, value, expected, otherwise);
    }

    /** One of some words. */
    public String oneOf(String key, String otherwise, List<String> words) {
        var value = ask(key);
        if (value == null || value instanceof String text && words.contains(text)) {
            return value == null ? otherwise : (String) value;
        }
        return wrong(key, value, Values.oneOf(words) + suggestion(value, words), otherwise);
    }

    public boolean flag(String key, boolean otherwise) {
        var value = ask(key);
        if (value == null || value instanceof Boolean) {
            return value == null ? otherwise : (Boolean) value;
        }
        return wrong(key, value, "true or false", otherwise);
    }

    /** A finite number, whole or not. */
    public double number(String key, double otherwise, double least, double most) {
        var value = ask(key);
        if (value == null) {
            return otherwise;
        }
        Double found = Values.finite(value);
        return found != null && found >= least && found <= most ? found
                : wrong(key, value, "a number " + Values.between(least, most), otherwise);
    }

    public long whole(String key, long otherwise, long least, long most) {
        return whole(key, otherwise, least, most, "a whole number " + Values.between(least, most));
    }

    /** {@code expected}: what to say in place of the two ends, such as a unit or the reason for the range. */
    public long whole(String key, long otherwise, long least, long most, String expected) {
        var value = ask(key);
        if (value == null || value instanceof Long found && found >= least && found <= most) {
            return value == null ? otherwise : (Long) value;
        }
        return wrong(key, value, expected, otherwise);
    }

    /** One number, which is both ends, or {@code [low, high]}. */
    public double[] range(String key, double low, double high, double least, double most) {
        var value = ask(key);
        var otherwise = new double[] {low, high};
        var expected = "a number " + Values.between(least, most) + ", or [low, high] of two such";
        if (value == null) {
            return otherwise;
        }
        if (!(value instanceof TomlArray array)) {
            Double found = Values.finite(value);
            return found != null && found >= least && found <= most ? new double[] {found, found}
                    : wrong(key, value, expected, otherwise);
        }
        if (array.size() != 2) {
            return wrong(key, value, expected, otherwise);
        }
        var ends = new double[2];
        for (int i = 0; i < 2; i++) {
            Double found = Values.finite(array.get(i));
            if (found == null || found < least || found > most) {
                return wrong(key, array.get(i), expected, otherwise);
            }
            ends[i] = found;
        }
        return ends[0] <= ends[1] ? ends
                : wrong(key, value, "the lower end of the range first", otherwise);
    }

    /** An array of finite numbers, one at least; null where the key is absent or at fault. */
    public double[] numbers(String key, double least, double most) {
        var value = ask(key);
        var expected = "an array of numbers " + Values.between(least, most);
        if (value == null) {
            return null;
        }
        if (!(value instanceof TomlArray array) || array.isEmpty()) {
            return wrong(key, value, expected, null);
        }
        var found = new double[array.size()];
        for (int i = 0; i < found.length; i++) {
            Double each = Values.finite(array.get(i));
            if (each == null || each < least || each > most) {
                return wrong(key, array.get(i), expected, null);
            }
            found[i] = each;
        }
        return found;
    }

    /** One text or an array of texts, each one of those allowed; any text is where none are named. */
    public List<String> words(String key, List<String> otherwise, List<String> allowed) {
        var value = ask(key);
        var expected = allowed.isEmpty() ? "a text, or an array of texts"
                : Values.oneOf(allowed) + ", or an array of such";
        if (value == null) {
            return otherwise;
        }
        var found = new ArrayList<String>();
        boolean good = true;
        for (var each : value instanceof TomlArray array ? array.toList() : List.of(value)) {
            if (each instanceof String word && (allowed.isEmpty() || allowed.contains(word))) {
                found.add(word);
            } else {
                wrong(key, each, expected + suggestion(each, allowed), null);
                good = false;
            }
        }
        return good ? List.copyOf(found) : otherwise;
    }

    /**
     * A value that only its reader knows, such as a date.
     *
     * @param reading  what to make of it; null for one that will not do
     */
    public <T> T read(String key, T otherwise, String expected, Function<Object, T> reading) {
        var value = ask(key);
        T found = value == null ? otherwise : reading.apply(value);
        return value != null && found == null ? wrong(key, value, expected, otherwise) : found;
    }

    /** One such value or an array of them; what will not do is told and left out. */
    public <T> List<T> readAll(String key, String expected, Function<Object, T> reading) {
        var value = ask(key);
        var found = new ArrayList<T>();
        var all = value == null ? List.of() : value instanceof TomlArray array ? array.toList()
                : List.of(value);
        for (var each : all) {
            var one = reading.apply(each);
            if (one == null) {
                wrong(key, each, expected, null);
            } else {
                found.add(one);
            }
        }
        return found;
    }

    /** One text or an array of texts; none where the key is absent. */
    public List<String> texts(String key) {
        return words(key, List.of(), List.of());
    }

    /** An empty one where the key is absent. */
    public TomlTable table(String key) {
        return children.computeIfAbsent(key, name -> {
            var value = ask(name);
            if (value != null && !(value instanceof org.tomlj.TomlTable)) {
                wrong(name, value, "a table, as [" + full(name) + "] begins one", null);
            }
            var own = value instanceof org.tomlj.TomlTable table ? table : null;
            return List.of(new TomlTable(file, faults, own, full(name), line(name), above));
        }).get(0);
    }

    /** An array of tables; none where the key is absent. */
    public List<TomlTable> tables(String key) {
        return children.computeIfAbsent(key, name -> {
            var value = ask(name);
            var found = new ArrayList<TomlTable>();
            var expected = "an array of tables, as [[" + full(name) + "]] begins each";
            if (value instanceof TomlArray array) {
                for (int i = 0; i < array.size(); i++) {
                    int line = array.inputPositionOf(i).line() + above;
                    if (array.get(i) instanceof org.tomlj.TomlTable table) {
                        found.add(new TomlTable(file, faults, table, full(name) + "[" + i + "]", line,
                                above));
                    } else {
                        faults.add(file, line, full(name),
                                Values.said(array.get(i)) + "; expected " + expected);
                    }
                }
            } else if (value != null) {
                wrong(name, value, expected, null);
            }
            return List.copyOf(found);
        });
    }

    /** Tells of a fault of the key's that only its reader can see; of the table itself if it is empty. */
    public void complain(String key, String what) {
        faults.add(file, key.isEmpty() ? ownLine : line(key), key.isEmpty() ? path : full(key), what);
    }

    /** Tells that the value there is, whatever it is, is not what was expected. */
    public void wrong(String key, String expected) {
        wrong(key, get(key), expected, null);
    }

    /** Every key never asked for is one nobody knows, here and in all tables that were asked for. */
    public void done() {
        for (var key : keys()) {
            if (!asked.contains(key)) {
                var near = Nearest.to(key, asked);
                var kind = get(key) instanceof org.tomlj.TomlTable ? "table" : "key";
                faults.add(file, line(key), full(key), "there is no such " + kind + "; expected "
                        + (near != null ? full(near) + " perhaps" : known()));
            }
        }
        children.values().forEach(each -> each.forEach(TomlTable::done));
    }

    private String known() {
        return asked.isEmpty() ? "none here" : "one of " + asked.stream().sorted()
                .collect(Collectors.joining(", "));
    }

    private Object get(String key) {
        return raw == null ? null : raw.get(List.of(key));
    }

    private Object ask(String key) {
        asked.add(key);
        return get(key);
    }

    private String full(String key) {
        var name = BARE.matcher(key).matches() ? key : Values.quoted(key);
        return path.isEmpty() ? name : path + "." + name;
    }

    private static String suggestion(Object value, List<String> words) {
        var near = value instanceof String text ? Nearest.to(text, words) : null;
        return near == null ? "" : " (" + Values.quoted(near) + " perhaps)";
    }

    private <T> T wrong(String key, Object value, String expected, T otherwise) {
        faults.add(file, line(key), full(key), Values.said(value) + "; expected " + expected);
        return otherwise;
    }
}
