package ryemast.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine.Command;
import ryemast.toml.Faults;
import ryemast.toml.FaultyFileException;

class CliTest {

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    /** Stands for a command of another module. */
    @Command(name = "other")
    private record Other(Exception fault) implements Callable<Integer> {

        @Override
        public Integer call() throws Exception {
            if (fault != null) {
                throw fault;
            }
            return 0;
        }
    }

    private int run(Exception fault, String... args) {
        return Cli.run(Cli.commandLine().addSubcommand(new Other(fault))
                .setOut(new PrintWriter(out)).setErr(new PrintWriter(err)), args);
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "serv                | ryemast knows no command 'serv'           | Did you mean serve",
        "rehearse --operator | ryemast rehearse knows no option '--operator' | 'ryemast rehearse --help'",
        "serve --oprator x   | ryemast serve knows no option '--oprator' | Did you mean --operator",
        "serve --operator    | Missing required parameter for option '--operator' | 'ryemast serve --help'",
        "version now         | ryemast version takes no argument 'now'   | 'ryemast version --help'",
        "completion fish     | expected one of [bash, zsh]               | 'ryemast completion --help'",
        "other --x           | ryemast other knows no option '--x'       | 'ryemast other --help'",
        "help nothing        | 'nothing'                                 | 'ryemast --help'",
        "test                | 'test' is the launcher's: ./ryemast test  | ./ryemast test"})
    void faultyCallsEndWithTwoAndSayWhatIsWrong(String call, String wrong, String next) {
        assertEquals(2, run(null, call.split(" ")));
        assertTrue(err.toString().contains(wrong), err.toString());
        assertTrue(err.toString().contains(next), err.toString());
        assertEquals("", out.toString());
    }

    @Test
    void aCallWithoutACommandIsFaulty() {
        assertEquals(2, run(null));
        assertTrue(err.toString().contains("'ryemast --help' says what there is."), err.toString());
    }

    @ParameterizedTest
    @CsvSource({"serve", "rehearse", "benchlink", "check", "config", "setup", "test", "completion", "version",
        "help", "other"})
    void everyCommandHasHelpWithTheExitCodes(String command) {
        assertEquals(0, run(null, command, "--help"));
        var help = out.toString();
        assertTrue(help.contains("Usage: ryemast " + command + " "), help);
        assertTrue(help.contains("2   the call, or a file it names, is at fault"), help);
        assertEquals(0, run(null, "--help"));
        assertTrue(out.toString().contains("\n  " + command + " "), out.toString());
    }

    @Test
    void aCommandThatThrowsHasFailed() {
        assertEquals(0, run(null, "other"));
        assertEquals(1, run(new IOException("disk full"), "other"));
        assertEquals("ryemast: other failed: disk full", err.toString().strip());
    }

    @Test
    void aFaultyFileIsTheCallsFault() {
        var faults = new Faults();
        faults.add(Path.of("a.toml"), 3, "key", "wrong; expected another");
        assertEquals(2, run(assertThrows(FaultyFileException.class, faults::raise), "other"));
        assertEquals(2, run(null, "check", "/nowhere/a.toml"));
        assertTrue(err.toString().startsWith("a.toml:3: key: wrong; expected another"), err.toString());
        assertTrue(err.toString().contains("/nowhere/a.toml"), err.toString());
    }

    @Test
    void aBugShowsWhereItIs() {
        assertEquals(1, run(new IllegalStateException("a bug"), "other"));
        assertTrue(err.toString().contains("at ryemast.cli.CliTest.aBugShowsWhereItIs"), err.toString());
        assertTrue(err.toString().contains("ryemast: other failed: a bug"), err.toString());
    }

    @ParameterizedTest
    @CsvSource({"completion", "completion bash", "completion ZSH"})
    void theCompletionKnowsEveryCommand(String call) {
        assertEquals(0, run(null, call.split(" ")));
        var script = out.toString();
        assertTrue(script.contains("bashcompinit"));
        assertTrue(script.contains("local commands=\"serve rehearse benchlink"), script);
        assertTrue(script.contains("_picocli_ryemast_other"));
    }

    @Test
    void versionIsTheSameAsTheOption() {
        assertEquals(0, run(null, "version"));
        var version = out.toString();
        assertTrue(version.startsWith("ryemast "));
        assertEquals(0, run(null, "--version"));
        assertEquals(version + version, out.toString());
    }
}
