package ryemast.lab.cli;

import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.logging.Logger;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import ryemast.lab.compare.Arm;
import ryemast.lab.compare.CompareWords;
import ryemast.lab.compare.Compared;
import ryemast.lab.compare.Comparison;
import ryemast.lab.compare.Comparison.Rows;
import ryemast.lab.model.Simulated;
import ryemast.lab.report.Page;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.scenario.ScenarioFile;

/** {@code lab compare}: two choices on the same draws. */
@Command(name = "compare", description = {
    "Compares two choices on the same simulated sites, jobs and faults.",
    "A choice is a policy's name (as in lab policies), settings to change (allowed.max_attempts=3,...), an",
    "operator file (*.toml), or another version of the program (*.jar). For checks: module@N is the module",
    "with another seed, a change of nothing; blunder@P has the part P of its picks replaced by chance.",
    "Stops as soon as it is settled, with false alarms in 5%% of comparisons at most.",
    "Ends with 1 if it was stopped before its end; a broken rule of either is told in its result."},
        footer = {"", "Examples:",
            "  lab compare mixed-fleet --a module --b peak-ewma --runs 64 --report out",
            "  lab compare site.toml --a module --b allowed.second_copies=false --runs 200 --json out.json"})
final class CompareCommand implements Callable<Integer> {

    private static final double MICROS_PER_S = 1e6;
    private static final long KEEP_EVERY = Duration.ofSeconds(5).toNanos();

    @Parameters(paramLabel = "SCENARIO", description = "A scenario's name, as in lab/scenarios, or a file.")
    private String scenario;

    @Option(names = "--a", paramLabel = "X", required = true, description = "The one choice.")
    private String a;

    @Option(names = "--b", paramLabel = "Y", required = true, description = "The other choice.")
    private String b;

    @Option(names = "--runs", paramLabel = "R", defaultValue = "64",
            description = "How many runs of each at most (${DEFAULT-VALUE}).")
    private int runs;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1",
            description = "The first run's seed; the others follow (${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--margin", paramLabel = "D", defaultValue = "0.001",
            description = "A difference in service below this does not matter (${DEFAULT-VALUE}).")
    private double margin;

    @Option(names = "--all", description = "Makes all runs, though it may be settled before.")
    private boolean all;

    @Option(names = "--seconds", paramLabel = "N", description = "For how long jobs come, in place of the "
            + "scenario's own length; faults after that are left out.")
    private Double seconds;

    @Option(names = "--json", paramLabel = "FILE", description = {"Where the result goes as JSON.",
        "It is kept up to date while runs go on."})
    private Path json;

    @Option(names = "--report", paramLabel = "DIR", description =
            "Where a page with plots goes: DIR/index.html.")
    private Path report;

    @Option(names = "--resume", description = "Takes the runs that the file of --json holds already as done.")
    private boolean resume;

    @Option(names = "--threads", paramLabel = "N", description = "How many runs at once (one for each core).")
    private Integer threads;

    @Option(names = "--quiet", description = "Shows no progress.")
    private boolean quiet;

    private ScenarioFile file;

    @Override
    public Integer call() throws IOException {
        try {
            return run();
        } catch (BadCall e) {
            return Exit.badCall(e);
        }
    }

    private int run() throws BadCall, IOException {
        if (runs < 2 || runs > 100_000) {
            throw new BadCall("--runs: is " + runs + "; expected 2 to 100000");
        }
        LoadOptions.within("--margin", margin, 0, 1);
        if (seconds != null) {
            LoadOptions.within("--seconds", seconds, 0.1, 86_400);
        }
        int cores = threads == null ? Runtime.getRuntime().availableProcessors() : threads;
        if (cores < 1 || cores > 1_024) {
            throw new BadCall("--threads: is " + cores + "; expected 1 to 1024");
        }
        file = SimulateCommand.file(scenario);
        var plan = new Comparison.Plan(this::draw, arm("--a", a), arm("--b", b), seed, runs, margin, !all);
        var out = new JsonFile(json);
        if (report != null && Page.fault(report) != null) {
            throw new BadCall("--report: " + Page.fault(report));
        }
        SimulateCommand.quietLogs();
        var stop = Stop.onSignals();
        var known = resume ? known(plan) : new Rows(Map.of(), Map.of());
        long[] keptAt = {System.nanoTime()};
        Comparison.Done done;
        try (var live = new Live(file.name(), quiet)) {
            done = Comparison.run(plan, cores, known, stop::asked, (ready, rows) -> {
                live.at(ready / (2.0 * runs), ready / 2 + " of at most " + runs + " runs of each");
                if (System.nanoTime() - keptAt[0] > KEEP_EVERY) {
                    keptAt[0] = System.nanoTime();
                    keep(out, plan, rows);
                }
            });
        }
        var compared = new Compared(file.name(), file.title(), plan, done);
        out.write(compared.json());
        System.out.println(CompareWords.summary(compared));
        if (report != null) {
            System.out.println("Report: " + Page.write(report, compared, draw(seed)));
        }
        return done.interrupted() ? Exit.FAILED : Exit.DONE;
    }

    private Scenario draw(long one) {
        var drawn = file.draw(one);
        return seconds == null ? drawn : Shortened.cut(drawn, Math.round(seconds * MICROS_PER_S));
    }

    private Arm arm(String option, String spec) throws BadCall {
        try {
            var arm = Arm.of(spec);
            var fault = arm.fault(draw(seed));
            if (fault != null) {
                throw new BadCall(option + ": " + fault);
            }
            return arm;
        } catch (Arm.BadArm e) {
            throw new BadCall(option + ": " + e.getMessage());
        }
    }

    private void keep(JsonFile out, Comparison.Plan plan, Rows rows) {
        try {
            out.write(Compared.kept(file.name(), file.title(), plan, rows));
        } catch (IOException e) {
            // What is done is still in memory, and is written at the end; if that fails, it is said there.
            Logger.getLogger(CompareCommand.class.getName()).fine("not kept yet: " + e);
        }
    }

    private Rows known(Comparison.Plan plan) throws BadCall {
        if (json == null) {
            throw new BadCall("--resume: needs --json, whose file holds what was done");
        }
        if (!Files.exists(json)) {
            return new Rows(Map.of(), Map.of());
        }
        try {
            var kept = JsonParser.parseString(Files.readString(json)).getAsJsonObject();
            var ofA = kept.getAsJsonObject("a").get("arm").getAsString();
            var ofB = kept.getAsJsonObject("b").get("arm").getAsString();
            if (!ofA.equals(plan.a().spec()) || !ofB.equals(plan.b().spec())) {
                throw new BadCall(json + ": holds runs of " + ofA + " and " + ofB);
            }
            var rows = new Rows(new TreeMap<>(Compared.rows(kept.get("rows_a"))),
                    new TreeMap<>(Compared.rows(kept.get("rows_b"))));
            for (var one : rows.a().entrySet()) {
                if (!Simulated.print(draw(one.getKey())).equals(one.getValue().get("site").getAsString())) {
                    throw new BadCall(json + ": seed " + one.getKey() + " was run on another scenario than "
                            + scenario + " as it is now");
                }
            }
            return rows;
        } catch (IOException | JsonParseException | IllegalStateException | NullPointerException
                | ClassCastException e) {
            throw new BadCall(json + ": holds no result of lab compare to go on from: " + e.getMessage());
        }
    }
}
