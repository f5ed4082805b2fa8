package ryemast.lab.cli;

import java.nio.file.Path;
import picocli.CommandLine.Option;
import ryemast.lab.load.LoadPlan;

/** What the commands that put a dispatcher under load have in common. */
final class LoadOptions {

    private static final int MOST_BOXES = 20_000;
    private static final int MOST_CONNECTIONS = 20_000;
    private static final double MOST_RATE = 1e6;
    private static final double MOST_SECONDS = 86_400;

    @Option(names = "--work-ms", paramLabel = "MS", defaultValue = "5",
            description = "What each job takes on one core of a box (${DEFAULT-VALUE}).")
    double workMs;

    @Option(names = "--cores", paramLabel = "N", defaultValue = "8",
            description = "Cores of each box (${DEFAULT-VALUE}); a dispatcher always has one.")
    int cores;

    @Option(names = "--resets", paramLabel = "SHARE", defaultValue = "0", converter = Share.Converter.class,
            description = "Share of requests that boxes reset once they have arrived, as 0.5%% or 0.005.")
    Share resets;

    @Option(names = "--lost", paramLabel = "SHARE", defaultValue = "0", converter = Share.Converter.class,
            description = "Share of jobs that are told to be lost.")
    Share lost;

    @Option(names = "--turn-away", paramLabel = "SHARE", defaultValue = "0",
            converter = Share.Converter.class,
            description = "Share of requests that boxes turn away unseen.")
    Share turnAway;

    @Option(names = "--errors", paramLabel = "SHARE", defaultValue = "0", converter = Share.Converter.class,
            description = "Share of jobs that end in an error.")
    Share errors;

    @Option(names = "--single-shot", paramLabel = "SHARE", defaultValue = "0",
            converter = Share.Converter.class, description = "Share of jobs that may run once at most.")
    Share singleShot;

    @Option(names = "--starts", negatable = true, defaultValue = "true", fallbackValue = "true",
            description = "Whether boxes tell of starts (they do).")
    boolean starts;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1",
            description = "What all chance is drawn from (${DEFAULT-VALUE}).")
    long seed;

    @Option(names = "--logs", paramLabel = "DIR",
            description = "Where the dispatchers' logs go; else nowhere.")
    Path logs;

    @Option(names = "--json", paramLabel = "FILE", description = "Where the result goes as JSON.")
    Path json;

    @Option(names = "--quiet", description = "Shows no progress.")
    boolean quiet;

    /** Checked; the message of the exception names the option at fault. */
    LoadPlan plan(int boxes, int connections, double rate, double seconds, double warmUp) throws BadCall {
        within("--boxes", boxes, 1, MOST_BOXES);
        within("--connections", connections, 1, MOST_CONNECTIONS);
        within("--rate", rate, 0, MOST_RATE);
        within("--seconds", seconds, 0.1, MOST_SECONDS);
        within("--warm-up", warmUp, 0, MOST_SECONDS);
        within("--work-ms", workMs, 0.001, 60_000);
        within("--cores", cores, 1, 1_024);
        return new LoadPlan(boxes, connections, rate, seconds, warmUp, workMs, cores, resets.part(),
                lost.part(), turnAway.part(), errors.part(), singleShot.part(), starts, seed);
    }

    static void within(String option, double value, double least, double most) throws BadCall {
        if (!(value >= least && value <= most)) {
            throw new BadCall(option + ": " + plain(value) + " is out of range; expected "
                    + plain(least) + " to " + plain(most));
        }
    }

    static String plain(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15 ? Long.toString((long) value)
                : Double.toString(value);
    }
}
