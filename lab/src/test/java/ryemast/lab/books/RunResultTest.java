package ryemast.lab.books;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ryemast.lab.books.Tale.FREE;
import static ryemast.lab.books.Tale.MS;
import static ryemast.lab.books.Tale.result;

import com.google.gson.JsonObject;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import ryemast.lab.books.Books.DispatcherState;
import ryemast.lab.books.Books.Reply;

class RunResultTest {

    private final Tale tale = new Tale();

    private RunResult run(DispatcherStats... stats) {
        return RunResult.of(tale.scenario(), tale.books, Arrays.asList(stats), false, null);
    }

    private static DispatcherStats stats(boolean died, List<String> log) {
        return new DispatcherStats(0, 2_000, 61.5, 800 * MS, 400 * MS, !died, died, died ? 137 : null, log);
    }

    private static String text(RunResult run) {
        List<String> lines = Summary.lines(run, false);
        assertTrue(lines.size() <= Summary.MOST_LINES, () -> lines.size() + " lines");
        return String.join("\n", lines);
    }

    @Test
    void theJsonBearsTheNamesThatToolsRelyOn() {
        tale.served("a", FREE, 0).served("b", FREE, 100);
        tale.ask("c", FREE, 200);
        tale.arrives("c", 1, 205).replies("c", 1, 206, Reply.TURNED_AWAY).told("c", 210, 503, "");
        tale.ask("d", FREE, 300);
        tale.told("d", 310, 500, "");
        tale.books.late(0, 2 * MS);
        JsonObject json = run(stats(false, List.of())).json();
        assertEquals(2, json.get("served").getAsInt());
        assertEquals(1, json.get("refused").getAsInt());
        assertEquals(1, json.get("failed").getAsInt());
        assertEquals(0, json.get("rules_broken").getAsInt());
        assertEquals(0.5, json.getAsJsonObject("service_parts").get("whole").getAsDouble(), 1e-12);
        assertTrue(json.get("service").getAsDouble() > 0.4);
        JsonObject latency = json.getAsJsonObject("latency_ms");
        for (String name : List.of("p50", "p99", "p999")) {
            assertEquals(110, latency.get(name).getAsDouble(), 0.11);
        }
        assertEquals(500, json.get("cpu_us_per_job").getAsDouble(), 1e-9);
        assertEquals(61.5, json.get("rss_mb").getAsDouble(), 1e-9);
        assertEquals(2, json.get("emulator_late_ms").getAsDouble(), 0.02);
        assertTrue(json.get("counts").getAsBoolean());
        assertEquals(0.75, json.get("attempts_per_job").getAsDouble(), 1e-12);
        JsonObject box = json.getAsJsonArray("by_box").get(0).getAsJsonObject();
        assertEquals(2, box.get("served").getAsInt());
        assertEquals(0.2 / 0.31, box.get("busy_share").getAsDouble(), 1e-9);
        assertEquals(4, json.getAsJsonObject("by_class").getAsJsonObject("free").get("asked").getAsInt());
        assertTrue(json.get("note").isJsonNull());
    }

    @Test
    void jobsCountByTheirLastTryAndTriesForThemselves() {
        Job job = tale.ask("x", FREE, 0);
        tale.told("x", 10, 503, "").again("y", job, 1, 20);
        tale.runs("y", 0, 25).told("y", 130, 200, result("y", 0));
        tale.ask("left", FREE, 0);
        tale.books.left("left", 500 * MS);
        tale.ask("open", FREE, 0);
        RunResult run = run();
        assertEquals(List.of(3L, 1L, 0L, 1L, 1L, 1L), List.of(run.asked(), run.served(), run.refused(),
                run.failed(), run.left(), run.unanswered()));
        assertEquals(new RunResult.Outcomes(4, 1, 1, 1, 1, 1), run.tries());
        assertEquals(130, run.latencyMs().p50(), 0.13, "from the first try on");
    }

    @Test
    void aRunInWhichTheEmulatorWasLateDoesNotCount() {
        tale.served("a", FREE, 0);
        for (int i = 0; i < 998; i++) {
            tale.books.late(0, 0);
        }
        tale.books.late(0, 9 * MS);
        tale.books.late(0, 200 * MS);
        assertTrue(run().counts(), "one step late by 200 ms");
        tale.books.late(0, 300 * MS);
        assertFalse(run().counts());
        assertTrue(text(run()).contains("DOES NOT COUNT"));
    }

    @Test
    void aBreachIsNoProofWhenTheEmulatorWasLateByMoreThanTheSlack() {
        tale.arrives("stranger", 0, 0);
        tale.books.late(0, 40 * MS);
        for (int i = 0; i < 2_000; i++) {
            tale.books.late(0, 0);
        }
        assertTrue(run().counts());
        tale.books.late(0, 60 * MS);
        assertFalse(run().counts());
    }

    @Test
    void theSummaryOfADeadDispatcherShowsItsLastWordsAndThatNothingWasServed() {
        tale.dispatcher(0, DispatcherState.STARTED).tenant("one", 1).tenant("two", 1);
        for (int i = 0; i < 30; i++) {
            tale.ask("x" + i, FREE, i);
            tale.arrives("stranger" + i, 0, i).books.broke("x" + i, 50 * MS, true);
        }
        tale.dispatcher(60, DispatcherState.DIED);
        tale.books.late(0, 900 * MS);
        List<String> log = List.of("one", "two", "three", "OutOfMemoryError", "five", "six",
                "\u001b[31mseven");
        RunResult run = RunResult.of(tale.scenario(), tale.books, List.of(stats(true, log)), true, "a note");
        String text = text(run);
        for (String said : List.of("DISPATCHER 0 DIED by itself, exit code 137", "OutOfMemoryError",
                "NOTHING WAS SERVED", "RULES BROKEN 31 times (stranger 30, alive 1)", "and 27 more",
                "INTERRUPTED",
                "DOES NOT COUNT", "a note")) {
            assertTrue(text.contains(said), () -> "'" + said + "' in\n" + text);
        }
        assertFalse(text.contains("\u001b"), "what a log says can't paint the terminal");
        assertFalse(text.contains("| two"));
        assertTrue(run.json().get("latency_ms").getAsJsonObject().get("p50").isJsonNull());
    }

    @Test
    void aRunWithoutAnyJobStillHasAResult() {
        assertTrue(text(run()).contains("Nobody asked for anything"));
        assertEquals(0, run().service());
        assertTrue(run().json().get("cpu_us_per_job").isJsonNull());
    }
}
