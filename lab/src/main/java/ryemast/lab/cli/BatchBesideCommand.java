package ryemast.lab.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import ryemast.lab.batch.Beside;
import ryemast.lab.load.Table;

/** {@code lab batch-beside}: what a batch costs clients, and how much of what is idle it uses. */
@Command(name = "batch-beside",
        description = {"Plays clients' traffic alone, then the same beside a batch that never",
    "ends; prints a Markdown table. Ends with 1 if clients lose 2% of their service or more, or the",
    "batch uses less than 80% of what they leave idle."})
final class BatchBesideCommand implements Callable<Integer> {

    private static final double MOST_LOSS = 0.02;
    private static final double LEAST_USED = 0.8;

    @Option(names = "--boxes", paramLabel = "N", defaultValue = "10",
            description = "Boxes of four cores (${DEFAULT-VALUE}).")
    private int boxes;

    @Option(names = "--load", paramLabel = "X", defaultValue = "0.4",
            description = "Clients' part of the cores (${DEFAULT-VALUE}).")
    private double load;

    @Option(names = "--client-ms", paramLabel = "MS", defaultValue = "200",
            description = "What clients' jobs take on average (${DEFAULT-VALUE}).")
    private double clientMs;

    @Option(names = "--pack-ms", paramLabel = "MS", defaultValue = "800",
            description = "What a batch job takes (${DEFAULT-VALUE}).")
    private double packMs;

    @Option(names = "--seconds", paramLabel = "N", defaultValue = "60",
            description = "Measured (${DEFAULT-VALUE}).")
    private double seconds;

    @Option(names = "--warm-up", paramLabel = "N", defaultValue = "10",
            description =
                    "Seconds before that; clients' jobs of it count for their service (${DEFAULT-VALUE}).")
    private double warmUp;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1",
            description = "Of all chance (${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--json", paramLabel = "FILE", description = "Where the result goes as JSON.")
    private Path json;

    @Option(names = "--logs", paramLabel = "DIR", description = "Where logs go; else nowhere.")
    private Path logs;

    @Option(names = "--quiet", description = "Shows no progress.")
    private boolean quiet;

    @Override
    public Integer call() throws IOException {
        try {
            LoadOptions.within("--boxes", boxes, 2, 200);
            LoadOptions.within("--load", load, 0.01, 0.95);
            LoadOptions.within("--client-ms", clientMs, 1, 10_000);
            LoadOptions.within("--pack-ms", packMs, 1, 10_000);
            LoadOptions.within("--seconds", seconds, 5, 3_600);
            LoadOptions.within("--warm-up", warmUp, 0, 600);
            var file = new JsonFile(json);
            Beside.Both both;
            try (var live = new Live("beside a batch", quiet)) {
                both = new Beside(boxes, load, clientMs, packMs, seconds, warmUp, seed, logs).run(live::say);
            }
            file.write(both.json());
            System.out.println(table(both));
            boolean fine = both.loss() < MOST_LOSS && both.beside().idleUsed() >= LEAST_USED
                    && both.beside().result().rulesBroken() == 0;
            return fine ? Exit.DONE : Exit.FAILED;
        } catch (BadCall e) {
            return Exit.badCall(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Exit.FAILED;
        }
    }

    private static Table table(Beside.Both both) {
        var table = new Table("clients", "service", "p50 ms", "p99 ms", "served", "idle time used",
                "batch jobs done",
                "rules broken", "note");
        row(table, "alone", both.alone());
        row(table, String.format(Locale.ROOT, "beside a batch: %.1f%% lost", 100 * both.loss()),
                both.beside());
        return table;
    }

    private static void row(Table table, String what, Beside.Side side) {
        table.row(what, String.format(Locale.ROOT, "%.4f", side.service()),
                String.format(Locale.ROOT, "%.0f", side.p50Ms()),
                        String.format(Locale.ROOT, "%.0f", side.p99Ms()),
                side.served() + " of " + side.asked(),
                        String.format(Locale.ROOT, "%.0f%%", 100 * side.idleUsed()),
                Long.toString(side.batchDone()), Long.toString(side.result().rulesBroken()),
                side.result().counts() ? "" : "the emulator was late");
    }
}
