package ryemast.lab.health;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import ryemast.lab.books.Books.BoxState;
import ryemast.lab.books.Books.DispatcherState;
import ryemast.lab.books.Job;
import ryemast.lab.books.MemoryBooks;
import ryemast.lab.books.Try;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.scenario.Scenario.Fault;
import ryemast.lab.scenario.Scenario.FaultKind;
import ryemast.lab.scenario.ScenarioBuilder;

/** A run written by hand: two boxes, ten seconds, box 0 resets half of its requests from second 4 to 6. */
class FiguresTest {

    private static final long SECOND = Traffic.SECOND;
    private static final long MS = 1_000;
    private static final long BEGAN = 100 * SECOND;

    private final MemoryBooks books = new MemoryBooks();
    private int jobs;

    private static Scenario scenario(Fault... faults) {
        var free = ScenarioBuilder.jobs("free", 10 * MS, 500 * MS, SECOND);
        var once = new Scenario.JobClass("once", 1, 10 * MS, Scenario.Spread.FIXED, 0, 500 * MS, 0, SECOND, 1,
                0,
                Scenario.Effect.SINGLE_SHOT, 1);
        return ScenarioBuilder.uniform(2, 1, 1, 9).classes(List.of(free, once)).length(10 * SECOND)
                .faults(List.of(faults)).build();
    }

    private static Fault fault(FaultKind kind, List<Integer> boxes) {
        return new Fault(kind, 4 * SECOND, 2 * SECOND, boxes, -1, 0.5, 0, 0, 0);
    }

    private void job(long at, int jobClass, boolean poisoned, int status) {
        var job = new Job(jobs, jobClass, -1, 10 * MS, 1, 0, BEGAN + at, BEGAN + at + SECOND, poisoned);
        var sent = new Try("t" + jobs++, job, 0, BEGAN + at + SECOND);
        books.tries().add(sent);
        books.asked(sent, 0, BEGAN + at);
        books.told(sent.txn(), BEGAN + at + 10 * MS, status, 0, "x");
    }

    private Figures figures(Scenario scenario, Notes notes) {
        books.dispatcher(0, BEGAN - SECOND, DispatcherState.STARTED);
        books.dispatcher(0, BEGAN, DispatcherState.READY);
        books.box(0, BEGAN - SECOND, BoxState.READY, 1);
        return Figures.of(scenario, books.read(), notes);
    }

    @Test
    void lostIsWhatEndsUnservedOnceTheFaultIsThereAndWasNotPoisoned() {
        job(1 * SECOND, 0, false, 503);
        job(5 * SECOND, 0, false, 200);
        job(5 * SECOND, 0, false, 503);
        job(5 * SECOND, 1, false, 502);
        job(5 * SECOND, 0, true, 502);
        job(9 * SECOND, 0, false, 200);
        var scenario = scenario(fault(FaultKind.RESETS, List.of(0)));
        var notes = new Notes(scenario);
        notes.sent().addAll(List.of(new Notes.Sent(BEGAN + SECOND, 0, 0), new Notes.Sent(BEGAN + 5 * SECOND,
                0, 0),
                new Notes.Sent(BEGAN + 5 * SECOND, 0, 1), new Notes.Sent(BEGAN + 9 * SECOND, 0, 1)));
        var figures = figures(scenario, notes);
        assertEquals(2, figures.lost());
        assertEquals(1, figures.lostRepeatable());
        assertEquals(1.5, figures.sendsPerServed());
    }

    @Test
    void whatIsBelievedIsSetAgainstWhatIsTrueThen() {
        var scenario = scenario(fault(FaultKind.RESETS, List.of(0)));
        var notes = new Notes(scenario);
        job(5 * SECOND, 0, false, 200);
        for (long at : new long[] {1, 5, 7}) {
            notes.glances().add(new Notes.Glance(BEGAN + at * SECOND, 0, Map.of()));
        }
        assertEquals(Map.of("resets 50%", Map.of("well", 1), "well, after a fault", Map.of("well", 1), "well",
                Map.of("well", 2)), figures(scenario, notes).beliefs());
    }

    @Test
    void aFaultOfAllBoxesIsNoBoxsOwn() {
        var scenario = scenario(fault(FaultKind.RESETS, List.of(0, 1)));
        var notes = new Notes(scenario);
        job(5 * SECOND, 0, false, 200);
        notes.glances().add(new Notes.Glance(BEGAN + 5 * SECOND, 0, Map.of()));
        var figures = figures(scenario, notes);
        assertEquals(Figures.NOBODY, figures.leftAfter());
        assertEquals(Map.of("well, while resets 50%", Map.of("well", 2)), figures.beliefs());
    }

    @Test
    void aPathThatIsCutIsOneDispatchersTrouble() {
        var cut = new Fault(FaultKind.CUT_OFF, 4 * SECOND, 2 * SECOND, List.of(0), -1, 0, 0, 0, 0, 1);
        var scenario = scenario(cut);
        job(5 * SECOND, 0, false, 200);
        figures(scenario, new Notes(scenario));
        assertEquals("cut-off", new Truth(scenario, books.read(), 1).of(0, BEGAN + 5 * SECOND));
        assertEquals("well", new Truth(scenario, books.read(), 0).of(0, BEGAN + 5 * SECOND));
    }
}
