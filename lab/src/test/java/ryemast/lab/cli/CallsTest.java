package ryemast.lab.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;
import picocli.CommandLine.TypeConversionException;

/** Calls that can't be carried out: each says what is wrong, ends with 2 and touches nothing. */
class CallsTest {

    @TempDir
    Path folder;

    private record Said(int code, String err) {
    }

    private Said call(String... args) {
        var bytes = new ByteArrayOutputStream();
        var before = System.err;
        System.setErr(new PrintStream(bytes, true, StandardCharsets.UTF_8));
        try {
            int code = new CommandLine(new LabCommand()).execute(args);
            return new Said(code, bytes.toString(StandardCharsets.UTF_8));
        } finally {
            System.setErr(before);
        }
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "load --boxes 0                   | --boxes: 0 is out of range; expected 1 to 20000",
        "load --rate -1                   | --rate: -1 is out of range; expected 0 to 1000000",
        "load --resets 120%               | '120%' is no share; it must lie between 0% and 100%",
        "load --resets some               | 'some' is no share; expected one such as 0.5% or 0.005",
        "load --find-rate p99>50ms        | --find-rate: 'p99>50ms' is no latency goal; expected one such as "
            + "p99<50ms",
        "load --write-config f            | --write-config: needs --dispatcher",
        "load --find-rate p50<1s --dispatcher 127.0.0.1:1 | --find-rate: each step needs a fresh dispatcher",
        "load --boxes many                | 'many'",
        "growth --rate 0 --no-closed      | --rate 0 and --no-closed leave nothing to measure",
        "failures --rates 0               | --rates: 0 is out of range",
        "emulate no-such-scenario         | there is no scenario \"no-such-scenario\"",
        "emulate small-site --seconds 0   | --seconds: 0 is out of range",
        "simulate crash --policy power-of-tow | there is no policy \"power-of-tow\" (power-of-two perhaps)",
        "simulate crash --runs 0          | --runs: is 0; expected 1 to 1000000",
        "simulate no-such-scenario        | there is no scenario \"no-such-scenario\"",
        "theory --replications 1          | --replications: 1 is out of range; expected 2 to 100000",
    })
    void aBadCallSaysWhatIsWrongAndWritesNothing(String args, String expected) {
        var json = folder.resolve("none.json");
        var said = call((args.strip() + " --json " + json).split(" +"));
        assertEquals(2, said.code(), said.err());
        assertTrue(said.err().contains(expected), said.err());
        assertFalse(Files.exists(json));
    }

    @Test
    void aBadScenarioIsNamedByFileLineAndKey() throws Exception {
        var file = Files.writeString(folder.resolve("bad.toml"), "title = \"bad\"\n\nlenght_s = 5\n");
        var json = Files.writeString(folder.resolve("old.json"), "before");
        var said = call("emulate", file.toString(), "--json", json.toString());
        assertEquals(2, said.code());
        assertTrue(said.err().contains(file + ":3: lenght_s: "), said.err());
        assertEquals("before", Files.readString(json));
    }

    @Test
    void aResultThatCannotBeKeptIsKnownBeforeTheRun() {
        assertEquals(folder + ": is a folder; --json needs the name of a file",
                assertThrows(BadCall.class, () -> new JsonFile(folder)).getMessage());
        var missing = folder.resolve("no/such/out.json");
        assertEquals(missing + ": the folder " + missing.getParent() + " does not exist",
                assertThrows(BadCall.class, () -> new JsonFile(missing)).getMessage());
    }

    @Test
    void aResultReplacesTheOldOneWholeAndLeavesNothingBeside() throws Exception {
        var file = Files.writeString(folder.resolve("out.json"), "a much longer text that was there before");
        var result = new JsonObject();
        result.addProperty("served", 3);
        new JsonFile(file).write(result);
        assertEquals("{\n  \"served\": 3\n}\n", Files.readString(file));
        try (var files = Files.list(folder)) {
            assertEquals(1, files.count());
        }
        new JsonFile(null).write(result);
    }

    @Test
    void sharesAreReadAndWrittenAsPeopleDo() {
        assertEquals(0.001, Share.parse("0.1%").part(), 1e-12);
        assertEquals(0.25, Share.parse(" 0.25 ").part());
        assertEquals("0.1%", Share.parse("0.001").percent());
        assertEquals("10%", Share.parse("10%").percent());
        assertThrows(TypeConversionException.class, () -> Share.parse("NaN"));
    }

    @Test
    void stoppingComesToWhateverRunsAndToWhatStartsTooLate() {
        var stop = new Stop();
        int[] stopped = new int[2];
        stop.running(() -> stopped[0]++);
        stop.running(null);
        stop.ask();
        stop.running(() -> stopped[1]++);
        assertTrue(stop.asked());
        assertEquals(0, stopped[0], "that run was over");
        assertEquals(1, stopped[1], "this one began after Ctrl-C");
    }
}
