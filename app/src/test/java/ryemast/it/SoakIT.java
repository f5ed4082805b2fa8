package ryemast.it;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Runs of the whole program under troubles drawn from seeds. A longer soak: {@code -Dsoak.from=1 -Dsoak.to=50
 * -Dit.test=SoakIT}, which leaves the report of each failed run in {@code app/target/soak}.
 */
@Timeout(180)
class SoakIT {

    static LongStream seeds() {
        return LongStream.rangeClosed(Long.getLong("soak.from", 1), Long.getLong("soak.to", 4));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void noRuleIsBroken(long seed) throws Exception {
        play(seed);
    }

    /** Three copies are out where epoll_ctl fails as the first one is cancelled. */
    @Test
    void aCopyCountsUntilItsCancelHasComeToItsWorker() throws Exception {
        play(305);
    }

    /** A worker's process dies, another one starts while discovery answers 503, and then ours is killed. */
    @Test
    void aNewProcessSendsNothingToAWorkerWhoseReturnDoesNotCountYet() throws Exception {
        play(556);
    }

    /** Half of the accepts fail for 0.3 s, and the program is held up for a moment after that. */
    @Test
    void aRequestThatWaitedForItsAcceptIsToldTheTimeThatIsLeft() throws Exception {
        play(328);
    }

    /** Many connect while accepts fail, and while the program is held up, so that they are read late. */
    @Tag("known-red")
    @Test
    void aRequestThatIsReadLateIsToldTheTimeThatIsLeft() throws Exception {
        play(1532);
    }

    private static void play(long seed) throws Exception {
        try (var run = new SoakRun(seed)) {
            var breaches = new ArrayList<>(run.play());
            if (!breaches.isEmpty()) {
                var report = Path.of("app", "target", "soak", seed + ".txt");
                Files.createDirectories(report.getParent());
                Files.writeString(report, String.join("\n", breaches) + "\n" + run.report() + "\n");
            }
            assertEquals(List.of(), breaches);
            assertTrue(run.served() > 0, run::report);
        }
    }
}
