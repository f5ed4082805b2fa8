package pipitladder;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Compiles and runs the README's example, and checks that the README contains it verbatim. */
class EmbedExampleTest {

    // example begins
    static List<Dispatcher.Action> firstRound() {
        var plan = new Dispatcher.JobClass(Dispatcher.Effect.KEYED, Dispatcher.KeyScope.CELL, -1,
                400_000, 2.0, 10_000_000, 1.0, 0.0, 15_000_000);
        var settings = new Dispatcher.Settings(0, 1, 0, 1_000, true, false, true, 0, List.of(plan), List.of(),
                List.of(), new Dispatcher.Limits(4, false, true, false, false, false, 0, 250_000),
                new Dispatcher.Rules(10_000_000, 9_000_000, 0.3, 4, 1_500_000),
                new Dispatcher.Prices(0, 0, 0, 0));
        Dispatcher dispatcher = new Brain(settings, 42);
        var todo = new ArrayList<Dispatcher.Action>();
        var worker = new Dispatcher.WorkerInfo("10.0.0.1:80", Dispatcher.WorkerState.READY, 0, 0, 0, 1, 0);

        dispatcher.handle(1_000_000, new Dispatcher.WorkerList(Dispatcher.ListKind.COMPLETE, List.of(worker)),
                todo::add);
        dispatcher.handle(1_000_500, new Dispatcher.Request(7, 0, 0, 1, 0, 300_000, 10_000_000), todo::add);
        var timer = (Dispatcher.SetTimer) todo.remove(0);   // the round's tick: call back when it is due
        dispatcher.handle(timer.dueAt(), new Dispatcher.TimerDue(timer.name()), todo::add);
        return todo;                                        // Send[request=7, worker=10.0.0.1:80, ...]
    }
    // example ends

    @Test
    void theExampleSendsItsRequest() {
        assertEquals(new Dispatcher.Send(7, "10.0.0.1:80", 0), firstRound().get(0));
    }

    @Test
    void theReadmeShowsThisVeryExample() throws Exception {
        var source = Files.readString(Path.of("decisions/src/test/java/pipitladder/EmbedExampleTest.java"));
        int begin = source.indexOf("// example begins\n") + "// example begins\n".length();
        var example = source.substring(begin, source.indexOf("    // example ends"));
        var shown = example.stripTrailing().stripIndent().strip();
        assertTrue(Files.readString(Path.of("README.md")).contains(shown));
    }
}
