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
 * and so sick that the one on trial is also the best. Attempts go wrong in every way, drawn from a seed.
 */
class OneAttemptAtAWorkerTest {

    private static final int SEEDS = 150;
    private static final int JOBS = 120;
    private static final Outcome[] ENDS = {Outcome.SUCCESS, Outcome.ERROR, Outcome.REJECTED,
        Outcome.CONNECT_FAILED, Outcome.RESET};

    /** An attempt that is out, and when and how it is to end; some hang for ever. */
    private record Out(long request, int attempt, String worker, long endsAt, Outcome end) {
    }

    /** One course of events; what is out at each worker is the test's own book. */
    private static final class Course {
        private final SplittableRandom random;
        private final Stage stage;
        private final List<Out> out = new ArrayList<>();
        private final Map<Long, Integer> attempts = new HashMap<>();
        private int read;
        int second;

        Course(int seed, int workers) {
            random = new SplittableRandom(seed);
            stage = new Stage(Stage.settings(Effect.REPEATABLE, KeyScope.ALL), seed);
            var listed = new Dispatcher.WorkerInfo[workers];
            for (int i = 0; i < workers; i++) {
                listed[i] = Stage.worker("w" + i);
            }
            stage.list(listed);
        }

        void play() {
            for (long id = 1; id <= JOBS; id++) {
                stage.request(id);
                for (int step = 0; step < 5; step++) {
                    stage.pass(20 * Stage.MS);
                    follow();
                    endSome();
                }
            }
        }

        /** Takes in what the module has done since. */
        private void follow() {
            for (; read < stage.actions.size(); read++) {
                var action = stage.actions.get(read);
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
            long takes = random.nextInt(6) == 0 ? 9 * Stage.S : random.nextLong(300 * Stage.MS);
            out.add(new Out(send.request(), attempt, send.worker(), stage.now + takes,
                    ENDS[random.nextInt(ENDS.length)]));
        }

        private void endSome() {
            for (var each : List.copyOf(out)) {
                if (each.endsAt() <= stage.now) {
                    if (each.end() == Outcome.SUCCESS) {
                        stage.tell(new AttemptStarted(each.request(), each.attempt(), each.worker()));
                    }
                    end(each, each.end());
                    follow();
                }
            }
        }

        private void end(Out each, Outcome outcome) {
            if (out.remove(each)) {
                stage.tell(new AttemptEnded(each.request(), each.attempt(), each.worker(), outcome,
                        outcome == Outcome.SUCCESS, null));
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void noWorkerHasTwoAttemptsOfAJob(int workers) {
        int second = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            var course = new Course(seed, workers);
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
