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

/** How the decision module uses evidence from peers. */
class PeerEvidenceTest {

    private static final long S = Rig.S;

    /** A random fleet with failures and silent workers; signals are computed, and all peers are silent. */
    private static List<String> play(long seed, boolean signals, Map<String, Borrowed> evidence) {
        var random = new Random(seed);
        var brain = new Brain(Rig.settings(List.of(Rig.jobClass(Effect.REPEATABLE, KeyScope.ALL)),
                List.of(), true, true, 3), seed);
        var own = new LoadGossip("self", 1, 2);
        var log = new ArrayList<String>();
        var timers = new ArrayList<SetTimer>();
        var sends = new ArrayList<Send>();
        long now = 100 * S;
        var workers = new ArrayList<WorkerInfo>();
        for (int i = 0; i < 6; i++) {
            workers.add(Rig.worker("w" + i, 0, 0, i == 5 ? now - S : 0));
        }
        var actions = new ArrayList<Action>();
        brain.handle(now, new WorkerList(ListKind.COMPLETE, workers), actions::add);
        for (int step = 0; step < 1500; step++) {
            now += 1 + random.nextInt(20_000);
            long at = now;
            if (signals && step % 10 == 0) {
                assertEquals(1, own.digests(now, brain.ownEvidence(now)).get(0).size());
                var borrowed = evidence == null ? own.peerEstimates(now) : evidence;
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
        assertNotEquals(play(1, false, null), play(1, true, full), "otherwise the comparison is void");
    }

    private static Rig rig() {
        var rig = new Rig(Rig.settings(List.of(Rig.jobClass(Effect.REPEATABLE, KeyScope.ALL)),
                List.of(), true, false, 3));
        rig.list(Rig.worker("a"), Rig.worker("b"));
        return rig;
    }

    private static long sent(Rig rig, String worker, int jobs) {
        for (int i = 0; i < jobs; i++) {
            rig.place(i);
            rig.serve(i);
        }
        return rig.actionsOfType(Send.class).stream().filter(send -> send.worker().equals(worker)).count();
    }

    /** How many of 60 consecutive jobs go to {@code a} while peers report the same about it all the time. */
    private static long sentWithPeerEvidence(Borrowed of) {
        var rig = rig();
        long count = 0;
        for (int i = 0; i < 60; i++) {
            rig.handle(new PeersTold(of == null ? Map.of() : Map.of("a",
                    new Borrowed(rig.now, of.jobs(), of.work(), of.logSpeed(), of.samples(),
                    of.suspicion()))));
            count += "a".equals(rig.place(i)) ? 1 : 0;
            rig.serve(i);
        }
        return count;
    }

    @Test
    void peersJobsDivertOwnJobs() {
        long usual = sentWithPeerEvidence(null);
        assertTrue(usual >= 15, usual + " of 60");
        assertTrue(sentWithPeerEvidence(new Borrowed(0, 30, 30, 0, 0, 0)) < usual / 3);
    }

    /**
     * False reports by peers reduce a worker's traffic, and never to zero: own evidence contradicts and
     * outranks them.
     */
    @Test
    void peersEvidenceEjectsNoWorker() {
        var rig = rig();
        sent(rig, "a", 40);
        rig.handle(new PeersTold(Map.of("a", new Borrowed(rig.now, 0, 0, 0, 0, 1),
                "b", new Borrowed(rig.now, 0, 0, 0, 0, 1))));
        assertTrue(sentWithPeerEvidence(new Borrowed(0, 0, 0, 0, 0, 1)) >= 5);
    }

    /** Peers' jobs influence where a job is sent, never whether: no job is refused because of them. */
    @Test
    void peersJobsCauseNoRefusal() {
        var rig = rig();
        rig.handle(new PeersTold(Map.of("a", new Borrowed(rig.now, 900, 900, -1, 12, 1),
                "b", new Borrowed(rig.now, 900, 900, -1, 12, 1))));
        assertTrue(rig.place(1) != null);
    }

    /** The slow-start budget is based on own evidence: whatever peers report, it never allows more. */
    @Test
    void peersEvidenceNeverRaisesTheSlowStartBudget() {
        var most = new Borrowed(0, 0, 0, Math.log(3), 12, 0);
        long[] work = new long[2];
        for (int reported = 0; reported < 2; reported++) {
            var rig = new Rig(Rig.settings(Effect.REPEATABLE, KeyScope.ALL));
            rig.list(Rig.worker("cold", 0, 0, rig.now - S / 2));
            for (int i = 0; i < 200; i++) {
                if (reported == 1) {
                    rig.handle(new PeersTold(Map.of("cold", new Borrowed(rig.now, 0, 0, most.logSpeed(),
                            most.samples(), 0))));
                }
                rig.request(i);
                rig.advance(30 * Rig.MS);
                if (rig.lastWorker(i) != null) {
                    rig.start(i, 0);
                    rig.end(i, 0, Outcome.SUCCESS);
                }
            }
            work[reported] = rig.actionsOfType(Send.class).size();
        }
        assertTrue(work[0] > 0);
        assertEquals(work[0], work[1]);
    }
}
