package ryemast.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import ryemast.Main;
import ryemast.operator.Operator;

/** {@code serve} for calls that {@link Main} does not recognise by itself, such as those for help. */
@Command(name = "serve", description = {"Dispatches jobs until SIGTERM ends it in order.",
    "BALANCER_CONFIG must name the platform's configuration; SIGHUP reads it again."})
final class ServeCommand implements Callable<Integer> {

    @Option(names = "--operator", paramLabel = "FILE",
            description = "The operator file; else the one that " + Operator.VARIABLE + " names, if any.")
    private String operator;

    @Override
    public Integer call() {
        return Main.serve(operator);
    }
}
