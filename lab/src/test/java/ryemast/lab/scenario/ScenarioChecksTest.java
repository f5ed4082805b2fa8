package ryemast.lab.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import ryemast.toml.FaultyFileException;

/** Each message of the scenario checks, with the line and the key that it names. */
class ScenarioChecksTest {

    private static final String KINDS = "crash, vanish, slow, never-starts, never-ends, resets, errors, "
            + "lost, turned-away, kept-dropped, flaps, cut-off, drain, rolling-release, heavy, poisoned, "
            + "discovery-stalls, discovery-down, dispatcher-kill, dispatcher-restart, dispatcher-pause";

    @TempDir
    Path folder;

    private String fault(String text) throws Exception {
        var file = Files.writeString(folder.resolve("s.toml"), text);
        return assertThrows(FaultyFileException.class, () -> ScenarioFile.read(file)).getMessage()
                .replace(file + ":", "");
    }

    /** The text after {@code |} begins on line 4, after a kind of three boxes. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "lenght_s = 3 | 4: kind[0].lenght_s: there is no such key; expected one of cancel,",
        "count = 2.5 | 4: kind[0].count: is 2.5; expected whole numbers",
        "count = [9, 8] | 4: kind[0].count: is an array of 2; expected the lower end of the range first",
        "count = 0 | 4: kind[0].count: makes for 0 boxes; expected 1 to 10000 of all kinds together",
        "cancel = 'quued' | 4: kind[0].cancel: is the text \"quued\"; expected \"none\" or \"queued\" or "
                + "\"all\", or an array of such (\"queued\" perhaps)",
        "cancel = [] | 4: kind[0].cancel: is an empty list; expected one text at least",
        "zones = 'b' | 4: kind[0].zones: is the text \"b\"; expected \"room-1\", or an array of such",
        "[[kind]] | 4: kind[1].name: is missing; expected a name",
        "[[kind]]\\nname = 'a' | 5: kind[1].name: is \"a\" for the second time; expected a name of its own",
        "[[kind]]\\nname = 'a b' | 5: kind[1].name: is \"a b\"; expected up to 40 letters, digits, dots, "
                + "dashes or underscores, a letter or digit first",
        "[load]\\nrate_per_s = 5\\nconnections = 2 | 6: load.connections: rate_per_s is given already; "
                + "expected one of rate_per_s, of_capacity, connections and replay",
        "[load]\\nconnections = 2\\nswing = 0 | 6: load.swing: a closed loop has no rate of its own; "
                + "expected no such key beside connections",
        "[load]\\nrate_per_s = 'x' | 5: load.rate_per_s: is the text \"x\"; expected a number from 0.001 "
                + "to 1000000",
        "[laod]\\nrate_per_s = 5 | 4: laod: there is no such table; expected load perhaps",
        "[[class]]\\nname = 'c'\\nshare = 0.5 | 6: class[0].share: makes the shares of all classes add up "
                + "to 0.5; expected 1",
        "[[tenant]]\\nname = 'c'\\nshare = [0.1, 0.5] | 6: tenant[0].share: makes the shares of all "
                + "tenants add up to 0.1 to 0.5; expected 1",
        "[[class]]\\nname = 'c'\\naim_ms = 6_000 | 6: class[0].aim_ms: is 6000.0; expected at most the "
                + "deadline, 5000.0",
        "[[class]]\\nname = 'c'\\nslots = 3 | 6: class[0].slots: is 3; expected at most 2, which the "
                + "largest kind of box has for certain",
        "[rules]\\nstart_capacity = 0.5 | 5: rules.start_capacity: is 0.5; expected at most 0.25, with "
                + "which the coldest kind of box may start",
        "[rules]\\ncold_for_s = 2 | 5: rules.cold_for_s: is 2.0; expected at least 10.0, after which the "
                + "slowest kind of box is warm",
        "[goal]\\nwhole = 0.9 | 5: goal.whole: makes whole, worst_window, worst_class and worst_tenant "
                + "add up to 1.3; expected 1",
        "[goal]\\nwaste = [0, 1] | 5: goal.waste: is a range; expected one number, as runs are compared "
                + "by it",
        "[[fault]] | 4: fault[0].kind: is missing; expected one of {kinds}",
        "[[fault]]\\nkind = ['crash', 'slow'] | 5: fault[0].kind: is a list; expected one kind, or a "
                + "[[random_fault]] with kinds",
        "[[fault]]\\nkind = 'crahs' | 5: fault[0].kind: is the text \"crahs\"; expected",
        "[[fault]]\\nkind = 'crash'\\nat_s = 30 | 6: fault[0].at_s: is 30.0; expected less than the run's "
                + "length, 30.0",
        "[[fault]]\\nkind = 'crash'\\nsize = 3 | 6: fault[0].size: means nothing for crash; expected it "
                + "for slow, kept-dropped, heavy only",
        "[[fault]]\\nkind = 'crash'\\nboxes = 4 | 6: fault[0].boxes: is 4; expected at most the 3 that "
                + "there are",
        "[[fault]]\\nkind = 'crash'\\nboxes = 1\\nall = true | 7: fault[0].all: boxes is given already; "
                + "expected one of boxes, share, all and box",
        "[[fault]]\\nkind = 'crash'\\nof_kind = 'b' | 6: fault[0].of_kind: is the text \"b\"; expected "
                + "\"a\", or an array of such",
        "[[fault]]\\nkind = 'crash'\\nin_zone = ['room-1', 'room-1'] | 6: fault[0].in_zone: is a list; "
                + "expected the name of one zone",
        "[[fault]]\\nkind = 'heavy'\\nclass = 'jab' | 6: fault[0].class: is the text \"jab\"; expected "
                + "\"job\", or an array of such",
        "[[fault]]\\nkind = 'errors'\\nclass = ['job', 'job'] | 6: fault[0].class: is a list; expected "
                + "the name of one class",
        "[[fault]]\\nkind = 'dispatcher-kill'\\ndispatchers = 2 | 6: fault[0].dispatchers: is 2; expected "
                + "at most the 1 that there are",
        "[[random_fault]] | 4: random_fault[0].kinds: is missing; expected some of {kinds}",
        "[[random_fault]]\\nkinds = 'crash'\\nfrom_s = [1, 2] | 6: random_fault[0].from_s: is a range; "
                + "expected one number",
        "[[random_fault]]\\nkinds = 'crash'\\nfrom_s = 30 | 6: random_fault[0].from_s: is 30.0; expected "
                + "less than the run's length, 30.0",
        "[[random_fault]]\\nkinds = 'crash'\\nfrom_s = 9\\nuntil_s = 5 | 7: random_fault[0].until_s: is "
                + "5.0; expected more than from_s, 9.0",
    })
    void namesLineAndKey(String text, String expected) throws Exception {
        var more = text.replace("\\n", "\n");
        var kind = "[[kind]]\nname = 'a'\n" + (more.startsWith("count") ? "\n" : "count = 3\n");
        var wanted = expected.replace("{kinds}", KINDS);
        var message = fault(kind + more);
        assertEquals(wanted, message.substring(0, Math.min(message.length(), wanted.length())), message);
    }

    @Test
    void boxesAreNeeded() throws Exception {
        assertEquals("1: kind: is missing; expected at least one [[kind]] of boxes", fault(""));
    }

    @Test
    void zonesAreNames() throws Exception {
        assertEquals("1: zones: is \"a b\"; expected up to 40 letters, digits, dots, dashes or "
                + "underscores, a letter or digit first\n1: zones: holds a name for the second time; "
                + "expected names of their own",
                fault("zones = ['a b', 'a b']\n[[kind]]\nname = 'a'"));
    }

    @Test
    void aKindInNoSuchZoneCantBeStruck() throws Exception {
        assertEquals("7: fault[0].in_zone: means no box that there is; expected a kind and a zone that "
                + "some box has",
                fault("zones = ['x', 'y']\n[[kind]]\nname = 'a'\nzones = 'x'\n[[fault]]\nkind = 'crash'\n"
                        + "in_zone = 'y'"));
    }

    @Test
    void allFaultsAtOnceInTheOrderOfTheirLines() throws Exception {
        assertEquals("1: length_s: is the whole number -1; expected a number from 0.1 to 86400, or [low, "
                + "high] of two such\n2: kind[0].name: is missing; expected a name\n3: kind[0].nam: there "
                + "is no such key; expected kind[0].name perhaps",
                fault("length_s = -1\n[[kind]]\nnam = 'a'"));
    }

    @Test
    void anUnknownNameGetsASuggestion() {
        var message = assertThrows(FaultyFileException.class,
                () -> ScenarioFile.named("smal-site")).getMessage();
        assertEquals("there is no scenario \"smal-site\" (small-site perhaps); expected a file's path or "
                + "one of "
                + String.join(", ", ScenarioFile.names()), message);
    }

    @Test
    void aPathThatIsNoFileIsTold() {
        var message = assertThrows(FaultyFileException.class, () -> ScenarioFile.named("no/such.toml"))
                .getMessage();
        assertEquals("no/such.toml", message.substring(0, 12));
    }
}
