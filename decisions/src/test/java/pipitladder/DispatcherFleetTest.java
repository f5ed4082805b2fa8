package pipitladder;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pipitladder.Rig.MS;
import static pipitladder.Rig.S;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pipitladder.Dispatcher.AttemptStarted;
import pipitladder.Dispatcher.Effect;
import pipitladder.Dispatcher.KeyScope;
import pipitladder.Dispatcher.Limits;
import pipitladder.Dispatcher.ListKind;
import pipitladder.Dispatcher.Outcome;
import pipitladder.Dispatcher.PeerMessage;
import pipitladder.Dispatcher.Prices;
import pipitladder.Dispatcher.Probe;
import pipitladder.Dispatcher.ProbeEnded;
import pipitladder.Dispatcher.ReportField;
import pipitladder.Dispatcher.Rules;
import pipitladder.Dispatcher.Send;
import pipitladder.Dispatcher.Settings;
import pipitladder.Dispatcher.Subscribe;
import pipitladder.Dispatcher.TellPeers;
import pipitladder.Dispatcher.WorkerInfo;
import pipitladder.Dispatcher.WorkerList;
import pipitladder.Dispatcher.WorkerState;

/** Many dispatchers without shared state, with the same workers. */
class DispatcherFleetTest {

    private static final Rules RULES = new Rules(10 * S, 9 * S, 0.3, 4, 2 * S);
    private static final long STEP = 20 * MS;
    private static final long RUN = 100 * MS;

    private static Settings settings(int self, int dispatchers, boolean pushed, boolean talk,
            boolean report) {
        var fields = report ? List.of(ReportField.IN_FLIGHT, ReportField.FREE_SLOTS) : List.<ReportField>of();
        return new Settings(self, dispatchers, 0, MS, pushed, true, true, S,
                List.of(Rig.jobClass(Effect.REPEATABLE, KeyScope.ALL)), List.of(), fields,
                new Limits(4, true, true, report, talk, false, 0, 250 * MS), RULES,
                new Prices(0, 0, talk ? 0.01 : 0, 0));
    }

    private static WorkerInfo sized(String id, double weight) {
        return new WorkerInfo(id, WorkerState.READY, (int) weight, 0, 0, weight, 0);
    }

    /** A job that waits for some time at a busy worker; the worker in slow start has a single slot. */
    private record StartedJob(Rig rig, long request, String worker, long from) { }

    private record Sent(long at, long work) { }

    /** Guards against a budget that holds for each dispatcher alone: the sends of all of them are counted. */
    @ParameterizedTest
    @ValueSource(ints = {1, 30, 300})
    void aWorkerInSlowStartStaysWithinTheBudgetOfAllDispatchers(int dispatchers) {
        var random = new Random(dispatchers);
        long start = 11 * S;
        var before = List.of(sized("busy", 1));
        var after = List.of(sized("busy", 1), Rig.worker("cold", 0, 0, start));
        var rigs = new Rig[dispatchers];
        var seen = new int[dispatchers];
        for (int i = 0; i < dispatchers; i++) {
            rigs[i] = new Rig(settings(i, dispatchers, true, false, false), i);
            rigs[i].handle(new WorkerList(ListKind.COMPLETE, before));
        }
        var running = new ArrayList<StartedJob>();
        var cold = new ArrayList<Sent>();
        long request = 0;
        long coldFree = 0;
        for (long now = 10 * S; now + STEP < start + RULES.coldFor(); now += STEP) {
            for (int i = 0; i < dispatchers; i++) {
                if (now == start) {
                    rigs[i].handle(new WorkerList(ListKind.CHANGES, after));
                } else if (now > start && random.nextInt(1000) == 0) {
                    var gone = rigs[i];
                    running.removeIf(each -> each.rig() == gone);
                    rigs[i] = new Rig(settings(i, dispatchers, true, false, false), random.nextLong());
                    rigs[i].now = now;
                    seen[i] = 0;
                    rigs[i].handle(new WorkerList(ListKind.CACHED, after));
                }
                if (random.nextInt(20) == 0 || dispatchers == 1) {
                    rigs[i].request(++request, RUN);
                }
            }
            for (var each : List.copyOf(running)) {
                if (each.from() == now) {
                    each.rig().handle(new AttemptStarted(each.request(), 0, each.worker()));
                } else if (each.from() + RUN <= now && running.remove(each)) {
                    each.rig().end(each.request(), 0, Outcome.SUCCESS);
                }
            }
            for (int i = 0; i < dispatchers; i++) {
                rigs[i].advance(STEP);
                for (var actions = rigs[i].actions; seen[i] < actions.size(); seen[i]++) {
                    if (actions.get(seen[i]) instanceof Send send) {
                        boolean fresh = send.worker().equals("cold");
                        if (fresh) {
                            cold.add(new Sent(now, RUN));
                        }
                        if (rigs[i].sends(send.request()).size() == 1) {
                            long from = fresh ? Math.max(now + STEP, coldFree) : now + 15 * STEP;
                            coldFree = fresh ? from + RUN : coldFree;
                            running.add(new StartedJob(rigs[i], send.request(), send.worker(), from));
                        }
                    }
                }
            }
        }
        assertTrue(cold.size() > 10, "the worker in slow start got only " + cold.size() + " jobs");
        for (var last : cold) {
            double warmth = 0.3 + 0.7 * (last.at() - start) / RULES.coldFor();
            double sum = cold.stream().filter(each -> each.at() > last.at() - RULES.coldWindow()
                    && each.at() <= last.at()).mapToDouble(Sent::work).sum();
            double jobs = RULES.coldMultiple() * warmth * RULES.coldWindow() / RUN;
            double budget = RUN * (jobs + 2 * Math.sqrt(jobs) + 2);
            assertTrue(sum <= budget, "got " + sum + " of " + budget);
        }
    }

    @Test
    void listCallsOfManyRestartedDispatchersAreSpread() {
        var perSecond = new HashMap<Long, Integer>();
        var workers = new ArrayList<WorkerInfo>();
        for (int i = 0; i < 100; i++) {
            workers.add(Rig.worker("w" + i));
        }
        for (int self = 0; self < 300; self++) {
            var rig = new Rig(settings(self, 300, false, false, false), self);
            rig.handle(new WorkerList(ListKind.CACHED, workers));
            long asked = 0;
            while (rig.actionsOfType(Subscribe.class).isEmpty()) {
                rig.advance(100 * MS);
                asked += 100 * MS;
                assertTrue(asked <= RULES.askEvery(), "discovery called too late to be notified of drains");
            }
            perSecond.merge(asked / S, 1, Integer::sum);
        }
        perSecond.values().forEach(calls -> assertTrue(calls <= 60, "calls a second: " + perSecond));
    }

    @Test
    void aSingleDispatcherCallsDiscoveryAtOnce() {
        var rig = new Rig(settings(0, 1, false, false, false));
        rig.handle(new WorkerList(ListKind.CACHED, List.of(Rig.worker("a"))));
        rig.advance(MS);
        assertEquals(1, rig.actionsOfType(Subscribe.class).size());
    }

    @Test
    void dispatchersWithTheSameInformationSpreadJobsByCapacity() {
        var list = new ArrayList<WorkerInfo>();
        for (int i = 0; i < 10; i++) {
            list.add(sized("small" + i, 1));
            list.add(sized("large" + i, 2));
        }
        Map<String, Integer> picks = new TreeMap<>();
        for (int self = 0; self < 300; self++) {
            var rig = new Rig(settings(self, 300, true, false, false), self);
            rig.handle(new WorkerList(ListKind.COMPLETE, list));
            picks.merge(rig.place(1), 1, Integer::sum);
        }
        int large = picks.entrySet().stream().filter(each -> each.getKey().startsWith("large"))
                .mapToInt(Map.Entry::getValue).sum();
        assertTrue(large > 150 && large < 285, "large ones got " + large + " of 300: " + picks);
        picks.forEach((worker, count) -> assertTrue(count <= 45, worker + " got too many jobs: " + picks));
    }

    @Test
    void candidatesAreProbedAndTheFreeOneIsTaken() {
        var rig = new Rig(settings(0, 100, true, false, true));
        var list = new ArrayList<WorkerInfo>();
        for (int i = 0; i < 20; i++) {
            list.add(Rig.worker("w" + i));
        }
        rig.handle(new WorkerList(ListKind.COMPLETE, list));
        for (int id = 1; id <= 10; id++) {
            int before = rig.actionsOfType(Probe.class).size();
            rig.request(id);
            var probes = rig.actionsOfType(Probe.class).subList(before, before + 2);
            rig.handle(new ProbeEnded(probes.get(0).worker(), true, new double[] {4, 0}));
            rig.handle(new ProbeEnded(probes.get(1).worker(), true, new double[] {0, 4}));
            rig.advance(10 * MS);
            assertEquals(probes.get(1).worker(), rig.lastWorker(id));
            rig.serve(id);
        }
    }

    @Test
    void aCandidateThatDoesNotAnswerItsProbeIsNotUsed() {
        var rig = new Rig(settings(0, 100, true, false, true));
        rig.list(Rig.worker("a"), Rig.worker("b"), Rig.worker("c"));
        for (int id = 1; id <= 10; id++) {
            int before = rig.actionsOfType(Probe.class).size();
            rig.request(id);
            var answers = rig.actionsOfType(Probe.class).get(before + 1).worker();
            rig.advance(MS);
            rig.handle(new ProbeEnded(answers, true, new double[] {0, 4}));
            rig.advance(10 * MS);
            assertEquals(answers, rig.lastWorker(id));
            rig.serve(id);
            rig.advance(MS);
        }
    }

    @Test
    void jobsReportedByPeersCountAsBacklog() {
        var sender = new Rig(settings(0, 3, true, true, false));
        sender.list(Rig.worker("a"));
        for (int id = 1; id <= 12; id++) {
            sender.request(id, S);
        }
        sender.advance(10 * MS);
        var receiver = new Rig(settings(1, 3, true, true, false));
        receiver.list(Rig.worker("a"), Rig.worker("b"));
        assertTrue(sender.actionsOfType(TellPeers.class).size() >= 5);
        sender.actionsOfType(TellPeers.class)
                .forEach(tell -> receiver.handle(new PeerMessage(0, tell.text())));
        for (int id = 1; id <= 3; id++) {
            receiver.request(id, S);
        }
        receiver.advance(10 * MS);
        receiver.actionsOfType(Send.class).forEach(send -> assertEquals("b", send.worker()));
    }

    @Test
    void messagesOfAnotherVersionAreIgnored() {
        var rig = new Rig(settings(1, 3, true, true, false));
        rig.list(Rig.worker("a"));
        for (var text : List.of("", "hello, all", "-1", "zzzzzzzzzzzz", "zzzzz")) {
            rig.handle(new PeerMessage(0, text));
        }
        assertEquals("a", rig.place(1));
    }

    /**
     * A restarted dispatcher does not know what it sent before in its window, so that it may use the next
     * window first.
     */
    @Test
    void aDispatcherThatStartedWithinItsWindowSkipsIt() {
        for (int self = 0; self < 300; self++) {
            for (long at = 10 * S + 500 * MS; at < 17 * S; at += 2 * S) {
                var rig = new Rig(settings(self, 300, true, false, false), self);
                rig.now = at;
                rig.list(Rig.worker("cold", 0, 0, 10 * S));
                rig.request(1, RUN);
                rig.advance(S);
                assertEquals(List.of(), rig.sends(1), "dispatcher " + self);
            }
        }
    }

    /**
     * Without cancellation a job must not be queued at two workers: a copy costs its work. Guards against
     * incident i09f36c: each of many dispatchers sent copies of jobs that only waited.
     */
    private static Settings withoutCancel(Settings all, long progress) {
        return new Settings(0, all.dispatchers(), 0, MS, true, true, true, progress, all.classes(),
                all.tenants(), all.reportFields(),
                new Limits(4, true, false, false, false, false, 0, 250 * MS), all.rules(), all.prices());
    }

    /**
     * One of three hundred dispatchers can't afford copies that may be useless: the budget is the fleet's.
     */
    @Test
    void manyDispatchersSendFewCopies() {
        long few = copies(14);
        assertTrue(few >= 1 && few <= 2, few + " copies");
        assertEquals(0, copies(300));
    }

    private static long copies(int dispatchers) {
        var rig = new Rig(withoutCancel(settings(0, dispatchers, true, false, false), S));
        var list = new ArrayList<WorkerInfo>();
        for (int i = 0; i < 4; i++) {
            list.add(Rig.worker("w" + i));
        }
        rig.handle(new WorkerList(ListKind.COMPLETE, list));
        for (int id = 1; id <= 24; id++) {
            rig.request(id, 200 * MS);
        }
        rig.advance(10 * MS);
        var silent = rig.lastWorker(1);
        int left = 0;
        for (int id = 1; id <= 24; id++) {
            boolean served = !silent.equals(rig.lastWorker(id)) && rig.lastWorker(id) != null;
            if (served) {
                rig.start(id, 0);
                rig.end(id, 0, Outcome.SUCCESS);
            }
            left += silent.equals(rig.lastWorker(id)) ? 1 : 0;
        }
        long before = rig.actionsOfType(Send.class).size();
        rig.advance(700 * MS);
        assertTrue(left >= 4, "only " + left + " jobs at the silent worker");
        return rig.actionsOfType(Send.class).size() - before;
    }

    /** Without progress reports a worker that runs other dispatchers' jobs is as silent as a dead one. */
    @Test
    void silenceCausesNoCopyWithoutProgressReports() {
        var all = settings(0, 4, true, false, false);
        for (long progress : List.of(0L, S)) {
            var rig = new Rig(withoutCancel(all, progress));
            rig.list(Rig.worker("a"), Rig.worker("b"), Rig.worker("c"));
            rig.place(1);
            rig.advance(700 * MS);
            assertEquals(progress > 0 ? 2 : 1, rig.sends(1).size());
        }
    }
}
