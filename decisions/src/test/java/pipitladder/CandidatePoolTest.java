package pipitladder;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pipitladder.Rig.MS;
import static pipitladder.Rig.S;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import pipitladder.Dispatcher.Action;
import pipitladder.Dispatcher.AttemptEnded;
import pipitladder.Dispatcher.AttemptStarted;
import pipitladder.Dispatcher.Cancel;
import pipitladder.Dispatcher.Effect;
import pipitladder.Dispatcher.Event;
import pipitladder.Dispatcher.KeyScope;
import pipitladder.Dispatcher.Limits;
import pipitladder.Dispatcher.ListKind;
import pipitladder.Dispatcher.Outcome;
import pipitladder.Dispatcher.Prices;
import pipitladder.Dispatcher.Request;
import pipitladder.Dispatcher.Rules;
import pipitladder.Dispatcher.Send;
import pipitladder.Dispatcher.SetTimer;
import pipitladder.Dispatcher.Settings;
import pipitladder.Dispatcher.Tenant;
import pipitladder.Dispatcher.TimerDue;
import pipitladder.Dispatcher.WorkerInfo;
import pipitladder.Dispatcher.WorkerList;
import pipitladder.Dispatcher.WorkerState;

/** The workers that a dispatcher of a large fleet uses, judged by its sends. */
class CandidatePoolTest {

    private static Settings settings(int self, int dispatchers) {
        return new Settings(self, dispatchers, 0, MS, true, true, true, S,
                List.of(Rig.jobClass(Effect.REPEATABLE, KeyScope.ALL),
                        Rig.jobClass(Effect.UNSAFE, KeyScope.ALL)), List.of(new Tenant(5)), List.of(),
                new Limits(4, true, true, false, false, true, S, 250 * MS),
                new Rules(10 * S, 9 * S, 0.3, 4, 2 * S), new Prices(self % 2 * 0.02, 0, 0, 0));
    }

    private static WorkerInfo worker(int number, WorkerState state, long startedAt) {
        return new WorkerInfo("w" + number, state, 0, number % 3, 0, 1 + number % 4, startedAt);
    }

    /**
     * One or two dispatchers that handle the same events; the actions of the first one determine what happens
     * next.
     */
    private static final class Simulation {
        private record ScheduledEvent(long at, long order, Event event) {
        }

        final List<Brain> brains;
        final Random random;
        final Map<String, Integer> sent = new HashMap<>();
        final PriorityQueue<ScheduledEvent> due = new PriorityQueue<>((a, b) -> a.at() == b.at()
                ? Long.compare(a.order(), b.order()) : Long.compare(a.at(), b.at()));
        final Map<Long, Integer> attempts = new HashMap<>();
        final Set<List<Long>> ended = new HashSet<>();
        final Set<Long> closed = new HashSet<>();
        Predicate<String> dead = worker -> false;
        long now = 20 * S;
        long order;
        int events;
        boolean differ;

        Simulation(long seed, Brain... brains) {
            this.brains = List.of(brains);
            random = new Random(seed);
        }

        void deliver(Event event) {
            if (differ) {
                return;
            }
            events++;
            List<Action> first = null;
            for (var brain : brains) {
                var actions = new ArrayList<Action>();
                brain.handle(now, event, actions::add);
                differ |= first != null && !first.equals(actions);
                first = first == null ? actions : first;
            }
            for (var action : first) {
                if (action instanceof SetTimer timer) {
                    schedule(timer.dueAt(), new TimerDue(timer.name()));
                } else if (action instanceof Send send) {
                    sent.merge(send.worker(), 1, Integer::sum);
                    long id = send.request();
                    int attempt = attempts.merge(id, 1, Integer::sum) - 1;
                    long starts = now + random.nextLong(200 * MS);
                    if (dead.test(send.worker())) {
                        schedule(now + MS,
                                new AttemptEnded(id, attempt, send.worker(), Outcome.CONNECT_FAILED,
                                false, null));
                    } else {
                        schedule(starts, new AttemptStarted(id, attempt, send.worker()));
                        var outcome = random.nextInt(8) > 0 ? Outcome.SUCCESS
                                : random.nextBoolean() ? Outcome.RESET : Outcome.REJECTED;
                        schedule(starts + random.nextLong(300 * MS),
                                new AttemptEnded(id, attempt, send.worker(),
                                outcome, false, null));
                    }
                } else if (action instanceof Cancel cancel) {
                    schedule(now, new AttemptEnded(cancel.request(), cancel.attempt(), "", Outcome.CANCELLED,
                            false, null));
                }
            }
        }

        void schedule(long time, Event event) {
            due.add(new ScheduledEvent(Math.max(now, time), order++, event));
        }

        void advance(long time) {
            long until = now + time;
            while (!due.isEmpty() && due.peek().at() <= until) {
                var next = due.poll();
                now = next.at();
                if (next.event() instanceof AttemptEnded end) {
                    boolean first = ended.add(List.of(end.request(), (long) end.attempt()));
                    boolean over = end.outcome() == Outcome.SUCCESS && closed.add(end.request());
                    if (first) {
                        deliver(new AttemptEnded(end.request(), end.attempt(), end.worker(), end.outcome(),
                                over || closed.contains(end.request()), null));
                    }
                } else {
                    deliver(next.event());
                }
            }
            now = until;
        }

        void submit(int jobs, long every) {
            for (int i = 0; i < jobs; i++) {
                long id = ++order;
                deliver(new Request(id, random.nextInt(5) / 4, random.nextInt(2), 1, 0,
                        20 * MS + random.nextLong(400 * MS), 10 * S));
                advance(random.nextLong(2 * every));
            }
        }

        void list(int count) {
            var list = new ArrayList<WorkerInfo>();
            for (int i = 0; i < count; i++) {
                list.add(worker(i, random.nextInt(10) > 0 ? WorkerState.READY : WorkerState.DRAINING,
                        random.nextInt(4) > 0 ? 0 : now - random.nextLong(10 * S)));
            }
            deliver(new WorkerList(ListKind.COMPLETE, list));
        }
    }

    private static boolean differs(int seed, int dispatchers, int most, int room) {
        var settings = settings(seed % dispatchers, dispatchers);
        var whole = new Brain(settings, seed, Integer.MAX_VALUE);
        var play = new Simulation(seed, whole, new Brain(settings, seed, room));
        for (int lists = 0; lists < 4 && !play.differ; lists++) {
            play.list(most - play.random.nextInt(1 + most / 4));
            play.submit(40, 30 * MS);
        }
        assertTrue(play.differ || play.events > 500, "only " + play.events + " events");
        return play.differ;
    }

    @Test
    void withinTheLimitEveryActionIsTheSameAsWithoutSubsets() {
        for (int seed = 0; seed < 24; seed++) {
            int dispatchers = new int[] {1, 2, 3, 14, 100, 300}[seed % 6];
            int workers = new int[] {1, 10, 60, 200}[seed % 4];
            assertEquals(false, differs(seed, dispatchers, workers, CandidatePool.MAX_WORKERS),
                    "seed " + seed);
        }
        assertEquals(false, differs(1, 3, 600, 20), "three dispatchers use all");
        assertTrue(differs(2, 14, 201 * 4 / 3, CandidatePool.MAX_WORKERS), "a longer list is seen");
    }

    /** 14 dispatchers and 700 workers with a limit of 100: 150 each, each worker used by three. */
    @Test
    void dispatchersKeepToTheirSubsetsWhichCoverEveryWorker() {
        var users = new HashMap<String, Integer>();
        for (int self = 0; self < 14; self++) {
            var play = play(self, 14, 700, 100);
            play.submit(1_500, MS);
            play.sent.keySet().forEach(each -> users.merge(each, 1, Integer::sum));
            assertTrue(play.sent.size() > 90 && play.sent.size() < 200, play.sent.size() + " workers used");
        }
        int most = users.values().stream().mapToInt(each -> each).max().orElseThrow();
        assertTrue(users.size() > 690 && most == 3, users.size() + " workers used, by " + most);
    }

    private static Simulation play(int self, int dispatchers, int workers, int room) {
        var play = new Simulation(self, new Brain(settings(self, dispatchers), self, room));
        var list = new ArrayList<WorkerInfo>();
        for (int i = 0; i < workers; i++) {
            list.add(worker(i, WorkerState.READY, 0));
        }
        play.deliver(new WorkerList(ListKind.COMPLETE, list));
        return play;
    }

    @Test
    void theSubsetWidensWhenItsWorkersAreUnhealthy() {
        var play = play(0, 100, 400, 20);
        play.submit(400, 5 * MS);
        var usual = Set.copyOf(play.sent.keySet());
        assertTrue(usual.size() >= 9 && usual.size() < 36, usual.size() + " workers");
        play.dead = usual::contains;
        play.submit(400, 5 * MS);
        play.sent.clear();
        play.submit(100, 5 * MS);
        play.sent.keySet().removeAll(usual);
        assertTrue(play.sent.size() >= 9, play.sent.size() + " others");
    }
}
