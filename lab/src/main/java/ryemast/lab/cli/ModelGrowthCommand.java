package ryemast.lab.cli;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import ryemast.config.Tuning;
import ryemast.lab.books.MemoryBooks;
import ryemast.lab.books.RunResult;
import ryemast.lab.load.Table;
import ryemast.lab.model.ModelSite;
import ryemast.lab.model.Policy;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.scenario.ScenarioBuilder;

/** {@code lab model-growth}: what the model itself costs as sites grow. */
@Command(name = "model-growth", description = {"Measures the model itself at growing numbers of boxes and",
    "dispatchers: one run on one thread for each; prints a Markdown table."})
final class ModelGrowthCommand implements Callable<Integer> {

    private static final double WORK = 10_000;
    private static final long MOMENT = 500_000;
    private static final double MICROS_PER_S = 1e6;
    private static final double NANOS_PER_S = 1e9;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final double MB = 1 << 20;

    @Option(names = "--sizes", split = ",", paramLabel = "N", defaultValue = "10,1000,10000",
            description = "Numbers of boxes (${DEFAULT-VALUE}).")
    private List<Integer> sizes;

    @Option(names = "--dispatchers", split = ",", paramLabel = "N", defaultValue = "1,100",
            description = "Numbers of dispatchers (${DEFAULT-VALUE}).")
    private List<Integer> dispatchers;

    @Option(names = "--rate", paramLabel = "R", defaultValue = "500", description = "Jobs a second, "
            + "10 ms of work each (${DEFAULT-VALUE}).")
    private double rate;

    @Option(names = "--seconds", paramLabel = "S", defaultValue = "10",
            description = "For how long jobs come, in the model's time (${DEFAULT-VALUE}).")
    private double seconds;

    @Option(names = "--policy", paramLabel = "NAME", defaultValue = "module",
            description = "What decides (${DEFAULT-VALUE}).")
    private String policy;

    @Option(names = "--json", paramLabel = "FILE", description = "Where the figures go as JSON.")
    private Path json;

    @Override
    public Integer call() throws IOException {
        try {
            return measured();
        } catch (BadCall e) {
            return Exit.badCall(e);
        }
    }

    private int measured() throws BadCall, IOException {
        var chosen = SimulateCommand.policy(policy);
        var file = new JsonFile(json);
        SimulateCommand.quietLogs();
        // Once for nothing, so that the first row is not that of code still to be compiled.
        run(plan(10, 1), chosen);
        var table = new Table("boxes", "dispatchers", "jobs", "events", "events/s", "cpu us a job", "heap MB",
                "served");
        var rows = new JsonArray();
        for (int count : dispatchers) {
            for (int size : sizes) {
                var row = run(plan(size, count), chosen);
                rows.add(row);
                table.row(Integer.toString(size), Integer.toString(count), row.get("jobs").getAsString(),
                        row.get("events").getAsString(), row.get("events_per_s").getAsString(),
                        row.get("cpu_us_per_job").getAsString(), row.get("heap_mb").getAsString(),
                        String.format(Locale.ROOT, "%.4f", row.get("served").getAsDouble()));
                System.err.println(table.lastLine());
            }
        }
        var all = new JsonObject();
        all.addProperty("policy", chosen.name());
        all.add("rows", rows);
        file.write(all);
        System.out.println(table);
        return Exit.DONE;
    }

    private Scenario plan(int boxes, int count) {
        var d = ScenarioBuilder.uniform(1, 2, 1, 12).build().dispatchers();
        return ScenarioBuilder.uniform(boxes, 2, 1, 12).rate(rate).length(Math.round(seconds * MICROS_PER_S))
                .classes(List.of(ScenarioBuilder.jobs("job", WORK, MOMENT, 4 * MOMENT)))
                .dispatchers(new Scenario.Dispatchers(count, d.cores(), d.memoryMb(), 8_192, d.notice()))
                .build();
    }

    private static JsonObject run(Scenario scenario, Policy policy) {
        var threads = ManagementFactory.getThreadMXBean();
        long heapBefore = heap();
        long began = System.nanoTime();
        long cpuBegan = threads.getCurrentThreadCpuTime();
        var books = new MemoryBooks();
        var site = new ModelSite(scenario, policy, Tuning.DEFAULT, books.tries(), books);
        site.run(() -> false);
        long cpu = threads.getCurrentThreadCpuTime() - cpuBegan;
        double took = (System.nanoTime() - began) / NANOS_PER_S;
        double heap = (heap() - heapBefore) / MB;
        var result = RunResult.of(scenario, books, List.of(), false, null);
        var row = new JsonObject();
        row.addProperty("boxes", scenario.boxes().size());
        row.addProperty("dispatchers", scenario.dispatchers().count());
        row.addProperty("jobs", result.asked());
        row.addProperty("events", site.events());
        row.addProperty("events_per_s", Math.round(site.events() / took));
        row.addProperty("cpu_us_per_job", Math.round(cpu / NANOS_PER_MICRO / Math.max(1, result.asked())));
        row.addProperty("heap_mb", Math.round(heap));
        row.addProperty("served", (double) result.served() / Math.max(1, result.asked()));
        return row;
    }

    private static long heap() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
