package pipitladder;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pipitladder.Dispatcher.AttemptEnded;
import pipitladder.Dispatcher.AttemptStarted;
import pipitladder.Dispatcher.Cancel;
import pipitladder.Dispatcher.Effect;
import pipitladder.Dispatcher.KeyScope;
import pipitladder.Dispatcher.Outcome;
import pipitladder.Dispatcher.Send;

/**
 * A worker gets one attempt of a job at a time, also where second copies are allowed and workers are so few
 * and so unhealthy that the one being probed is also the best. Attempts fail in every way, drawn from a seed.
 */
class SingleAttemptPerWorkerTest {

    private static final int SEEDS = 150;
    private static final int JOBS = 120;
    private static final Outcome[] ENDS = {Outcome.SUCCESS, Outcome.ERROR, Outcome.REJECTED,
        Outcome.CONNECT_FAILED, Outcome.RESET};

    /** An outstanding attempt, and when and how it will end; some hang forever. */
    private record Outstanding(long request, int attempt, String worker, long endsAt, Outcome end) {
    }

    /** One sequence of events, with an independent record of what is outstanding at each worker. */
    private static final class Scenario {
        private final SplittableRandom random;
        private final Rig rig;
        private final List<Outstanding> out = new ArrayList<>();
        private final Map<Long, Integer> attempts = new HashMap<>();
        private int read;
        int second;

        Scenario(int seed, int workers) {
            random = new SplittableRandom(seed);
            rig = new Rig(Rig.settings(Effect.REPEATABLE, KeyScope.ALL), seed);
            var listed = new Dispatcher.WorkerInfo[workers];
            for (int i = 0; i < workers; i++) {
                listed[i] = Rig.worker("w" + i);
            }
            rig.list(listed);
        }

        void play() {
            for (long id = 1; id <= JOBS; id++) {
                rig.request(id);
                for (int step = 0; step < 5; step++) {
                    rig.advance(20 * Rig.MS);
                    readActions();
                    endSome();
                }
            }
        }

        /** Reads the actions of the decision module since the last call. */
        private void readActions() {
            for (; read < rig.actions.size(); read++) {
                var action = rig.actions.get(read);
                if (action instanceof Send send) {
                    sent(send);
                } else if (action instanceof Cancel cancel) {
                    out.stream().filter(each -> each.request() == cancel.request()
                            && each.attempt() == cancel.attempt()).findFirst()
                            .ifPresent(each -> end(each, Outcome.CANCELLED));
                }
            }
        }

        private void sent(Send send) {
            for (var each : out) {
                assertTrue(each.request() != send.request() || !each.worker().equals(send.worker()),
                        "a second attempt of " + send.request() + " at " + send.worker());
                second += each.request() == send.request() ? 1 : 0;
            }
            int attempt = attempts.merge(send.request(), 1, Integer::sum) - 1;
            long takes = random.nextInt(6) == 0 ? 9 * Rig.S : random.nextLong(300 * Rig.MS);
            out.add(new Outstanding(send.request(), attempt, send.worker(), rig.now + takes,
                    ENDS[random.nextInt(ENDS.length)]));
        }

        private void endSome() {
            for (var each : List.copyOf(out)) {
                if (each.endsAt() <= rig.now) {
                    if (each.end() == Outcome.SUCCESS) {
                        rig.handle(new AttemptStarted(each.request(), each.attempt(), each.worker()));
                    }
                    end(each, each.end());
                    readActions();
                }
            }
        }

        private void end(Outstanding each, Outcome outcome) {
            if (out.remove(each)) {
                rig.handle(new AttemptEnded(each.request(), each.attempt(), each.worker(), outcome,
                        outcome == Outcome.SUCCESS, null));
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void noWorkerHasTwoAttemptsOfAJob(int workers) {
        int second = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            var course = new Scenario(seed, workers);
            course.play();
            second += course.second;
        }
        if (workers == 1) {
            assertEquals(0, second);
        } else {
            assertTrue(second > 0, "no copy was ever sent");
        }
    }
}
