package pipitladder;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static pipitladder.Stage.MS;
import static pipitladder.Stage.S;
import static pipitladder.Stage.worker;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pipitladder.Dispatcher.Effect;
import pipitladder.Dispatcher.KeyScope;
import pipitladder.Dispatcher.Outcome;

/** Where the payoff ties: a quick worker with a queue, and a slow one with room. */
class TieTest {

    private static final long ROUND = 11 * MS;
    private static final long HINT = 200 * MS;
    private Stage stage;

    /** The quick worker has a queue, the slow one a job and room; a third has the most to do. */
    @BeforeEach
    void aQueueAtTheQuickWorker() {
        stage = new Stage(Stage.settings(Effect.UNSAFE, KeyScope.ALL));
        stage.list(worker("quick"));
        for (int id = 1; id <= 40; id++) {
            serve(id, 100 * MS);
        }
        stage.list(worker("slow"));
        for (int id = 41; id <= 80; id++) {
            serve(id, 400 * MS);
        }
        stage.list(worker("full"));
        give(81, 92);
        stage.list(worker("quick"));
        give(93, 97);
        stage.list(worker("slow"));
        give(98, 98);
        stage.list(worker("quick"), worker("slow"), worker("full"));
    }

    private void give(long first, long last) {
        for (long id = first; id <= last; id++) {
            stage.request(id, HINT);
        }
        stage.pass(ROUND);
        for (long id = first; id <= Math.min(last, first + 3); id++) {
            stage.start(id, 0);
        }
    }

    private void serve(long id, long run) {
        stage.request(id, HINT);
        stage.pass(ROUND);
        stage.start(id, 0);
        stage.pass(run);
        stage.end(id, 0, Outcome.SUCCESS);
    }

    /** Its client waits for 10 s in all; it is in time 0.8 s after the first of these began. */
    private String place(long id, long left) {
        stage.tell(new Dispatcher.Request(id, 0, 0, 1, 0, HINT, left));
        stage.pass(ROUND);
        return stage.lastWorker(id);
    }

    /** At the quick one it would end sooner, in the way of jobs that only that one can end in time. */
    @Test
    void aJobThatTheSlowWorkerEndsInTimeLeavesTheQueueAlone() {
        assertEquals("slow", place(100, 10 * S));
    }

    @Test
    void aJobThatTheSlowWorkerWouldEndLateStandsInTheQueue() {
        assertEquals("quick", place(100, 10 * S - 600 * MS));
    }
}
