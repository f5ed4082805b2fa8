package pipitladder;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pipitladder.Stage.MS;
import static pipitladder.Stage.S;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pipitladder.Dispatcher.Action;
import pipitladder.Dispatcher.AttemptEnded;
import pipitladder.Dispatcher.AttemptProgress;
import pipitladder.Dispatcher.AttemptStarted;
import pipitladder.Dispatcher.Cancel;
import pipitladder.Dispatcher.ClientGone;
import pipitladder.Dispatcher.Effect;
import pipitladder.Dispatcher.Fail;
import pipitladder.Dispatcher.JobClass;
import pipitladder.Dispatcher.KeyScope;
import pipitladder.Dispatcher.ListKind;
import pipitladder.Dispatcher.Outcome;
import pipitladder.Dispatcher.Refuse;
import pipitladder.Dispatcher.Request;
import pipitladder.Dispatcher.Send;
import pipitladder.Dispatcher.WorkerInfo;
import pipitladder.Dispatcher.WorkerList;
import pipitladder.Dispatcher.WorkerState;

/** Random but repeatable sequences of events; every action is held against the four rules. */
class RulesTest {

    private record Sent(WorkerInfo worker, long at) { }

    /** What the rules know of one request. */
    private static final class Owed {
        final JobClass jobClass;
        final long deadline;
        final List<Sent> sent = new ArrayList<>();
        final List<Outcome> outcomes = new ArrayList<>();
        boolean closed;

        Owed(JobClass jobClass, long deadline) {
            this.jobClass = jobClass;
            this.deadline = deadline;
        }

        long out() {
            return outcomes.stream().filter(outcome -> outcome == null).count();
        }

        boolean mayHaveRun(int attempt) {
            return outcomes.get(attempt) == null || !outcomes.get(attempt).provesNotRun;
        }

        boolean mayHaveRun() {
            for (int i = 0; i < sent.size(); i++) {
                if (mayHaveRun(i)) {
                    return true;
                }
            }
            return false;
        }
    }

    private final Map<Long, Owed> owed = new HashMap<>();
    private final Map<String, WorkerInfo> told = new HashMap<>();
    private final List<JobClass> classes = List.of(Stage.jobClass(Effect.REPEATABLE, KeyScope.ALL),
            Stage.jobClass(Effect.UNSAFE, KeyScope.ALL), Stage.jobClass(Effect.KEYED, KeyScope.ALL),
            Stage.jobClass(Effect.KEYED, KeyScope.ZONE), Stage.jobClass(Effect.KEYED, KeyScope.CELL));
    private Stage stage;
    private boolean copies;
    private int sends;
    private int answers;

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void randomEventsBreakNoRule(int seed) {
        var random = new Random(seed);
        copies = random.nextBoolean();
        stage = new Stage(Stage.settings(classes, List.of(), true, copies, 1 + random.nextInt(4)));
        long id = 0;
        tellList(random, 8);
        for (int step = 0; step < 3000; step++) {
            switch (random.nextInt(10)) {
                case 0, 1, 2 -> accept(++id, random);
                case 3, 4, 5, 6 -> endSome(random);
                case 7 -> noteSome(random);
                case 8 -> leaveSome(random, id);
                default -> tellList(random, 1);
            }
            step(random.nextInt(20) * MS);
        }
        for (int i = 0; i < 3000; i++) {
            step(5 * MS);
        }
        owed.forEach((request, each) -> assertTrue(each.closed, "no answer for " + request));
        assertTrue(sends > 200, "only " + sends + " sends");
        assertTrue(answers > 20, "only " + answers + " answers");
    }

    @Test
    void theSameEventsLeadToTheSameActions() {
        assertEquals(actionsOf(7), actionsOf(7));
    }

    private static List<Action> actionsOf(int seed) {
        var run = new RulesTest();
        run.randomEventsBreakNoRule(seed);
        return run.stage.actions;
    }

    /** Lets time pass; attempts that reach the client's deadline time out, as an embedder would see to. */
    private void step(long time) {
        check(() -> stage.pass(time));
        for (var request : List.copyOf(owed.keySet())) {
            var each = owed.get(request);
            for (int i = 0; i < each.sent.size(); i++) {
                if (stage.now >= each.deadline && each.outcomes.get(i) == null) {
                    end(request, i, Outcome.TIMED_OUT);
                }
            }
            assertTrue(each.closed || stage.now < each.deadline + 40 * MS, "no answer for " + request);
        }
    }

    private void accept(long id, Random random) {
        int index = random.nextInt(classes.size());
        long left = 1 * S + random.nextInt(4000) * MS;
        owed.put(id, new Owed(classes.get(index), stage.now + left));
        check(() -> stage.tell(new Request(id, index, 0, 1 + random.nextInt(2), 0,
                random.nextInt(5) == 0 ? 0 : 10 * MS + random.nextInt(400) * MS, left)));
    }

    private void endSome(Random random) {
        for (var request : List.copyOf(owed.keySet())) {
            var each = owed.get(request);
            for (int i = 0; i < each.sent.size(); i++) {
                if (each.outcomes.get(i) == null && random.nextInt(6) == 0) {
                    var all = Outcome.values();
                    end(request, i, random.nextBoolean() ? Outcome.SUCCESS : all[random.nextInt(all.length)]);
                }
            }
        }
    }

    private void end(long request, int attempt, Outcome outcome) {
        var each = owed.get(request);
        each.outcomes.set(attempt, outcome);
        each.closed |= outcome == Outcome.SUCCESS;
        var worker = each.sent.get(attempt).worker().id();
        check(() -> stage.tell(new AttemptEnded(request, attempt, worker, outcome, each.closed, null)));
    }

    private void noteSome(Random random) {
        owed.forEach((request, each) -> {
            for (int i = 0; i < each.sent.size(); i++) {
                if (each.outcomes.get(i) == null && random.nextInt(3) > 0) {
                    int attempt = i;
                    var worker = each.sent.get(i).worker().id();
                    check(() -> stage.tell(random.nextBoolean() ? new AttemptStarted(request, attempt, worker)
                            : new AttemptProgress(request, attempt, worker, 0.5)));
                }
            }
        });
    }

    private void leaveSome(Random random, long last) {
        long request = 1 + random.nextLong(last + 1);
        if (owed.containsKey(request)) {
            owed.get(request).closed = true;
        }
        check(() -> stage.tell(new ClientGone(request)));
    }

    private void tellList(Random random, int count) {
        var changes = new ArrayList<WorkerInfo>();
        for (int i = 0; i < count; i++) {
            int number = random.nextInt(8);
            var state = count > 1 ? WorkerState.READY : WorkerState.values()[random.nextInt(3)];
            long start = random.nextInt(3) == 0 ? stage.now - random.nextInt(3000) * MS : 0;
            changes.add(Stage.in(state, Stage.worker("w" + number, number % 2, number % 3, start)));
        }
        changes.forEach(info -> told.put(info.id(), info));
        check(() -> stage.tell(new WorkerList(ListKind.CHANGES, changes)));
    }

    private void check(Runnable event) {
        int before = stage.actions.size();
        event.run();
        for (var action : List.copyOf(stage.actions.subList(before, stage.actions.size()))) {
            if (action instanceof Send send) {
                checkSend(send);
            } else if (action instanceof Refuse refuse) {
                var each = owed.get(refuse.request());
                boolean harmless = each.jobClass.effect() == Effect.REPEATABLE || !each.mayHaveRun()
                        || each.jobClass.effect() == Effect.KEYED && each.jobClass.keyScope() == KeyScope.ALL;
                assertTrue(harmless, "a refusal that promises too much");
                answer(refuse.request());
            } else if (action instanceof Fail fail) {
                answer(fail.request());
            } else if (action instanceof Cancel cancel) {
                assertTrue(cancel.attempt() < owed.get(cancel.request()).sent.size());
            }
        }
    }

    private void answer(long request) {
        assertTrue(!owed.get(request).closed, "a second answer for " + request);
        owed.get(request).closed = true;
        answers++;
    }

    private void checkSend(Send send) {
        sends++;
        var each = owed.get(send.request());
        var worker = told.get(send.worker());
        assertTrue(!each.closed, "sent after the final answer");
        assertEquals(WorkerState.READY, worker.state(), "sent to a worker that drains or is gone");
        assertTrue(each.sent.size() < 4, "too many attempts");
        assertTrue(each.out() < (copies ? 2 : 1), "too many attempts at once");
        for (int i = 0; i < each.sent.size(); i++) {
            if (each.mayHaveRun(i)) {
                assertTrue(each.jobClass.effect() != Effect.UNSAFE, "an unsafe job twice");
                if (each.jobClass.effect() == Effect.KEYED) {
                    long age = stage.now - each.sent.get(i).at();
                    assertTrue(age <= each.jobClass.keyWindow(), "past the window");
                    assertTrue(sameGroup(each.jobClass.keyScope(), each.sent.get(i).worker(), worker),
                            "outside the group");
                }
            }
        }
        each.sent.add(new Sent(worker, stage.now));
        each.outcomes.add(null);
    }

    private static boolean sameGroup(KeyScope scope, WorkerInfo one, WorkerInfo other) {
        return switch (scope) {
            case ALL -> true;
            case ZONE -> one.zone() == other.zone();
            case CELL -> one.cell() == other.cell();
        };
    }
}
