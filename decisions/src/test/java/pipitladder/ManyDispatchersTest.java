package pipitladder;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pipitladder.Rig.MS;
import static pipitladder.Rig.S;
import static pipitladder.Rig.worker;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import pipitladder.Dispatcher.Cancel;
import pipitladder.Dispatcher.Effect;
import pipitladder.Dispatcher.KeyScope;
import pipitladder.Dispatcher.Outcome;
import pipitladder.Dispatcher.Refuse;
import pipitladder.Dispatcher.WorkerInfo;
import pipitladder.Dispatcher.WorkerState;

/** One of a hundred dispatchers: it has a hundredth of the traffic and no information about the rest. */
class ManyDispatchersTest {

    private static final int DISPATCHERS = 100;
    private static final WorkerInfo[] FLEET = new WorkerInfo[60];

    static {
        for (int i = 0; i < FLEET.length; i++) {
            FLEET[i] = worker("w" + i);
        }
    }

    private static Rig rig(Effect effect, int dispatchers, long seed, WorkerInfo... workers) {
        var rig = new Rig(Rig.settings(List.of(Rig.jobClass(effect, KeyScope.ALL)), List.of(), true,
                true, dispatchers), seed);
        rig.list(workers);
        return rig;
    }

    /** Places a job, which starts and ends as soon as possible; returns its worker. */
    private static String serve(Rig rig, long id) {
        rig.request(id);
        rig.advance(11 * MS);
        rig.start(id, 0);
        rig.advance(200 * MS);
        rig.end(id, 0, Outcome.SUCCESS);
        return rig.lastWorker(id);
    }

    private static Rig warmedUp(Effect effect, int dispatchers) {
        var rig = rig(effect, dispatchers, 1, worker("a"), worker("b"), worker("c"));
        for (int id = 1; id <= 30; id++) {
            serve(rig, id);
        }
        return rig;
    }

    /**
     * Guards against dispatchers that prefer a few workers each, by which some workers serve twice as many
     * dispatchers as others.
     */
    @Test
    void oneDispatcherSpreadsItsJobsOverTheWholeFleet() {
        var rig = rig(Effect.REPEATABLE, DISPATCHERS, 1, FLEET);
        var used = new HashSet<String>();
        for (int id = 1; id <= 240; id++) {
            used.add(serve(rig, id));
        }
        assertTrue(used.size() > 50, used.size() + " of 60 workers");
    }

    /** One dispatcher has ten times the traffic of each other one, as behind a real front end. */
    @Test
    void aBusyDispatcherOverloadsNoWorker() {
        var sent = new HashMap<String, Integer>();
        int all = 0;
        for (int self = 0; self < 20; self++) {
            var rig = rig(Effect.REPEATABLE, DISPATCHERS, self, FLEET);
            for (int id = 1; id <= (self == 0 ? 300 : 30); id++) {
                sent.merge(serve(rig, id), 1, Integer::sum);
                all++;
            }
        }
        int most = sent.values().stream().mapToInt(each -> each).max().orElseThrow();
        assertTrue(most < 2.5 * all / FLEET.length, most + " of " + all + " jobs at one of 60 workers");
    }

    /** Either attempt may start first: the first queue can be the shorter one. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void aJobBehindOthersWorkIsQueuedAtASecondWorkerUntilItStarts(int first) {
        var rig = warmedUp(Effect.REPEATABLE, DISPATCHERS);
        rig.request(100);
        rig.advance(40 * MS);
        var sends = rig.sends(100);
        assertEquals(2, sends.size());
        assertNotEquals(sends.get(0).worker(), sends.get(1).worker());
        assertEquals(List.of(), rig.actionsOfType(Cancel.class));
        rig.start(100, first);
        assertEquals(List.of(new Cancel(100, 1 - first)), rig.actionsOfType(Cancel.class));
        rig.end(100, 1 - first, Outcome.CANCELLED);
        rig.advance(100 * MS);
        assertEquals(2, rig.sends(100).size());
    }

    /** A cancellation may arrive late, and a worker that still has the job can't accept it again. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void aJobIsNotSentAgainToAWorkerThatMayStillHaveIt(int first) {
        var rig = warmedUp(Effect.REPEATABLE, DISPATCHERS);
        rig.request(100);
        rig.advance(40 * MS);
        var left = rig.sends(100).get(1 - first).worker();
        rig.start(100, first);
        rig.end(100, 1 - first, Outcome.CANCELLED);
        for (var worker : List.of("a", "b", "c")) {
            if (!worker.equals(left)) {
                rig.change(Rig.withState(WorkerState.DRAINING, worker(worker)));
            }
        }
        rig.end(100, first, Outcome.RESET);
        rig.advance(100 * MS);
        assertEquals(2, rig.sends(100).size());
        rig.change(worker("d"));
        rig.advance(100 * MS);
        assertEquals("d", rig.lastWorker(100));
    }

    /** The wait is explained by own jobs ahead: a second queue is not known to be shorter. */
    @Test
    void aSingleDispatcherSendsNoCopyOfAQueuedJob() {
        var rig = warmedUp(Effect.REPEATABLE, 1);
        rig.request(100);
        rig.advance(40 * MS);
        assertEquals(1, rig.sends(100).size());
    }

    @Test
    void anUnsafeJobIsQueuedOnce() {
        var rig = warmedUp(Effect.UNSAFE, DISPATCHERS);
        rig.request(100);
        rig.advance(5 * S);
        assertEquals(1, rig.sends(100).size());
        assertEquals(List.of(), rig.actionsOfType(Cancel.class));
    }

    /**
     * Guards against treating a worker without recent observations as idle although jobs usually wait at
     * workers like it.
     */
    @Test
    void aWorkerInSlowStartIsUsedWhereWarmOnesHaveWaits() {
        int cold = 0;
        for (int seed = 0; seed < 60; seed++) {
            var rig = rig(Effect.UNSAFE, 4, seed, worker("a"), worker("b"), worker("c"));
            for (int id = 1; id <= 10; id++) {
                rig.request(id);
                rig.advance(id < 4 ? 11 * MS : 500 * MS);
                rig.start(id, 0);
                rig.advance(200 * MS);
                rig.end(id, 0, Outcome.SUCCESS);
            }
            rig.advance(20 * S);
            rig.change(worker("cold", 0, 0, rig.now - 5 * S));
            cold += "cold".equals(rig.place(100)) ? 1 : 0;
        }
        assertTrue(cold > 20, cold + " of 60 jobs at the cold worker");
    }

    /**
     * Guards against warm workers being full of jobs past their latency objective, which delayed others by
     * five seconds.
     */
    @ParameterizedTest
    @EnumSource(Effect.class)
    void aQueuedJobPastItsObjectiveIsCancelledUnlessUnsafe(Effect effect) {
        var rig = warmedUp(effect, DISPATCHERS);
        rig.request(100);
        rig.request(101);
        rig.advance(11 * MS);
        rig.start(101, 0);
        // Until then, a job with a hundredth of four hints' run time more would still be in time.
        rig.advance(400 * MS + 2 * 200 * MS + 4 * 2 * 200 * MS / DISPATCHERS - 40 * MS);
        int before = rig.actionsOfType(Cancel.class).size();
        rig.advance(100 * MS);
        var taken = rig.actionsOfType(Cancel.class).subList(before, rig.actionsOfType(Cancel.class).size());
        assertEquals(effect != Effect.UNSAFE, taken.stream().anyMatch(each -> each.request() == 100));
        assertTrue(taken.stream().noneMatch(each -> each.request() == 101), "it runs");
    }

    /**
     * Guards against losing jobs that run longer than their hint, by cancelling them at the objective that
     * the hint implies, where there are few dispatchers.
     */
    @ParameterizedTest
    @ValueSource(ints = {2, 3, 6, 14, 100})
    void aQueuedJobIsKeptLongerWithFewerDispatchers(int dispatchers) {
        var rig = warmedUp(Effect.REPEATABLE, dispatchers);
        rig.request(100);
        long aim = rig.now + 400 * MS + 2 * 200 * MS;
        long more = 4 * 2 * 200 * MS / dispatchers;
        rig.advance(aim + more - 40 * MS - rig.now);
        assertEquals(0, cancelled(rig));
        for (int attempt = 0; attempt < rig.sends(100).size(); attempt++) {
            rig.advance(60 * MS);
            rig.end(100, attempt, Outcome.CANCELLED);
        }
        assertTrue(cancelled(rig) > 0);
        assertTrue(rig.actionsOfType(Refuse.class).stream().anyMatch(each -> each.request() == 100));
    }

    private static long cancelled(Rig rig) {
        return rig.actionsOfType(Cancel.class).stream().filter(each -> each.request() == 100).count();
    }
}
