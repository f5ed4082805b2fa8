package pipitladder;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import pipitladder.Dispatcher.Action;
import pipitladder.Dispatcher.AttemptEnded;
import pipitladder.Dispatcher.AttemptStarted;
import pipitladder.Dispatcher.Effect;
import pipitladder.Dispatcher.KeyScope;
import pipitladder.Dispatcher.ListKind;
import pipitladder.Dispatcher.Outcome;
import pipitladder.Dispatcher.PeersTold;
import pipitladder.Dispatcher.Request;
import pipitladder.Dispatcher.Send;
import pipitladder.Dispatcher.SetTimer;
import pipitladder.Dispatcher.TimerDue;
import pipitladder.Dispatcher.WorkerInfo;
import pipitladder.Dispatcher.WorkerList;
import ryemast.fleet.signals.Borrowed;
import ryemast.fleet.signals.LoadGossip;

/** What the policy makes of signals from peers. */
class PeersToldTest {

    private static final long S = Stage.S;

    /** A site by chance, with failures and silence; signals are made, and all peers are silent. */
    private static List<String> play(long seed, boolean signals, Map<String, Borrowed> told) {
        var random = new Random(seed);
        var brain = new Brain(Stage.settings(List.of(Stage.jobClass(Effect.REPEATABLE, KeyScope.ALL)),
                List.of(), true, true, 3), seed);
        var own = new LoadGossip("self", 1, 2);
        var log = new ArrayList<String>();
        var timers = new ArrayList<SetTimer>();
        var sends = new ArrayList<Send>();
        long now = 100 * S;
        var workers = new ArrayList<WorkerInfo>();
        for (int i = 0; i < 6; i++) {
            workers.add(Stage.worker("w" + i, 0, 0, i == 5 ? now - S : 0));
        }
        var actions = new ArrayList<Action>();
        brain.handle(now, new WorkerList(ListKind.COMPLETE, workers), actions::add);
        for (int step = 0; step < 1500; step++) {
            now += 1 + random.nextInt(20_000);
            long at = now;
            if (signals && step % 10 == 0) {
                assertEquals(1, own.digests(now, brain.beliefs(now)).get(0).size());
                var borrowed = told == null ? own.peerEstimates(now) : told;
                brain.handle(now, new PeersTold(borrowed), actions::add);
            }
            for (var timer : timers.stream().filter(each -> each.dueAt() <= at).toList()) {
                timers.remove(timer);
                brain.handle(now, new TimerDue(timer.name()), actions::add);
            }
            if (random.nextInt(3) == 0) {
                brain.handle(now, new Request(step, 0, 0, 1, 0, 50_000 + random.nextInt(400_000), 10 * S),
                        actions::add);
            }
            if (!sends.isEmpty() && random.nextInt(2) == 0) {
                var send = sends.remove(random.nextInt(sends.size()));
                int attempt = (int) log.stream().filter(line -> line.contains("Send[request="
                        + send.request() + ",")).count() - 1;
                if (attempt == 0 && random.nextInt(8) > 0) {
                    brain.handle(now, new AttemptStarted(send.request(), 0, send.worker()), actions::add);
                    brain.handle(now, new AttemptEnded(send.request(), 0, send.worker(), random.nextInt(9)
                            == 0 ? Outcome.ERROR : Outcome.SUCCESS, true, null), actions::add);
                }
            }
            for (var action : actions) {
                log.add(now + " " + action);
                if (action instanceof SetTimer timer) {
                    timers.add(timer);
                } else if (action instanceof Send send) {
                    sends.add(send);
                }
            }
            actions.clear();
        }
        return log;
    }

    @Test
    void withAllPeersSilentEveryActionIsTheSame() {
        for (long seed = 1; seed <= 20; seed++) {
            assertEquals(play(seed, false, null), play(seed, true, null));
        }
        var full = Map.of("w1", new Borrowed(100 * S, 9, 9, 0, 9, 0.9));
        assertNotEquals(play(1, false, null), play(1, true, full), "or the test compares nothing");
    }

    private static Stage stage() {
        var stage = new Stage(Stage.settings(List.of(Stage.jobClass(Effect.REPEATABLE, KeyScope.ALL)),
                List.of(), true, false, 3));
        stage.list(Stage.worker("a"), Stage.worker("b"));
        return stage;
    }

    private static long sent(Stage stage, String worker, int jobs) {
        for (int i = 0; i < jobs; i++) {
            stage.place(i);
            stage.serve(i);
        }
        return stage.all(Send.class).stream().filter(send -> send.worker().equals(worker)).count();
    }

    /** Each of 60 jobs, one after the other, where peers tell the same of {@code a} all the time. */
    private static long sentWhileTold(Borrowed of) {
        var stage = stage();
        long count = 0;
        for (int i = 0; i < 60; i++) {
            stage.tell(new PeersTold(of == null ? Map.of() : Map.of("a",
                    new Borrowed(stage.now, of.jobs(), of.work(), of.logSpeed(), of.samples(),
                    of.suspicion()))));
            count += "a".equals(stage.place(i)) ? 1 : 0;
            stage.serve(i);
        }
        return count;
    }

    @Test
    void jobsThatPeersHoldTurnOursElsewhere() {
        long usual = sentWhileTold(null);
        assertTrue(usual >= 15, usual + " of 60");
        assertTrue(sentWhileTold(new Borrowed(0, 30, 30, 0, 0, 0)) < usual / 3);
    }

    /** A lie takes traffic from a worker, and never all: own evidence says otherwise, and outranks it. */
    @Test
    void borrowedSuspicionSetsNobodyAside() {
        var stage = stage();
        sent(stage, "a", 40);
        stage.tell(new PeersTold(Map.of("a", new Borrowed(stage.now, 0, 0, 0, 0, 1),
                "b", new Borrowed(stage.now, 0, 0, 0, 0, 1))));
        assertTrue(sentWhileTold(new Borrowed(0, 0, 0, 0, 0, 1)) >= 5);
    }

    /** Held jobs say where a job goes, never whether: nobody is refused for them. */
    @Test
    void nobodyIsRefusedForWhatPeersTell() {
        var stage = stage();
        stage.tell(new PeersTold(Map.of("a", new Borrowed(stage.now, 900, 900, -1, 12, 1),
                "b", new Borrowed(stage.now, 900, 900, -1, 12, 1))));
        assertTrue(stage.place(1) != null);
    }

    /** The cold rule rests on own evidence: whatever is told, no more goes to a cold worker. */
    @Test
    void nothingBorrowedRaisesWhatTheColdRuleAllows() {
        var most = new Borrowed(0, 0, 0, Math.log(3), 12, 0);
        long[] work = new long[2];
        for (int told = 0; told < 2; told++) {
            var stage = new Stage(Stage.settings(Effect.REPEATABLE, KeyScope.ALL));
            stage.list(Stage.worker("cold", 0, 0, stage.now - S / 2));
            for (int i = 0; i < 200; i++) {
                if (told == 1) {
                    stage.tell(new PeersTold(Map.of("cold", new Borrowed(stage.now, 0, 0, most.logSpeed(),
                            most.samples(), 0))));
                }
                stage.request(i);
                stage.pass(30 * Stage.MS);
                if (stage.lastWorker(i) != null) {
                    stage.start(i, 0);
                    stage.end(i, 0, Outcome.SUCCESS);
                }
            }
            work[told] = stage.all(Send.class).size();
        }
        assertTrue(work[0] > 0);
        assertEquals(work[0], work[1]);
    }
}
