package ryemast.lab.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import ryemast.lab.batch.StoreTrial;
import ryemast.lab.load.Table;

/** {@code lab batch-store}: what taking jobs for good costs. */
@Command(name = "batch-store",
        description = {"Measures jobs accepted a second, each on the disk, by numbers of",
    "submitters; then memory, and the time until answers come again after a kill, with many jobs that wait."})
final class BatchStoreCommand implements Callable<Integer> {

    @Option(names = "--submitters", split = ",", paramLabel = "N", defaultValue = "1,32",
            description = "Each with one submission at a time (${DEFAULT-VALUE}).")
    private List<Integer> submitters;

    @Option(names = "--seconds", paramLabel = "N", defaultValue = "10",
            description = "For each (${DEFAULT-VALUE}).")
    private double seconds;

    @Option(names = "--jobs", paramLabel = "N", defaultValue = "100000",
            description = "That wait (${DEFAULT-VALUE}).")
    private int jobs;

    @Option(names = "--submissions", split = ",", paramLabel = "N", defaultValue = "1,100",
            description = "Into which they are divided (${DEFAULT-VALUE}).")
    private List<Integer> submissions;

    @Option(names = "--json", paramLabel = "FILE", description = "Where the result goes as JSON.")
    private Path json;

    @Option(names = "--logs", paramLabel = "DIR",
            description = "Where logs and stores go; else a temporary folder.")
    private Path logs;

    @Option(names = "--quiet", description = "Shows no progress.")
    private boolean quiet;

    @Override
    public Integer call() throws IOException {
        try {
            for (int each : submitters) {
                LoadOptions.within("--submitters", each, 1, 60);
            }
            LoadOptions.within("--seconds", seconds, 1, 600);
            LoadOptions.within("--jobs", jobs, 1, 1_000_000);
            for (int each : submissions) {
                LoadOptions.within("--submissions", each, 1, jobs);
            }
            var file = new JsonFile(json);
            var rates = new ArrayList<StoreTrial.Rate>();
            var sizes = new ArrayList<StoreTrial.Size>();
            try (var live = new Live("batch store", quiet)) {
                var trial = new StoreTrial(logs, live::say);
                for (int each : submitters) {
                    rates.add(trial.rate(each, seconds));
                }
                for (int each : submissions) {
                    sizes.add(trial.size(jobs, each));
                }
            }
            file.write(StoreTrial.json(rates, sizes));
            print(rates, sizes);
            return Exit.DONE;
        } catch (BadCall e) {
            return Exit.badCall(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Exit.FAILED;
        }
    }

    private static void print(List<StoreTrial.Rate> rates, List<StoreTrial.Size> sizes) {
        var table = new Table("submitters", "jobs accepted a second", "p50 ms", "p99 ms");
        rates.forEach(each -> table.row(Integer.toString(each.submitters()), number(each.perSecond(), 0),
                number(each.p50Ms(), 2), number(each.p99Ms(), 2)));
        System.out.println(table);
        var other = new Table("jobs that wait", "submissions", "memory before, MB", "memory, MB",
                "answers again after a kill, ms", "store, MB");
        sizes.forEach(each -> other.row(Integer.toString(each.jobs()), Integer.toString(each.arrays()),
                number(each.emptyMb(), 0), number(each.waitingMb(), 0), each.takenUpMs().toString(),
                number(each.storeMb(), 1)));
        System.out.println(other);
    }

    private static String number(double value, int digits) {
        return String.format(Locale.ROOT, "%." + digits + "f", value);
    }
}
