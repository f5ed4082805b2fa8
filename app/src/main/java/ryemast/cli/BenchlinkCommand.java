package ryemast.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import ryemast.Main;

/** {@code benchlink} for calls that {@link Main} does not recognise by itself, such as those for help. */
@Command(name = "benchlink", description = {"Makes the same decisions on the simulator's wire,",
    "from standard input to standard output."})
final class BenchlinkCommand implements Callable<Integer> {

    @Override
    public Integer call() {
        return Main.benchlink();
    }
}
