package ryemast.lab.cli;

import java.io.IOException;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.logging.Logger;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import ryemast.lab.health.Cases;
import ryemast.lab.health.JarPolicy;
import ryemast.lab.health.Told;
import ryemast.lab.model.Policy;
import ryemast.lab.model.Room;
import ryemast.lab.scenario.ScenarioFile;
import ryemast.toml.FaultyFileException;

/** {@code lab health}: how a decision module copes with sick boxes, case by case. */
@Command(name = "health", description =
        {"Plays the cases of lab/scenarios/health in virtual time, over many seeds,",
    "on all cores, and tells for each how long traffic took to leave a sick box and to come back, what was",
    "lost, who was set aside wrongly, and what was believed. Medians, with 95% intervals (bootstrap)."},
        footer = {"", "Examples:", "  lab health --seeds 50 --json out.json",
            "  lab health crash resets-50 --policy jar:old/ryemast.jar --policy module"})
final class HealthCommand implements Callable<Integer> {

    private static final String FOLDER = "health";
    private static final String JAR = "jar:";
    private static final long KEEP_EVERY = Duration.ofSeconds(10).toNanos();

    @Parameters(paramLabel = "CASE", arity = "0..*", description =
            "A case's name, as in lab/scenarios/health, or "
            + "any scenario's file (all cases).")
    private List<String> names = List.of();

    @Option(names = "--seeds", paramLabel = "N", defaultValue = "50",
            description = "How many runs of each case (${DEFAULT-VALUE}).")
    private int seeds;

    @Option(names = "--from", paramLabel = "S", defaultValue = "1",
            description = "The first seed; the others follow (${DEFAULT-VALUE}).")
    private long from;

    @Option(names = "--policy", paramLabel = "NAME", description =
            {"What decides, as in lab policies, or jar:FILE: the",
        "module of another version, out of its jar (module). May be given more than once."})
    private List<String> policies = new ArrayList<>();

    @Option(names = "--json", paramLabel = "FILE", description = {"Where the result goes as JSON.",
        "It is kept up to date while runs go on."})
    private Path json;

    @Option(names = "--threads", paramLabel = "N", description = "How many runs at once (one for each core, "
            + "fewer where the memory does not hold so many).")
    private Integer threads;

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
        if (seeds < 1 || seeds > 100_000) {
            throw new BadCall("--seeds: is " + seeds + "; expected 1 to 100000");
        }
        int cores = threads == null ? Runtime.getRuntime().availableProcessors() : threads;
        if (cores < 1 || cores > 1_024) {
            throw new BadCall("--threads: is " + cores + "; expected 1 to 1024");
        }
        var files = files();
        var chosen = new ArrayList<Policy>();
        for (var name : policies.isEmpty() ? List.of("module") : policies) {
            chosen.add(policy(name));
        }
        var out = new JsonFile(json);
        SimulateCommand.quietLogs();
        long heap = Runtime.getRuntime().maxMemory();
        int fitting = files.stream().mapToInt(file -> Room.fitting(file.draw(from), heap))
                .min().orElse(cores);
        var stop = Stop.onSignals();
        var cases = new Cases(new Cases.Plan(files, chosen, from, seeds), stop::asked);
        boolean all;
        long[] keptAt = {System.nanoTime()};
        try (var live = new Live("health", quiet)) {
            all = cases.play(Math.max(1, Math.min(cores, fitting)), (done, of) -> {
                live.at((double) done / of, done + " of " + of + " runs");
                if (System.nanoTime() - keptAt[0] > KEEP_EVERY) {
                    keptAt[0] = System.nanoTime();
                    keep(out, cases);
                }
            });
        }
        var played = cases.played();
        out.write(Told.json(played, !all));
        System.out.println(Told.words(played));
        if (!all) {
            System.out.println("Cut short; what was done is " + (json == null ? "above." : "in " + json
                    + "."));
        }
        return all ? Exit.DONE : Exit.FAILED;
    }

    private List<ScenarioFile> files() throws BadCall {
        var all = ScenarioFile.names(FOLDER);
        var wanted = names.isEmpty() ? all : names;
        if (wanted.isEmpty()) {
            throw new BadCall("there is no case in lab/scenarios/health");
        }
        var files = new ArrayList<ScenarioFile>();
        for (var name : wanted) {
            try {
                files.add(ScenarioFile.named(name, FOLDER));
            } catch (FaultyFileException e) {
                throw new BadCall(e.getMessage());
            }
        }
        return files;
    }

    private static Policy policy(String name) throws BadCall {
        if (!name.startsWith(JAR)) {
            return SimulateCommand.policy(name);
        }
        try {
            return JarPolicy.of(Path.of(name.substring(JAR.length())));
        } catch (InvalidPathException e) {
            throw new BadCall(name + ": no file can have such a name");
        } catch (IllegalArgumentException e) {
            throw new BadCall(e.getMessage());
        }
    }

    private static void keep(JsonFile out, Cases cases) {
        try {
            out.write(Told.json(cases.played(), true));
        } catch (IOException e) {
            // What is done is still in memory, and is written at the end; if that fails, it is said there.
            Logger.getLogger(HealthCommand.class.getName()).fine("not kept yet: " + e);
        }
    }
}
