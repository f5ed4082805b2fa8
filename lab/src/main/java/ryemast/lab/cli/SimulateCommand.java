package ryemast.lab.cli;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.logging.Level;
import java.util.logging.Logger;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import ryemast.config.Tuning;
import ryemast.lab.model.Policy;
import ryemast.lab.model.Room;
import ryemast.lab.model.Runs;
import ryemast.lab.model.Simulated;
import ryemast.lab.model.policy.Policies;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.scenario.ScenarioFile;
import ryemast.toml.FaultyFileException;
import ryemast.toml.Nearest;

/** {@code lab simulate}: a scenario in virtual time, over many seeds, with error bars. */
@Command(name = "simulate", description = {"Runs a scenario in virtual time, over many seeds, on all cores.",
    "The dispatchers' own code decides; boxes, discovery, clients and network are modelled. The same",
    "scenario, seed and policy always give the same result.",
    "Ends with 1 if a rule was broken or the runs were cut short."},
        footer = {"", "Examples:", "  lab simulate mixed-fleet --seed 1 --runs 40 --json out.json",
            "  lab simulate crash --runs 100 --policy power-of-two"})
final class SimulateCommand implements Callable<Integer> {

    private static final double MICROS_PER_S = 1e6;
    private static final double NANOS_PER_S = 1e9;
    /** Held, as a logger that nobody holds forgets its level. */
    private static final Logger QUIET = Logger.getLogger("ryemast");
    private static final long KEEP_EVERY = Duration.ofSeconds(5).toNanos();

    @Parameters(paramLabel = "SCENARIO", description = "A scenario's name, as in lab/scenarios, or a file.")
    private String scenario;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1",
            description = "The first run's seed; the others follow (${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--runs", paramLabel = "R", defaultValue = "1",
            description = "How many (${DEFAULT-VALUE}).")
    private int runs;

    @Option(names = "--policy", paramLabel = "NAME", defaultValue = "module",
            description = "What decides, as in lab policies (${DEFAULT-VALUE}).")
    private String policy;

    @Option(names = "--seconds", paramLabel = "N", description = "For how long jobs come, in place of the "
            + "scenario's own length; faults after that are left out.")
    private Double seconds;

    @Option(names = "--json", paramLabel = "FILE", description = {"Where the result goes as JSON.",
        "It is kept up to date while runs go on."})
    private Path json;

    @Option(names = "--resume", description = "Takes the runs that the file of --json holds already as done.")
    private boolean resume;

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
        var chosen = policy(policy);
        if (runs < 1 || runs > 1_000_000) {
            throw new BadCall("--runs: is " + runs + "; expected 1 to 1000000");
        }
        int cores = threads == null ? Runtime.getRuntime().availableProcessors() : threads;
        if (cores < 1 || cores > 1_024) {
            throw new BadCall("--threads: is " + cores + "; expected 1 to 1024");
        }
        if (seconds != null) {
            LoadOptions.within("--seconds", seconds, 0.1, 86_400);
        }
        var file = file(scenario);
        var out = new JsonFile(json);
        var known = resume ? known(file, chosen) : new TreeMap<Long, JsonObject>();
        quietLogs();
        var stop = Stop.onSignals();
        int fitting = fitting(draw(file, seed), Math.min(cores, runs));
        var plan = new Runs.Plan(one -> draw(file, one), chosen, Tuning.DEFAULT, seed, runs);
        long began = System.nanoTime();
        long[] keptAt = {began};
        Runs.Done done;
        try (var live = new Live(file.name(), quiet)) {
            done = Runs.run(plan, fitting, known, stop::asked, (ready, share, rows) -> {
                live.at(share, ready + " of " + runs + " runs");
                if (System.nanoTime() - keptAt[0] > KEEP_EVERY) {
                    keptAt[0] = System.nanoTime();
                    keep(out, file, chosen, rows);
                }
            });
        }
        var result = Simulated.json(file.name(), file.title(), chosen.name(), done.rows().values(),
                done.interrupted());
        out.write(result);
        System.out.println(SimulateWords.summary(result, done, runs,
                (System.nanoTime() - began) / NANOS_PER_S, json));
        return done.interrupted() || result.get("rules_broken").getAsLong() > 0 ? Exit.FAILED : Exit.DONE;
    }

    private Scenario draw(ScenarioFile file, long one) {
        var drawn = file.draw(one);
        return seconds == null ? drawn : Shortened.cut(drawn, Math.round(seconds * MICROS_PER_S));
    }

    private static int fitting(Scenario drawn, int wanted) throws BadCall {
        long heap = Runtime.getRuntime().maxMemory();
        int fit = Room.fitting(drawn, heap);
        if (fit == 0) {
            throw new BadCall(String.format(Locale.ROOT,
                    "one run of %s takes about %,d MB, and there are %,d: give more with "
                    + "JAVA_TOOL_OPTIONS=-Xmx, or make it shorter with --seconds",
                    drawn.name(), Room.need(drawn) >> 20, heap >> 20));
        }
        return Math.min(wanted, fit);
    }

    private static void keep(JsonFile out, ScenarioFile file, Policy chosen, Map<Long, JsonObject> rows) {
        try {
            out.write(Simulated.json(file.name(), file.title(), chosen.name(), rows.values(), true));
        } catch (IOException e) {
            // What is done is still in memory, and is written at the end; if that fails, it is said there.
            Logger.getLogger(SimulateCommand.class.getName()).fine("not kept yet: " + e);
        }
    }

    /** A model's dispatchers would log for thousands of sites; what is a bug of theirs is still shown. */
    static void quietLogs() {
        QUIET.setLevel(Level.SEVERE);
    }

    static Policy policy(String name) throws BadCall {
        var found = Policies.named(name);
        if (found == null) {
            var near = Nearest.to(name, Policies.names());
            throw new BadCall("there is no policy \"" + name + "\"" + (near == null ? "" : " (" + near
                    + " perhaps)") + "; expected one of " + String.join(", ", Policies.names()));
        }
        return found;
    }

    static ScenarioFile file(String nameOrPath) throws BadCall {
        try {
            return ScenarioFile.named(nameOrPath);
        } catch (FaultyFileException e) {
            throw new BadCall(e.getMessage());
        }
    }

    private Map<Long, JsonObject> known(ScenarioFile file, Policy chosen) throws BadCall {
        if (json == null) {
            throw new BadCall("--resume: needs --json, whose file holds what was done");
        }
        var rows = new TreeMap<Long, JsonObject>();
        if (!Files.exists(json)) {
            return rows;
        }
        try {
            var kept = JsonParser.parseString(Files.readString(json)).getAsJsonObject();
            if (!chosen.name().equals(kept.get("policy").getAsString())) {
                throw new BadCall(json + ": holds runs of the policy " + kept.get("policy").getAsString());
            }
            JsonArray all = kept.getAsJsonArray("runs");
            for (var each : all) {
                var row = each.getAsJsonObject();
                long one = row.get("seed").getAsLong();
                if (one >= seed && one < seed + runs) {
                    if (!Simulated.print(draw(file, one)).equals(row.get("site").getAsString())) {
                        throw new BadCall(String.format(Locale.ROOT,
                                "%s: seed %d was run on another scenario than %s as it is now", json, one,
                                scenario));
                    }
                    rows.put(one, row);
                }
            }
        } catch (IOException | JsonParseException | IllegalStateException | NullPointerException e) {
            throw new BadCall(json + ": holds no result of lab simulate to go on from: " + e.getMessage());
        }
        return rows;
    }
}
