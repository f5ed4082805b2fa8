package ryemast.toml;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/**
 * A long file of many tables that are alike, parsed one table after another: the parser's tree takes over a
 * hundred bytes for each byte of the text; that of a whole such file would not fit into a dispatcher's
 * memory.
 * A line that begins with {@code [[NAME]]} begins a section, whatever stands above it; all else stands before
 * the first.
 */
public final class Sections {

    private final Path file;
    private final Faults faults;
    private final Source source;
    private final String name;
    private final String labelKey;
    private final String text;
    /** Where each section begins in the text, and how many lines are above it. */
    private final List<int[]> begins = new ArrayList<>();

    private Sections(Path file, Faults faults, Source source, String name, String labelKey, String text) {
        this.file = file;
        this.faults = faults;
        this.source = source;
        this.name = name;
        this.labelKey = labelKey;
        this.text = text;
        var begin = "(?m)^[ \\t]*\\[\\[[ \\t]*" + Pattern.quote(name) + "[ \\t]*]]";
        var header = Pattern.compile(begin).matcher(text);
        int counted = 0;
        int lines = 0;
        while (header.find()) {
            for (; counted < header.start(); counted++) {
                lines += text.charAt(counted) == '\n' ? 1 : 0;
            }
            begins.add(new int[] {header.start(), lines});
        }
    }

    /**
     * Null, with the reason among the faults, if the file can't be read at all.
     *
     * @param name      of the tables that are alike
     * @param labelKey  the key of such a table that its faults are told under
     */
    public static Sections read(Path file, int mostBytes, String name, String labelKey, Faults faults) {
        var source = new Source(file, faults, mostBytes);
        var text = source.text();
        return text == null ? null : new Sections(file, faults, source, name, labelKey, text);
    }

    /** What stands before the first section; null, with the reason among the faults, if its form is wrong. */
    public TomlTable head() {
        return root(0, begins.isEmpty() ? text.length() : begins.get(0)[0], 0);
    }

    public int count() {
        return begins.size();
    }

    /** One section, parsed anew; null, with the reason among the faults, if its form is wrong. */
    public TomlTable at(int index) {
        int end = index + 1 < begins.size() ? begins.get(index + 1)[0] : text.length();
        var root = root(begins.get(index)[0], end, begins.get(index)[1]);
        if (root == null) {
            return null;
        }
        for (var key : root.keys()) {
            if (!key.equals(name)) {
                faults.add(file, root.line(key), key, "stands below the first [[" + name
                        + "]]; expected above it");
            }
        }
        var table = root.tables(name).get(0);
        var label = table.label(labelKey);
        return table.as(name + "[" + (label == null ? Integer.toString(index) : label) + "]");
    }

    private TomlTable root(int begin, int end, int above) {
        var parsed = source.parse(text.substring(begin, end), above);
        return parsed == null ? null : TomlTable.part(file, faults, parsed, above);
    }
}
