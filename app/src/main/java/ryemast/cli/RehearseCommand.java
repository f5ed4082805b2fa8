package ryemast.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import ryemast.Main;

/** {@code rehearse} for calls that {@link Main} does not recognise by itself, such as those for help. */
@Command(name = "rehearse", description = {"Starts the dispatcher alone and ends it.",
    "The build does so to archive the classes that a start loads."})
final class RehearseCommand implements Callable<Integer> {

    @Override
    public Integer call() {
        return Main.rehearse();
    }
}
