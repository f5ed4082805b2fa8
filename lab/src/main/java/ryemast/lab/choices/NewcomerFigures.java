package ryemast.lab.choices;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import ryemast.config.Tuning;
import ryemast.lab.books.Books.DispatcherState;
import ryemast.lab.books.Books.End;
import ryemast.lab.books.History;
import ryemast.lab.books.MemoryBooks;
import ryemast.lab.model.ModelSite;
import ryemast.lab.model.policy.Policies;
import ryemast.lab.scenario.ScenarioFile;
import ryemast.toml.FaultyFileException;

/**
 * How a dispatcher does in the first seconds of its life beside boxes of which some are sick, by the part of
 * its attempts that fail: starting cold, and told by its peers. Beside it what the others' fail meanwhile,
 * which is what it comes to.
 */
public final class NewcomerFigures {

    private static final long SECOND = 1_000_000;
    private static final int SECONDS = 4;
    private static final double PERCENT = 100;

    /** Failed and all, by second of life; the last but one for the others' in these seconds. */
    private static final class Count {
        final long[] failed = new long[SECONDS + 1];
        final long[] all = new long[SECONDS + 1];

        void add(int at, boolean bad) {
            all[at]++;
            failed[at] += bad ? 1 : 0;
        }

        double percent(int at) {
            return all[at] == 0 ? 0 : PERCENT * failed[at] / all[at];
        }
    }

    private NewcomerFigures() {
    }

    /** {@code runs}: seeds from 1 on. */
    public static String table(int runs, JsonArray into) throws FaultyFileException {
        var file = ScenarioFile.named("fleet-newcomer");
        var text = new StringBuilder("| way | " + String.join(" | ", IntStream.range(0, SECONDS)
                .mapToObj(i -> "second " + (i + 1)).toList()) + " | the others meanwhile | attempts |\n"
                + "| --- |" + " --: |".repeat(SECONDS + 2) + "\n");
        for (var way : List.of("module", "signals")) {
            var count = new Count();
            IntStream.rangeClosed(1, runs).parallel().forEach(seed -> {
                var books = new MemoryBooks();
                new ModelSite(file.draw(seed), Policies.named(way), Tuning.DEFAULT, books.tries(), books)
                        .run(() -> false);
                var history = books.read();
                synchronized (count) {
                    count(history, count);
                }
            });
            var cells = new ArrayList<String>();
            var row = new JsonObject();
            row.addProperty("way", way);
            var percents = new JsonArray();
            for (int i = 0; i <= SECONDS; i++) {
                cells.add(String.format(Locale.ROOT, "%.1f%%", count.percent(i)));
                percents.add(count.percent(i));
            }
            row.add("failed_percent", percents);
            into.add(row);
            long attempts = IntStream.range(0, SECONDS).mapToLong(i -> count.all[i]).sum();
            text.append("| ").append(way).append(" | ").append(String.join(" | ", cells)).append(" | ")
                    .append(attempts).append(" |\n");
        }
        return text.toString();
    }

    /** Each life but the first: all dispatchers begin together, and nobody knows anything then. */
    private static void count(History history, Count into) {
        history.dispatchers().forEach((dispatcher, states) -> {
            boolean first = true;
            for (var state : states) {
                if (state.state() != DispatcherState.READY) {
                    continue;
                }
                if (!first) {
                    count(history, dispatcher, state.at(), into);
                }
                first = false;
            }
        });
    }

    private static void count(History history, int dispatcher, long readyAt, Count into) {
        for (var job : history.jobs()) {
            for (var story : job.tries()) {
                for (var attempt : story.attempts()) {
                    long age = attempt.at() - readyAt;
                    boolean ended = attempt.end() == End.DONE || attempt.end() == End.FAILED;
                    if (ended && age >= 0 && age < SECONDS * SECOND) {
                        into.add(attempt.dispatcher() == dispatcher ? (int) (age / SECOND) : SECONDS,
                                attempt.end() == End.FAILED);
                    }
                }
            }
        }
    }
}
