package ryemast.lab.cli;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import ryemast.lab.load.LatencyGoal;
import ryemast.lab.load.LoadPlan;
import ryemast.lab.load.LoadResult;
import ryemast.lab.load.RateSearch;
import ryemast.lab.load.RateSearch.Verdict;
import ryemast.lab.load.Table;

/**
 * {@code lab load}: one measurement of one dispatcher on boxes with ample room, or the search for its limit.
 */
@Command(name = "load", description = {"Puts a dispatcher under load and measures it.",
    "Starts the dispatcher and the boxes by itself; the dispatcher is bound to a processor of its own, and "
    + "what the boxes do with a job is emulated, so that one machine is enough."},
        footer = {"", "Examples:",
            "  lab load --boxes 1000 --connections 256 --seconds 20 --json out.json",
            "  lab load --boxes 10 --rate 200 --seconds 20",
            "  lab load --boxes 10 --find-rate 'p99<50ms' --rate 100"})
final class LoadCommand implements Callable<Integer> {

    private static final double FIRST_RATE = 100;
    /** Of the rate wanted; Poisson arrivals scatter by less, from some hundred jobs on. */
    private static final double LEAST_OFFERED = 0.8;
    private static final double CORE_IS_FULL = 0.9;

    @Option(names = "--boxes", paramLabel = "W", defaultValue = "20",
            description = "Boxes (${DEFAULT-VALUE}).")
    private int boxes;

    @Option(names = "--connections", paramLabel = "C", defaultValue = "256",
            description = "Clients of the closed loop, one job after the other each (${DEFAULT-VALUE}).")
    private int connections;

    @Option(names = "--rate", paramLabel = "R", defaultValue = "0",
            description = "Jobs a second, Poisson; 0: a closed loop instead (${DEFAULT-VALUE}).")
    private double rate;

    @Option(names = "--seconds", paramLabel = "S", defaultValue = "10",
            description = "How long to measure (${DEFAULT-VALUE}).")
    private double seconds;

    @Option(names = "--warm-up", paramLabel = "S", defaultValue = "3",
            description = "How long before that, not counted (${DEFAULT-VALUE}).")
    private double warmUp;

    @Option(names = "--find-rate", paramLabel = "GOAL", description = {
        "Searches the highest rate at which a goal such as p99<50ms holds, from --rate on (100 if none),",
        "to 5%%. What is not served counts as later than any limit."})
    private String findRate;

    @Option(names = "--dispatcher", paramLabel = "ADDRESS",
            description = "Measures a dispatcher that runs there, in place of starting one.")
    private String dispatcher;

    @Option(names = "--write-config", paramLabel = "FILE", description = {
        "With --dispatcher: writes the configuration that it needs, then waits until it is up.",
        "Start it with BALANCER_CONFIG=FILE."})
    private Path writeConfig;

    @Mixin
    private LoadOptions options = new LoadOptions();

    @Override
    public Integer call() throws IOException {
        try {
            return measured();
        } catch (BadCall e) {
            return Exit.badCall(e);
        } catch (UncheckedIOException e) {
            throw e.getCause();
        }
    }

    private int measured() throws BadCall, IOException {
        var plan = options.plan(boxes, connections, rate, seconds, warmUp);
        var goal = goal();
        var json = new JsonFile(options.json);
        var stop = Stop.onSignals();
        var runs = new LoadRuns(options.logs, dispatcher, writeConfig, options.quiet, stop);
        runs.check(goal == null ? plan : plan.atRate(firstRate()));
        return goal == null ? once(runs, plan, json) : search(runs, plan, goal, json, stop);
    }

    private LatencyGoal goal() throws BadCall {
        if (writeConfig != null && dispatcher == null) {
            throw new BadCall("--write-config: needs --dispatcher; without it the lab starts one by itself");
        }
        if (findRate == null) {
            return null;
        }
        if (dispatcher != null) {
            throw new BadCall("--find-rate: each step needs a fresh dispatcher; not with --dispatcher");
        }
        try {
            return LatencyGoal.parse(findRate);
        } catch (IllegalArgumentException e) {
            throw new BadCall("--find-rate: " + e.getMessage());
        }
    }

    private double firstRate() {
        return rate > 0 ? rate : FIRST_RATE;
    }

    private int once(LoadRuns runs, LoadPlan plan, JsonFile json) throws BadCall, IOException {
        var result = runs.run(plan, "load");
        json.write(result.json());
        System.out.println(LoadWords.summary(result));
        return Exit.of(result);
    }

    private int search(LoadRuns runs, LoadPlan plan, LatencyGoal goal, JsonFile json, Stop stop)
            throws BadCall, IOException {
        var table = new Table("rate/s", "served/s", "p50 ms", "p99 ms", "p99.9 ms", "busy",
                "late ms", "goal");
        if (!options.quiet) {
            System.err.println(table.headLine());
        }
        var found = RateSearch.search(firstRate(), at -> runs.unchecked(plan.atRate(at), "load at "
                + Math.round(at) + "/s"), result -> verdict(result, goal), step -> {
            LoadWords.step(table, step);
            if (!options.quiet) {
                System.err.println(table.lastLine());
            }
        }, stop::asked);
        json.write(json(found, goal, stop.asked()));
        System.out.println(table + "\n\n" + LoadWords.found(found, goal));
        return found.rate() > 0 && !stop.asked() ? Exit.DONE : Exit.FAILED;
    }

    /**
     * Lateness of the emulator only adds to latencies: a goal that holds in spite of it holds. One that fails
     * says something of the dispatcher only if the emulator was on time, or the dispatcher's core had no time
     * left anyway.
     */
    static Verdict verdict(LoadResult result, LatencyGoal goal) {
        var measured = result.measured();
        if (result.died() || result.broken() > 0) {
            return Verdict.FAILS;
        }
        if (measured.askedPerSecond() < LEAST_OFFERED * result.plan().rate()) {
            return Verdict.EMULATOR_LATE;
        }
        if (goal.holds(measured.latency())) {
            return Verdict.HOLDS;
        }
        return result.counts() || measured.busy() > CORE_IS_FULL ? Verdict.FAILS : Verdict.EMULATOR_LATE;
    }

    private static JsonObject json(RateSearch.Found<LoadResult> found, LatencyGoal goal,
            boolean interrupted) {
        var json = new JsonObject();
        json.addProperty("goal", goal.toString());
        json.addProperty("highest_rate", Math.round(found.rate() * 10) / 10.0);
        json.addProperty("failed_at", Math.round(found.failedAt() * 10) / 10.0);
        json.addProperty("limited_by", found.failedAt() == 0 ? "nothing seen"
                : found.emulatorLimited() ? "emulator" : "dispatcher");
        json.addProperty("interrupted", interrupted);
        var steps = new JsonArray();
        for (var step : found.steps()) {
            var one = step.detail().json();
            one.addProperty("verdict", step.verdict().name().toLowerCase(Locale.ROOT));
            one.addProperty("repeated", step.repeated());
            steps.add(one);
        }
        json.add("steps", steps);
        return json;
    }
}
