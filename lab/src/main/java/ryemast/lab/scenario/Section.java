package ryemast.lab.scenario;

import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import ryemast.toml.TomlTable;

/**
 * One table of a scenario file: its keys as figures and words that runs draw from, in the file's own units.
 * Notes down each key that it knows, so that a test can hold the reference page against them.
 */
final class Section {

    static final double MILLISECOND = 1e3;
    static final double SECOND = 1e6;

    /** Names travel in headers and in ids. */
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,39}");

    private final TomlTable table;
    private final String kind;
    private final String label;
    private final Set<String> known;

    /**
     * @param kind   the table's name in the reference
     * @param label  tells it from others of its kind, so that each draws from streams of its own
     */
    Section(TomlTable table, String kind, String label, Set<String> known) {
        this.table = table;
        this.kind = kind;
        this.label = label;
        this.known = known;
    }

    private String ask(String key) {
        known.add(kind.isEmpty() ? key : kind + "." + key);
        return key;
    }

    private Range range(String key, double otherwise, double unit, double least, double most) {
        double[] ends = table.range(ask(key), otherwise, otherwise, least, most);
        return new Range(label + "." + key, ends[0], ends[1], unit, false);
    }

    Range number(String key, double otherwise, double least, double most) {
        return range(key, otherwise, 1, least, most);
    }

    /** Null where the key is absent. */
    double[] numbers(String key, double least, double most) {
        return table.numbers(ask(key), least, most);
    }

    Range seconds(String key, double otherwise, double least, double most) {
        return range(key, otherwise / SECOND, SECOND, least, most);
    }

    Range millis(String key, double otherwise, double least, double most) {
        return range(key, otherwise / MILLISECOND, MILLISECOND, least, most);
    }

    Range count(String key, long otherwise, long least, long most) {
        double[] ends = table.range(ask(key), otherwise, otherwise, least, most);
        for (double end : ends) {
            if (end != Math.rint(end)) {
                complain(key, "is " + end + "; expected whole numbers");
            }
        }
        return new Range(label + "." + key, Math.rint(ends[0]), Math.rint(ends[1]), 1, true);
    }

    /** A figure as a message shows it. */
    static double rounded(double value) {
        return Math.round(value * 1_000) / 1_000.0;
    }

    boolean flag(String key, boolean otherwise) {
        return table.flag(ask(key), otherwise);
    }

    String text(String key, String otherwise) {
        return table.text(ask(key), otherwise);
    }

    /** Texts that are all used, none drawn. */
    List<String> texts(String key, List<String> otherwise, List<String> allowed) {
        var found = table.words(ask(key), null, allowed);
        if (found != null && found.isEmpty()) {
            complain(key, "is an empty list; expected one text at least");
        }
        return found == null || found.isEmpty() ? otherwise : found;
    }

    Choice choice(String key, String otherwise, List<String> words) {
        return new Choice(label + "." + key, texts(key, List.of(otherwise), words));
    }

    <E extends Enum<E>> Choice choice(String key, E otherwise, Class<E> type) {
        return choice(key, Choice.word(otherwise), Choice.words(type));
    }

    /** The name of a kind, class or tenant: needed, and not taken twice. */
    static String name(TomlTable table, Set<String> taken, Set<String> known, String kind) {
        known.add(kind + ".name");
        var name = table.text("name", null);
        if (name == null) {
            if (!table.has("name")) {
                table.complain("name", "is missing; expected a name");
            }
            return "";
        }
        checkName(table, "name", name);
        if (!taken.add(name)) {
            table.complain("name", "is \"" + name + "\" for the second time; expected a name of its own");
        }
        return name;
    }

    static void checkName(TomlTable table, String key, String name) {
        if (!NAME.matcher(name).matches()) {
            table.complain(key, "is \"" + name + "\"; expected up to 40 letters, digits, dots, dashes or "
                    + "underscores, a letter or digit first");
        }
    }

    void complain(String key, String what) {
        table.complain(key, what);
    }

    /** Notes a key as known and says whether it is in the file. */
    boolean given(String key) {
        return table.has(ask(key));
    }
}
