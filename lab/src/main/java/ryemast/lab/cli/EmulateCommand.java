package ryemast.lab.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import ryemast.lab.books.Summary;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.scenario.ScenarioFile;
import ryemast.toml.FaultyFileException;

/** {@code lab emulate}: real dispatchers on one emulated site, judged by the site's own books. */
@Command(name = "emulate", description = {"Runs the dispatchers of a scenario on an emulated site.",
    "Boxes, discovery and clients are emulated on loopback; what is broken is judged by their books.",
    "Ends with 1 if a rule was broken, a dispatcher died or the emulator was late."})
final class EmulateCommand implements Callable<Integer> {

    private static final double MICROS_PER_S = 1e6;

    @Parameters(paramLabel = "SCENARIO", description = "A scenario's name, as in lab/scenarios, or a file.")
    private String scenario;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1",
            description = "What the scenario's ranges and all chance are drawn from (${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--seconds", paramLabel = "N", description = "For how long jobs come, in place of the "
            + "scenario's own length; faults after that are left out.")
    private Double seconds;

    @Option(names = "--json", paramLabel = "FILE", description = "Where the result goes as JSON.")
    private Path json;

    @Option(names = "--logs", paramLabel = "DIR",
            description = "Where the dispatchers' logs go; else nowhere.")
    private Path logs;

    @Option(names = "--dispatcher", paramLabel = "ADDRESS",
            description = "Uses a dispatcher that runs there, in place of starting one; says where the "
            + "configuration for it is.")
    private String dispatcher;

    @Option(names = "--quiet", description = "Shows no progress.")
    private boolean quiet;

    @Override
    public Integer call() throws IOException {
        try {
            return run();
        } catch (BadCall e) {
            return Exit.badCall(e);
        }
    }

    private int run() throws BadCall, IOException {
        var file = new JsonFile(json);
        if (seconds != null) {
            LoadOptions.within("--seconds", seconds, 0.1, 86_400);
        }
        var drawn = drawn(scenario, seed);
        if (seconds != null) {
            drawn = Shortened.cut(drawn, Math.round(seconds * MICROS_PER_S));
        }
        SiteRoom.check(drawn);
        var stop = Stop.onSignals();
        SiteRun run;
        try (var live = new Live(drawn.name(), quiet)) {
            run = SiteRun.of(drawn, SiteRun.options(logs, dispatcher), stop,
                    () -> live.say("the dispatchers are ready: clients come"),
                    progress -> live.at(progress.share(), LoadRuns.words(progress)));
        }
        file.write(run.result().json());
        Summary.print(run.result(), System.out, System.console() != null);
        return run.exitCode();
    }

    /** Every fault of the file in one message. */
    static Scenario drawn(String nameOrPath, long seed) throws BadCall {
        try {
            return ScenarioFile.named(nameOrPath).draw(seed);
        } catch (FaultyFileException e) {
            throw new BadCall(e.getMessage());
        }
    }
}
