package ryemast.lab.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import ryemast.lab.batch.BatchTrial;
import ryemast.lab.batch.TrialPlan;
import ryemast.lab.batch.TrialResult;

/** {@code lab batch-trial}: a term's batch, with the dispatcher killed and submitters cut off meanwhile. */
@Command(name = "batch-trial",
        description = {"Two submitters hand in a term's worth of jobs, while their connections",
    "are cut, boxes crash and the dispatcher is killed outright at drawn moments. Ends with 0 only if",
    "every job has one final state, nothing that was accepted is missing, and the boxes' own books know",
    "of no sticker that ran twice."})
final class BatchTrialCommand implements Callable<Integer> {

    @Option(names = "--jobs", paramLabel = "N", defaultValue = "2000",
            description = "Jobs that may be repeated, build-pack (${DEFAULT-VALUE}).")
    private int jobs;

    @Option(names = "--stickers", paramLabel = "M", defaultValue = "200",
            description = "Jobs that must run once, award-sticker (${DEFAULT-VALUE}).")
    private int stickers;

    @Option(names = "--kills", paramLabel = "K", defaultValue = "3",
            description = "Times that the dispatcher is killed (${DEFAULT-VALUE}).")
    private int kills;

    @Option(names = "--cuts", paramLabel = "C", defaultValue = "3",
            description = "Times that a submitter's connection is cut (${DEFAULT-VALUE}).")
    private int cuts;

    @Option(names = "--crashes", paramLabel = "N", defaultValue = "3",
            description = "Times that a box crashes (${DEFAULT-VALUE}).")
    private int crashes;

    @Option(names = "--arrays", paramLabel = "N", defaultValue = "20",
            description = "Into how many submissions they are divided (${DEFAULT-VALUE}).")
    private int arrays;

    @Option(names = "--boxes", paramLabel = "N", defaultValue = "10",
            description = "Boxes (${DEFAULT-VALUE}).")
    private int boxes;

    @Option(names = "--work-ms", paramLabel = "MS", defaultValue = "40",
            description = "What a job takes on one of a box's four cores (${DEFAULT-VALUE}).")
    private double workMs;

    @Option(names = "--rate", paramLabel = "R", defaultValue = "20",
            description = "Clients' own jobs a second beside (${DEFAULT-VALUE}).")
    private double rate;

    @Option(names = "--seed", paramLabel = "S", defaultValue = "1",
            description = "What all moments are drawn from (${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--careless", description = "The dispatcher sends before it has written that it will:"
            + " the trial must fail.")
    private boolean careless;

    @Option(names = "--json", paramLabel = "FILE", description = "Where the result goes as JSON.")
    private Path json;

    @Option(names = "--logs", paramLabel = "DIR",
            description = "Where logs, keys and the store go; else nowhere.")
    private Path logs;

    @Option(names = "--quiet", description = "Shows no progress.")
    private boolean quiet;

    @Override
    public Integer call() throws IOException {
        try {
            return tried();
        } catch (BadCall e) {
            return Exit.badCall(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Exit.FAILED;
        }
    }

    private int tried() throws BadCall, IOException, InterruptedException {
        LoadOptions.within("--jobs", jobs, 0, 1_000_000);
        LoadOptions.within("--stickers", stickers, 0, 1_000_000);
        LoadOptions.within("--jobs and --stickers together", (double) jobs + stickers, 1, 1_000_000);
        LoadOptions.within("--kills", kills, 0, 1_000);
        LoadOptions.within("--cuts", cuts, 0, 1_000);
        LoadOptions.within("--crashes", crashes, 0, 1_000);
        LoadOptions.within("--arrays", arrays, 1, jobs + stickers);
        LoadOptions.within("--boxes", boxes, 2, 200);
        LoadOptions.within("--work-ms", workMs, 0.1, 60_000);
        LoadOptions.within("--rate", rate, 0.1, 10_000);
        var file = new JsonFile(json);
        var plan = new TrialPlan(jobs, stickers, kills, cuts, crashes, arrays, boxes, workMs, rate, seed,
                careless, logs);
        TrialResult result;
        try (var live = new Live("batch trial", quiet)) {
            result = new BatchTrial(plan, live::say).run();
        }
        file.write(result.json());
        print(result);
        return result.fine(jobs + stickers) ? Exit.DONE : Exit.FAILED;
    }

    private void print(TrialResult result) {
        var states = result.finalStates().entrySet().stream().sorted(Map.Entry.comparingByKey())
                .map(each -> String.format("%,d %s", each.getValue(), each.getKey()))
                .collect(Collectors.joining(", "));
        System.out.printf("%,d of %,d jobs accepted; %s%n", result.accepted(), jobs + stickers, states);
        result.reasons().forEach((why, count) -> System.out.printf("  failed: %,d: %s%n", count, why));
        System.out.printf("without a final state %d, with two %d, nobody's %d, done without a run %d,"
                + " wrong bodies %d%n", result.withoutFinal(), result.withTwo(), result.unknown(),
                result.doneUnrun(), result.wrongBodies());
        System.out.printf("stickers that ran twice %d; packs that ran again %d%n", result.stickersTwice(),
                result.packsAgain());
        System.out.printf("%d kills, %d cuts; answers again after %s ms; %.1f s, %.1f s of processor time,"
                + " %.0f MB%n", result.kills(), result.cuts(), result.recoveryMs(), result.seconds(),
                result.cpuSeconds(), result.rssMb());
        System.out.println("clients: " + result.clients());
        if (result.note() != null) {
            System.out.println("NOT WHOLE: " + result.note());
        }
    }
}
