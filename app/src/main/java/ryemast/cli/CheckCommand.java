package ryemast.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import ryemast.operator.Key;
import ryemast.operator.OperatorFile;
import ryemast.toml.FaultyFileException;

/** {@code check}: whether a dispatcher would start with an operator file, and if not, all that is wrong. */
@Command(name = "check", description = {"Checks an operator file: ends with 0 if a dispatcher would take it;",
    "else tells every fault, with line and key, and ends with 2."})
public final class CheckCommand implements Callable<Integer> {

    @Parameters(paramLabel = "FILE", description = "The operator file, TOML.")
    private Path file;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        try {
            long set = OperatorFile.read(file).count();
            print(spec.commandLine().getOut(), file + ": OK, sets " + set + " of " + Key.values().length
                    + " keys" + (set == 0 ? "; all is as without it" : ""));
            return ExitCode.OK;
        } catch (FaultyFileException e) {
            print(spec.commandLine().getErr(), e.getMessage());
            return ExitCode.USAGE;
        }
    }

    private static void print(PrintWriter to, String text) {
        to.println(text);
        to.flush();
    }
}
