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

/** {@code lab failures}: what becomes of jobs when boxes that have ample room reset some requests. */
@Command(name = "failures", description = {"Measures what share of jobs is served, refused and failed",
    "against the share of requests that boxes reset; prints a Markdown table."})
final class FailuresCommand implements Callable<Integer> {

    @Option(names = "--boxes", paramLabel = "W", defaultValue = "20",
            description = "Boxes (${DEFAULT-VALUE}).")
    private int boxes;

    @Option(names = "--rates", split = ",", paramLabel = "R", defaultValue = "100,500,1500",
            description = "Jobs a second (${DEFAULT-VALUE}).")
    private List<Double> rates;

    @Option(names = "--shares", split = ",", paramLabel = "SHARE", converter = Share.Converter.class,
            defaultValue = "0.1%,0.3%,1%,3%,10%",
            description = "Of requests that are reset (0.1%%,0.3%%,1%%,3%%,10%%).")
    private List<Share> shares;

    @Option(names = "--seconds", paramLabel = "S", defaultValue = "10",
            description = "How long to measure each (${DEFAULT-VALUE}).")
    private double seconds;

    @Option(names = "--warm-up", paramLabel = "S", defaultValue = "3",
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
        for (double rate : rates) {
            LoadOptions.within("--rates", rate, 1, 1e6);
            for (var share : shares) {
                options.resets = share;
                plans.add(options.plan(boxes, 1, rate, seconds, warmUp));
            }
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
                results.add(runs.run(plan, LoadOptions.plain(plan.rate()) + "/s, "
                        + new Share(plan.resets()).percent() + " reset"));
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
        var table = new Table("rate/s", "reset", "served", "refused", "failed", "no answer", "p50 ms",
                "p99 ms", "us/job", "late ms", "stolen", "note");
        for (var result : results) {
            var m = result.measured();
            table.row(LoadOptions.plain(result.plan().rate()), new Share(result.plan().resets()).percent(),
                    LoadWords.percent(m.share(m.served())), LoadWords.percent(m.share(m.refused())),
                    LoadWords.percent(m.share(m.failed())), LoadWords.percent(m.share(m.unanswered())),
                    LoadWords.cell(m.latency(), 50), LoadWords.cell(m.latency(), 99),
                    LoadWords.number(m.cpuMicrosPerJob(), 0), LoadWords.number(result.emulatorLateMs(), 1),
                    LoadWords.percent(m.stolen()), LoadWords.note(result));
        }
        return table;
    }
}
