package ryemast.lab.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import ryemast.lab.books.Summary;
import ryemast.lab.scenario.Scenario;

/** {@code demo}: the main job, shown to somebody who has never seen it: jobs in, trouble, results out. */
@Command(name = "demo", description = {"Shows the dispatcher at work on an emulated site, faults and all.",
    "Everything runs on this machine; nothing is left behind."})
public final class DemoCommand implements Callable<Integer> {

    private static final String SCENARIO = "demo";
    private static final double MICROS_PER_S = 1e6;

    @Option(names = "--seconds", paramLabel = "N", defaultValue = "20",
            description = "How long jobs come (${DEFAULT-VALUE}); faults strike sooner or later with it.")
    private double seconds;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1",
            description = "What all chance is drawn from (${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--json", paramLabel = "FILE", description = "Where the result goes as JSON.")
    private Path json;

    @Override
    public Integer call() throws IOException {
        try {
            return run();
        } catch (BadCall e) {
            return Exit.badCall(e);
        }
    }

    private int run() throws BadCall, IOException {
        LoadOptions.within("--seconds", seconds, 1, 3_600);
        var file = new JsonFile(json);
        var scenario = Shortened.scaled(EmulateCommand.drawn(SCENARIO, seed),
                Math.round(seconds * MICROS_PER_S));
        SiteRoom.check(scenario);
        var stop = Stop.onSignals();
        System.out.println(opening(scenario));
        var story = new Story(scenario, System.out::println);
        var run = SiteRun.of(scenario, SiteRun.options(null, null), stop, story::begins, story::at);
        file.write(run.result().json());
        System.out.println();
        Summary.print(run.result(), System.out, System.console() != null);
        return run.exitCodeOfShow();
    }

    private static String opening(Scenario scenario) {
        var kinds = scenario.boxes().stream().collect(Collectors.groupingBy(box -> box.kind(),
                Collectors.counting()));
        var fleet = kinds.entrySet().stream()
                .map(each -> each.getValue() + " " + scenario.kinds().get(each.getKey()))
                .collect(Collectors.joining(", "));
        int dispatchers = scenario.dispatchers().count();
        return scenario.title() + "\n" + scenario.boxes().size() + " boxes (" + fleet + "), "
                + (dispatchers == 1 ? "one dispatcher" : dispatchers + " dispatchers") + ", "
                + String.format(Locale.ROOT, "%.0f jobs a second", scenario.load().ratePerSecond()) + " of "
                + scenario.classes().stream().map(Scenario.JobClass::name).collect(Collectors.joining(", "))
                + " for " + FaultWords.seconds(scenario.length()) + ".\nStarting ...";
    }
}
