package ryemast.lab.cli;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import ryemast.lab.load.LoadPlan;
import ryemast.lab.load.LoadResult;
import ryemast.lab.load.Table;

/** {@code lab growth}: how a dispatcher's work for a job grows with the number of boxes. */
@Command(name = "growth", description = {"Measures one dispatcher at growing numbers of boxes,",
    "in a closed loop and at a fixed rate; prints a Markdown table."})
final class GrowthCommand implements Callable<Integer> {

    @Option(names = "--sizes", split = ",", paramLabel = "N", defaultValue = "10,100,1000,4000",
            description = "Numbers of boxes (${DEFAULT-VALUE}).")
    private List<Integer> sizes;

    @Option(names = "--rate", paramLabel = "R", defaultValue = "200",
            description = "The fixed rate (${DEFAULT-VALUE}); 0: the closed loop only.")
    private double rate;

    @Option(names = "--closed", negatable = true, defaultValue = "true", fallbackValue = "true",
            description = "Whether to measure the closed loop (it is).")
    private boolean closed;

    @Option(names = "--connections", paramLabel = "C", defaultValue = "256",
            description = "Clients of the closed loop (${DEFAULT-VALUE}).")
    private int connections;

    @Option(names = "--seconds", paramLabel = "S", defaultValue = "10",
            description = "How long to measure each (${DEFAULT-VALUE}).")
    private double seconds;

    @Option(names = "--warm-up", paramLabel = "S", defaultValue = "5",
            description = "How long before that, not counted (${DEFAULT-VALUE}).")
    private double warmUp;

    @Mixin
    private LoadOptions options = new LoadOptions();

    @Override
    public Integer call() throws IOException {
        try {
            return measured();
        } catch (BadCall e) {
            return Exit.badCall(e);
        }
    }

    private int measured() throws BadCall, IOException {
        var plans = new ArrayList<LoadPlan>();
        for (int size : sizes) {
            if (closed) {
                plans.add(options.plan(size, connections, 0, seconds, warmUp));
            }
            if (rate > 0) {
                plans.add(options.plan(size, connections, rate, seconds, warmUp));
            }
        }
        if (plans.isEmpty()) {
            throw new BadCall("--rate 0 and --no-closed leave nothing to measure");
        }
        var json = new JsonFile(options.json);
        var stop = Stop.onSignals();
        var runs = new LoadRuns(options.logs, null, null, options.quiet, stop);
        for (var plan : plans) {
            runs.check(plan);
        }
        var results = new ArrayList<LoadResult>();
        for (var plan : plans) {
            if (!stop.asked()) {
                results.add(runs.run(plan, plan.boxes() + " boxes, "
                        + (plan.closedLoop() ? "closed loop" : LoadOptions.plain(plan.rate()) + "/s")));
            }
        }
        var whole = new JsonObject();
        whole.add("runs", LoadResult.json(results));
        whole.addProperty("interrupted", stop.asked());
        json.write(whole);
        System.out.println(table(results));
        return results.stream().allMatch(LoadResult::fine) && !stop.asked() ? Exit.DONE : Exit.FAILED;
    }

    private static Table table(List<LoadResult> results) {
        var table = new Table("boxes", "load", "served/s", "us/job", "busy", "p50 ms", "p99 ms", "p99.9 ms",
                "served", "RSS MB", "late ms", "stolen", "note");
        for (var result : results) {
            var m = result.measured();
            var plan = result.plan();
            table.row(plan.boxes(), plan.closedLoop() ? "closed, " + plan.connections()
                    : LoadOptions.plain(plan.rate()) + "/s", LoadWords.number(m.servedPerSecond(), 0),
                    LoadWords.number(m.cpuMicrosPerJob(), 0), LoadWords.percent(m.busy()),
                    LoadWords.cell(m.latency(), 50), LoadWords.cell(m.latency(), 99),
                    LoadWords.cell(m.latency(), 99.9), LoadWords.percent(m.share(m.served())),
                    LoadWords.number(result.rssMb(), 0), LoadWords.number(result.emulatorLateMs(), 1),
                    LoadWords.percent(m.stolen()), LoadWords.note(result));
        }
        return table;
    }
}
