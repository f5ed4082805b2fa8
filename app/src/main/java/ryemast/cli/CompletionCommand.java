package ryemast.cli;

import picocli.AutoComplete;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * {@code completion}: a script for a shell, made by picocli from the very commands that the program has, so
 * that it can't fall behind them. One script serves both shells: under zsh it loads that shell's support
 * for bash's.
 */
@Command(name = "completion", description = {"Prints a script that completes commands and options.",
    "In bash and in zsh: source <(./ryemast completion)"})
final class CompletionCommand implements Runnable {

    private enum Shell { bash, zsh }

    @Parameters(arity = "0..1", paramLabel = "SHELL",
            description = "${COMPLETION-CANDIDATES}; both get the same.")
    private Shell shell;

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        var root = spec.root().commandLine();
        root.getOut().print(AutoComplete.bash(root.getCommandName(), root));
        root.getOut().flush();
    }
}
