package ryemast.lab.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import ryemast.lab.fleet.FleetResult;
import ryemast.lab.fleet.FleetRun;
import ryemast.lab.fleet.Trial;
import ryemast.lab.fleet.TrialFile;
import ryemast.lab.sockets.Folders;
import ryemast.toml.FaultyFileException;

/** {@code lab fleet}: a fleet of real dispatchers that is struck by a plan, judged by what others saw. */
@Command(name = "fleet", description = {"Plays a trial: several dispatchers beside an emulated site, struck",
    "by a plan that is drawn from the seed before the start. Judged from what boxes, clients and records",
    "saw. Ends with 1 if any rule was broken; the line that plays it again is printed and all logs stay."})
final class FleetCommand implements Callable<Integer> {

    private static final int MOST_PROCESSES = 20;
    private static final int LISTED = 20;

    @Parameters(paramLabel = "TRIAL", description = "A trial's name, as in lab/trials, or a file.")
    private String trial;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1",
            description = "What the plan and all chance are drawn from (${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--json", paramLabel = "FILE", description = "Where the result goes as JSON.")
    private Path json;

    @Option(names = "--logs", paramLabel = "DIR", description = "Where logs, disks and clocks go; else to a"
            + " temporary folder, which stays only if a rule was broken.")
    private Path logs;

    @Option(names = "--processes", paramLabel = "N",
            description = "How many dispatchers, 2 to 20, in place of what the trial says.")
    private Integer processes;

    @Option(names = "--seconds", paramLabel = "N",
            description = "Plays the trial's first so many seconds only; strikes after that are left out.")
    private Double seconds;

    @Option(names = "--plan", description = "Prints the plan and plays nothing.")
    private boolean planOnly;

    @Option(names = "--careless", paramLabel = "WHAT", defaultValue = "",
            description = "The processes leave out what keeps a timetable right, one of fence, end, mark,"
                    + " revision, conflict, answer, lease, record, jitter, or reservations, one of alone,"
                    + " stale, greedy, hasty, deaf, upside, behind: the trial must fail.")
    private String careless;

    @Option(names = "--quiet", description = "Shows no progress.")
    private boolean quiet;

    @Override
    public Integer call() throws IOException {
        try {
            return played();
        } catch (BadCall e) {
            return Exit.badCall(e);
        }
    }

    private int played() throws BadCall, IOException {
        if (processes != null) {
            LoadOptions.within("--processes", processes, 2, MOST_PROCESSES);
        }
        if (seconds != null) {
            LoadOptions.within("--seconds", seconds, 1, 86_400);
        }
        var file = new JsonFile(json);
        var drawn = drawn();
        if (planOnly) {
            drawn.plan().strikes().forEach(System.out::println);
            return Exit.DONE;
        }
        SiteRoom.check(drawn.scenario());
        var folder = logs == null ? Files.createTempDirectory("ryemast-fleet") : logs;
        var stop = Stop.onSignals();
        var run = new FleetRun(drawn, folder, careless);
        FleetResult result;
        try (var live = new Live(drawn.scenario().name(), quiet)) {
            stop.running(run::interrupt);
            result = run.run(progress -> live.at(progress.share(), LoadRuns.words(progress)));
            stop.running(null);
        }
        file.write(result.json());
        print(result, folder);
        if (result.fine() && logs == null) {
            Folders.delete(folder);
        }
        return result.fine() ? Exit.DONE : Exit.FAILED;
    }

    /** Every fault of the file in one message. */
    private Trial drawn() throws BadCall {
        try {
            return TrialFile.named(trial).draw(seed, processes == null ? 0 : processes, seconds);
        } catch (FaultyFileException e) {
            throw new BadCall(e.getMessage());
        }
    }

    private static void print(FleetResult result, Path folder) {
        var books = result.books();
        var figures = result.findings().figures();
        System.out.printf("%s, seed %d: %d processes, %d strikes%n", books.trial().scenario().name(),
                books.trial().seed(), books.trial().scenario().dispatchers().count(), books.struck().size());
        System.out.printf("jobs: %s served, %s refused, %s failed%n", figures.get("jobs_served"),
                figures.get("jobs_refused"), figures.get("jobs_failed"));
        if (!books.trial().entries().isEmpty()) {
            System.out.printf("fires: %s due, %s ended, %s unknown, %s missed%n", figures.get("fires_due"),
                    figures.get("fires_ended"), figures.get("fires_unknown"), figures.get("fires_missed"));
        }
        if (!books.trial().reserved().services().isEmpty()) {
            System.out.printf("work in ms a second: reserved %s, asked %s, begun %s%n",
                    figures.get("reserved_ms_per_s"), figures.get("asked_ms_per_s"),
                    figures.get("begun_ms_per_s"));
        }
        result.doubts().forEach(each -> System.out.println("to be known: " + each));
        var doubtful = result.findings().inDoubt();
        if (!doubtful.isEmpty()) {
            System.out.printf("in doubt: %d breaches at times when the machine let those concerned wait; the"
                    + " first: %s%n", doubtful.size(), doubtful.get(0).what());
        }
        if (result.interrupted()) {
            System.out.println("interrupted: it was not played whole");
        }
        result.lines().stream().limit(LISTED).forEach(each -> System.out.println("BROKEN: " + each));
        if (result.lines().size() > LISTED) {
            System.out.println("and " + (result.lines().size() - LISTED) + " more, which the JSON holds");
        }
        if (!result.fine()) {
            System.out.println("logs: " + folder.toAbsolutePath());
            System.out.println("again: " + result.again());
        } else {
            System.out.println("no rule was broken");
        }
    }
}
