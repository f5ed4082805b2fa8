package ryemast.cli;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** {@code version}: the same as {@code --version}. */
@Command(name = "version", description = "Prints the version of the program and of its Java.")
final class VersionCommand implements Runnable {

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        var commandLine = spec.commandLine();
        commandLine.printVersionHelp(commandLine.getOut());
    }
}
