package ryemast.toml;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class TomlTableTest {

    /** A file's lines, parted by |, and what is said of it, without the file's name. */
    private static final String[][] CASES = {
        {"text = 'x'|whole = 7|number = 2.5|flag = true|word = 'red'|range = [1, 2]|words = ['red', 'blue']|"
                + "texts = 'one'|table.name = 'n'|[[tables]]|n = 1"},
        {""},
        {"text = 7", "1: text: is the whole number 7; expected a text in quotes"},
        {"whole = 1.0", "1: whole: is the number 1.0; expected a whole number from 1 to 9"},
        {"whole = 10", "1: whole: is the whole number 10; expected a whole number from 1 to 9"},
        {"whole = [7]", "1: whole: is an array of 1; expected a whole number from 1 to 9"},
        {"whole = 1979-05-27",
            "1: whole: is the date or time 1979-05-27; expected a whole number from 1 to 9"},
        {"whole = 9223372036854775808",
            "1: whole: the number does not fit in 64 bits; expected a smaller one"},
        {"number = 1e999", "1: number: the number is beyond what a double can hold; expected a smaller one"},
        {"number = nan", "1: number: is nan; expected a number of at least 0.5"},
        {"number = inf", "1: number: is inf; expected a number of at least 0.5"},
        {"number = -inf", "1: number: is -inf; expected a number of at least 0.5"},
        {"number = 0", "1: number: is the whole number 0; expected a number of at least 0.5"},
        {"flag = 'yes'", "1: flag: is the text \"yes\"; expected true or false"},
        {"word = 'redd'", "1: word: is the text \"redd\"; expected \"red\" or \"blue\" (\"red\" perhaps)"},
        {"word = 'x\\u0007'".replace('\'', '"'),
            "1: word: is the text \"x\\u0007\"; expected \"red\" or \"blue\""},
        {"range = [2, 1]", "1: range: is an array of 2; expected the lower end of the range first"},
        {"range = [1]",
            "1: range: is an array of 1; expected a number from 0 to 9, or [low, high] of two such"},
        {"range = [1, 'x']",
            "1: range: is the text \"x\"; expected a number from 0 to 9, or [low, high] of two such"},
        {"range = nan", "1: range: is nan; expected a number from 0 to 9, or [low, high] of two such"},
        {"words = ['red', 7, 'blu']",
            "1: words: is the whole number 7; expected \"red\" or \"blue\", or an array of such",
            "1: words: is the text \"blu\"; expected \"red\" or \"blue\", or an array of such"
                + " (\"blue\" perhaps)"},
        {"texts = [true]", "1: texts: is true; expected a text, or an array of texts"},
        {"table = 1", "1: table: is the whole number 1; expected a table, as [table] begins one"},
        {"[whole]|x = 1", "1: whole: is a table; expected a whole number from 1 to 9"},
        {"[tables]|n = 1", "1: tables: is a table; expected an array of tables, as [[tables]] begins each"},
        {"|tables = [1]",
            "2: tables: is the whole number 1; expected an array of tables, as [[tables]] begins each"},
        {"[[tables]]|n = 1|[[tables]]|m = 2", "4: tables[1].m: there is no such key; expected one of n"},
        {"[table]|nmae = 'n'", "2: table.nmae: there is no such key; expected table.name perhaps"},
        {"table.\"na.me\" = 'n'", "1: table.\"na.me\": there is no such key; expected table.name perhaps"},
        {"Whole = 1", "1: Whole: there is no such key; expected whole perhaps"},
        {"[zzz]", "1: zzz: there is no such table; expected one of flag, number, range, table, tables, text,"
                + " texts, whole, word, words"},
        {"whole = 1|flag = true|whole = 2", "3: whole: is there twice, first at line 1; expected once"},
        {"[table]|name = 'a'|[table]", "3: table: is there twice, first at line 1; expected once"},
        {"whole = 1|whole.x = 2", "2: whole.x: whole has another kind of value at line 1; expected a table"},
        {"[table]|name = ", "2: table.name: unexpected end of input; expected ', \", ''', \"\"\", a number,"
                + " a boolean, a date/time, an array, or a table (column 8)"},
        {"whole = 0|flag = 7|text = 1",
            "1: whole: is the whole number 0; expected a whole number from 1 to 9",
            "2: flag: is the whole number 7; expected true or false",
            "3: text: is the whole number 1; expected a text in quotes"},
    };

    @TempDir
    private Path folder;

    private static void readAll(TomlTable root) {
        // Not in the order of the lines: that is for the faults to see to.
        root.text("text", "");
        root.flag("flag", false);
        root.whole("whole", 1, 1, 9);
        root.number("number", 1, 0.5, Double.MAX_VALUE);
        root.oneOf("word", "red", List.of("red", "blue"));
        root.range("range", 1, 2, 0, 9);
        root.words("words", List.of(), List.of("red", "blue"));
        root.texts("texts");
        root.table("table").text("name", "");
        root.tables("tables").forEach(each -> each.whole("n", 0, 0, 9));
        root.done();
    }

    @Test
    void everyMessageSaysLineKeyAndWhatWasExpected() throws IOException {
        var file = folder.resolve("f.toml");
        for (var each : CASES) {
            Files.writeString(file, each[0].replace('|', '\n'));
            var faults = new Faults();
            var root = TomlTable.read(file, faults);
            if (root != null) {
                readAll(root);
            }
            var expected = Stream.of(each).skip(1).map(line -> file + ":" + line).toList();
            assertEquals(expected, faults.lines(), each[0]);
        }
    }

    @Test
    void valuesAreWhatTheFileSays() throws IOException {
        var file = Files.writeString(folder.resolve("f.toml"),
                "\uFEFFa.b = 0x1F\nc = [1, 2.5]\nd = 3\nw = 'x'\n");
        var root = TomlTable.read(file, new Faults());
        assertEquals(31, root.table("a").whole("b", 0, 0, 99));
        assertEquals(5, root.table("none").whole("b", 5, 0, 99));
        assertArrayEquals(new double[] {1, 2.5}, root.range("c", 0, 0, 0, 9));
        assertArrayEquals(new double[] {3, 3}, root.range("d", 0, 0, 0, 9));
        assertEquals(List.of("x"), root.words("w", List.of(), List.of("x", "y")));
        assertEquals(4, root.line("w"));
        assertEquals("a", root.table("a").path());
        assertFalse(root.has("e"));
    }

    private void refuses(Path file, String what) {
        var faults = new Faults();
        assertNull(TomlTable.read(file, faults));
        assertEquals(List.of(file + what), faults.lines());
    }

    @Test
    void whatIsNoFileOfOursIsRefusedUnread() throws IOException {
        refuses(folder, ": is a folder; expected a TOML file");
        refuses(folder.resolve("none"), ": there is no such file; expected a TOML file");
        refuses(Path.of("/dev/zero"), ": is no regular file; expected a TOML file");
        refuses(Files.write(folder.resolve("large"), new byte[10_000_000]),
                ": has 10000000 bytes; expected at most 1048576");
        refuses(Files.write(folder.resolve("latin"), new byte[] {'a', '\n', '#', (byte) 0xE9, '\n'}),
                ":2: byte 0xE9 is not UTF-8; expected UTF-8 text");
        refuses(Files.writeString(folder.resolve("deep"), "a = " + "[".repeat(500_000)),
                ": its brackets are nested too deeply to be read; expected a few levels at most");
    }

    @Test
    void allFaultsAreRaisedAtOnce() {
        var faults = new Faults();
        faults.add(Path.of("g"), 3, "b", "late");
        faults.add(Path.of("g"), 1, "", "early");
        faults.add(Path.of("g"), 3, "b", "late");
        assertTrue(faults.any());
        assertEquals("g:1: early\ng:3: b: late",
                assertThrows(FaultyFileException.class, faults::raise).getMessage());
    }
}
