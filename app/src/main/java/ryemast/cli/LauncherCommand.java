package ryemast.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/**
 * A command that the launcher carries out before any Java runs. It stands here so that help and completion
 * know it; it is only reached where the jar is called without the launcher.
 */
@Command
final class LauncherCommand implements Callable<Integer> {

    private final String description;
    private CommandSpec spec;

    LauncherCommand(String description) {
        this.description = description;
    }

    @Spec
    void describe(CommandSpec given) {
        spec = given;
        spec.usageMessage().description(description);
    }

    @Override
    public Integer call() {
        var name = spec.name();
        spec.commandLine().getErr().println("ryemast: '" + name + "' is the launcher's: ./ryemast " + name);
        return ExitCode.USAGE;
    }
}
