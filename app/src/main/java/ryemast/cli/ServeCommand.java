package ryemast.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import ryemast.Main;

/** {@code serve} for calls that {@link Main} does not recognise by itself: help, and options written otherwise. */
@Command(name = "serve", description = {"Dispatches jobs until SIGTERM ends it in order.",
    "BALANCER_CONFIG must name the platform's configuration; SIGHUP reads it again."})
final class ServeCommand implements Callable<Integer> {

    @Option(names = "--operator", paramLabel = "FILE", description = "The operator file, TOML.")
    private String operator;

    @Override
    public Integer call() {
        return Main.serve(operator);
    }
}
