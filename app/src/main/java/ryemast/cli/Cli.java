package ryemast.cli;

import java.io.PrintWriter;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.HelpCommand;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.ParseResult;
import picocli.CommandLine.ScopeType;
import picocli.CommandLine.UnmatchedArgumentException;
import ryemast.toml.FaultyFileException;

/**
 * The command line, on picocli. Guarantees that every call ends with 0 (done), 1 (it failed) or 2 (the
 * call, or a file it names, is at fault), that a faulty call is answered on standard error by what was
 * wrong, the nearest names there are and where to read on, and that every subcommand, one added by another
 * module too, has {@code --help}. What the subcommands do is their own business; one that throws has
 * failed, or, where it throws a {@link FaultyFileException}, was called with a faulty file.
 */
@Command(name = "ryemast", mixinStandardHelpOptions = true, versionProvider = Cli.Version.class,
        scope = ScopeType.INHERIT, exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:done", "1:it failed", "2:the call, or a file it names, is at fault"})
public final class Cli {

    private Cli() {
    }

    /** The commands that the program itself has; another module may add its own. */
    public static CommandLine commandLine() {
        var root = new CommandLine(new Cli());
        root.getCommandSpec().usageMessage()
                .description("Dispatches jobs to workers.")
                .commandListHeading("%nCommands:%n");
        root.addSubcommand(new ServeCommand())
                .addSubcommand(new RehearseCommand())
                .addSubcommand(new BenchlinkCommand())
                .addSubcommand(new CheckCommand())
                .addSubcommand(new ConfigCommand())
                .addSubcommand("setup", new LauncherCommand("Installs what is missing: Java, Maven."))
                .addSubcommand("test", new LauncherCommand("Builds, and runs all checks that CI runs."))
                .addSubcommand(new CompletionCommand())
                .addSubcommand(new VersionCommand())
                .addSubcommand(new HelpCommand());
        return root;
    }

    /** Carries one call out; returns the exit code. */
    public static int run(CommandLine commandLine, String... args) {
        return commandLine.setParameterExceptionHandler(Cli::faultyCall)
                .setExecutionExceptionHandler(Cli::failed)
                .setCaseInsensitiveEnumValuesAllowed(true)
                .execute(args);
    }

    private static int faultyCall(ParameterException e, String[] args) {
        var command = e.getCommandLine();
        var err = command.getErr();
        err.println("ryemast: " + message(e));
        if (e instanceof UnmatchedArgumentException unmatched && !unmatched.getSuggestions().isEmpty()) {
            err.println("Did you mean " + String.join(" or ", unmatched.getSuggestions()) + "?");
        }
        err.println("'" + command.getCommandSpec().qualifiedName() + " --help' says what there is.");
        err.flush();
        return ExitCode.USAGE;
    }

    /** What picocli says, but in the words that people who call a command have for its parts. */
    private static String message(ParameterException e) {
        var command = e.getCommandLine();
        if (e instanceof UnmatchedArgumentException unmatched && !unmatched.getUnmatched().isEmpty()) {
            var first = unmatched.getUnmatched().get(0);
            var rejected = first.startsWith("-") ? " knows no option '"
                    : command.getSubcommands().isEmpty() ? " takes no argument '" : " knows no command '";
            return command.getCommandSpec().qualifiedName() + rejected + first + "'";
        }
        return e.getMessage();
    }

    /** A fault that was foreseen says all in its message; any other is a bug, and shows where it is. */
    private static int failed(Exception e, CommandLine command, ParseResult call) {
        PrintWriter err = command.getErr();
        if (e instanceof FaultyFileException) {
            err.println(e.getMessage());
            err.flush();
            return ExitCode.USAGE;
        }
        if (e instanceof RuntimeException) {
            e.printStackTrace(err);
        }
        err.println("ryemast: " + command.getCommandName() + " failed: "
                + (e.getMessage() == null ? e : e.getMessage()));
        err.flush();
        return ExitCode.SOFTWARE;
    }

    /** The version that the build wrote into the jar, and the Java it runs on. */
    static final class Version implements IVersionProvider {

        @Override
        public String[] getVersion() {
            var packaged = Cli.class.getPackage().getImplementationVersion();
            return new String[] {"ryemast " + (packaged == null ? "(not packaged)" : packaged),
                "Java " + System.getProperty("java.version") + ", " + System.getProperty("java.vendor")};
        }
    }
}
