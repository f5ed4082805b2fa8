package pipitladder;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pipitladder.Dispatcher.Effect;
import pipitladder.Dispatcher.KeyScope;
import pipitladder.Dispatcher.Outcome;
import pipitladder.Dispatcher.Request;
import pipitladder.Dispatcher.Send;

/**
 * Rule 4 under random load: a worker in slow start gets no more than this dispatcher's share of its budget.
 */
class SlowStartTest {

    private static final int SLOTS = 4;
    private static final long WINDOW = 2 * Rig.S;
    private static final double LEAST_CAPACITY = 0.3;
    private static final double MULTIPLE = 4;
    private static final double COLD_FOR = 9 * Rig.S;

    private static final class Running {
        final long id;
        final String worker;
        long left;
        boolean started;

        Running(long id, String worker, long left) {
            this.id = id;
            this.worker = worker;
            this.left = left;
        }
    }

    private record Fresh(long at, double work) { }

    private final List<Running> running = new ArrayList<>();
    private final List<Fresh> fresh = new ArrayList<>();
    private final List<Long> hints = new ArrayList<>();
    private Rig rig;
    private long startedAt;

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8})
    void aNewWorkerStaysWithinItsBudgetInEveryWindow(int seed) {
        var random = new Random(seed);
        int dispatchers = 1 + seed % 4;
        var classes = List.of(Rig.jobClass(Effect.REPEATABLE, KeyScope.ALL));
        rig = new Rig(Rig.settings(classes, List.of(), true, false, dispatchers));
        rig.list(Rig.worker("a"), Rig.worker("b"));
        long largest = 20 + random.nextInt(600);
        for (int step = 0; step < 1200; step++) {
            if (step == 600) {
                startedAt = rig.now;
                rig.change(Rig.worker("fresh", 0, 0, rig.now));
            }
            long hint = (10 + random.nextLong(largest)) * Rig.MS;
            hints.add(hint);
            int before = rig.actions.size();
            rig.handle(new Request(step, 0, 0, 1, 0, hint, 10 * Rig.S));
            rig.advance(10 * Rig.MS);
            readSends(before);
            runJobs();
        }
        assertTrue(!fresh.isEmpty(), "the worker in slow start was never used");
        for (var last : fresh) {
            double warmth = LEAST_CAPACITY + (1 - LEAST_CAPACITY) * (last.at() - startedAt) / COLD_FOR;
            double part = MULTIPLE * warmth * SLOTS * WINDOW / dispatchers;
            double sum = fresh.stream()
                    .filter(each -> each.at() > last.at() - WINDOW && each.at() <= last.at())
                    .mapToDouble(Fresh::work).sum();
            assertTrue(sum <= part, "sent " + sum + " of " + part);
        }
    }

    private void readSends(int before) {
        for (var action : List.copyOf(rig.actions.subList(before, rig.actions.size()))) {
            if (action instanceof Send send) {
                long hint = hints.get((int) send.request());
                running.add(new Running(send.request(), send.worker(), hint));
                if (send.worker().equals("fresh")) {
                    fresh.add(new Fresh(rig.now, hint));
                }
            }
        }
    }

    /** Every worker runs the first few of its jobs at speed 1, for the 10 ms of a step. */
    private void runJobs() {
        for (var job : List.copyOf(running)) {
            long ahead = running.stream().takeWhile(each -> each != job)
                    .filter(each -> each.worker.equals(job.worker)).count();
            if (ahead >= SLOTS) {
                continue;
            }
            if (!job.started) {
                job.started = true;
                rig.start(job.id, 0);
            }
            job.left -= 10 * Rig.MS;
            if (job.left <= 0) {
                running.remove(job);
                rig.end(job.id, 0, Outcome.SUCCESS);
            }
        }
    }
}
