package pipitladder;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static pipitladder.Rig.MS;
import static pipitladder.Rig.S;
import static pipitladder.Rig.worker;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pipitladder.Dispatcher.Effect;
import pipitladder.Dispatcher.KeyScope;
import pipitladder.Dispatcher.Outcome;

/** Ties of the payoff: a fast worker with a queue, and a slow one with free slots. */
class TieBreakTest {

    private static final long ROUND = 11 * MS;
    private static final long HINT = 200 * MS;
    private Rig rig;

    /** The fast worker has a queue, the slow one a job and free slots; a third has the longest queue. */
    @BeforeEach
    void queueAtTheFastWorker() {
        rig = new Rig(Rig.settings(Effect.UNSAFE, KeyScope.ALL));
        rig.list(worker("quick"));
        for (int id = 1; id <= 40; id++) {
            serve(id, 100 * MS);
        }
        rig.list(worker("slow"));
        for (int id = 41; id <= 80; id++) {
            serve(id, 400 * MS);
        }
        rig.list(worker("full"));
        give(81, 92);
        rig.list(worker("quick"));
        give(93, 97);
        rig.list(worker("slow"));
        give(98, 98);
        rig.list(worker("quick"), worker("slow"), worker("full"));
    }

    private void give(long first, long last) {
        for (long id = first; id <= last; id++) {
            rig.request(id, HINT);
        }
        rig.advance(ROUND);
        for (long id = first; id <= Math.min(last, first + 3); id++) {
            rig.start(id, 0);
        }
    }

    private void serve(long id, long run) {
        rig.request(id, HINT);
        rig.advance(ROUND);
        rig.start(id, 0);
        rig.advance(run);
        rig.end(id, 0, Outcome.SUCCESS);
    }

    /** The client waits for 10 s in all; the answer is in time 0.8 s after the start of that time. */
    private String place(long id, long left) {
        rig.handle(new Dispatcher.Request(id, 0, 0, 1, 0, HINT, left));
        rig.advance(ROUND);
        return rig.lastWorker(id);
    }

    /** It would end sooner at the fast worker, but delay jobs that only that one can end in time. */
    @Test
    void aJobThatTheSlowWorkerEndsInTimeIsSentThere() {
        assertEquals("slow", place(100, 10 * S));
    }

    @Test
    void aJobThatTheSlowWorkerWouldEndLateIsQueuedAtTheFastOne() {
        assertEquals("quick", place(100, 10 * S - 600 * MS));
    }
}
