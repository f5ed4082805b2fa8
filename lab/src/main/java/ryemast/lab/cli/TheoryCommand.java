package ryemast.lab.cli;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicInteger;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import ryemast.lab.model.theory.Theory;

/** {@code lab theory}: the model beside the formulas of queueing theory. */
@Command(name = "theory", description = {"Holds the model against queueing theory: M/M/c against Erlang C,",
    "M/G/1 against Pollaczek and Khinchine; prints a Markdown table."})
final class TheoryCommand implements Callable<Integer> {

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "(${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--replications", paramLabel = "N", defaultValue = "32",
            description = {"Independent runs of each queue (${DEFAULT-VALUE});",
                "more at load 0.8, until the interval is under 3%% wide."})
    private int replications;

    @Option(names = "--jobs", paramLabel = "N", defaultValue = "50000",
            description = "Jobs in each (${DEFAULT-VALUE}).")
    private long jobs;

    @Option(names = "--json", paramLabel = "FILE", description = "Where the table goes as JSON.")
    private Path json;

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
        LoadOptions.within("--replications", replications, 2, 100_000);
        LoadOptions.within("--jobs", jobs, 100, 100_000_000);
        var file = new JsonFile(json);
        SimulateCommand.quietLogs();
        var stop = Stop.onSignals();
        var queues = Theory.queues();
        List<Theory.Row> rows = new ArrayList<>();
        var done = new AtomicInteger();
        try (var live = new Live("theory", quiet)) {
            for (var queue : queues) {
                var row = Theory.run(queue, seed, replications, jobs, stop::asked, () -> {
                    int runs = done.incrementAndGet();
                    synchronized (live) {
                        live.at((double) rows.size() / queues.size(), queue.name() + " at load "
                                + queue.load() + ", " + runs + " replications in all");
                    }
                });
                if (stop.asked()) {
                    break;
                }
                rows.add(row);
            }
        }
        var result = new JsonObject();
        result.addProperty("interrupted", rows.size() < queues.size());
        result.add("queues", Theory.json(rows));
        file.write(result);
        System.out.println(Theory.table(rows));
        return rows.size() < queues.size() ? Exit.FAILED : Exit.DONE;
    }
}
