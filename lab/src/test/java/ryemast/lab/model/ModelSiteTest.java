package ryemast.lab.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import ryemast.config.Tuning;
import ryemast.lab.books.Judge;
import ryemast.lab.books.TryStory;
import ryemast.lab.model.policy.Policies;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.scenario.Scenario.FaultKind;
import ryemast.lab.scenario.ScenarioBuilder;
import ryemast.lab.scenario.ScenarioFile;

/** Hand-worked cases; a message takes 1 ms each way, a job 10 ms, a new connection's first request 0.5 ms. */
class ModelSiteTest {

    @Test
    void everyMessageOfAJobTakesItsWay() {
        var jobs = new Bench().run().jobs();
        // Client connects 2, request 1; dispatcher connects 2, request 1, handshake 0.5; work 10; done 1;
        // answer 1.
        assertEquals(18.5, Bench.latency(jobs.get(0)), 1e-9);
        // on kept connections: request 1, request 1, work 10, done 1, answer 1
        assertEquals(14, Bench.latency(jobs.get(1)), 1e-9);
        assertEquals(14, Bench.latency(jobs.get(2)), 1e-9);
    }

    @Test
    void aTurnsCostIsPaidBeforeWhatItSendsLeaves() {
        var bench = new Bench();
        var jobs = bench.with(b -> b.model(new Scenario.Model(1_000, 0, 100_000, 2_000, 500))).run().jobs();
        // As above; the request and the call-back each cost a turn of 2.5 ms. The 202 comes back 1 ms before
        // anything else and keeps nobody waiting.
        assertEquals(14 + 5, Bench.latency(jobs.get(1)), 1e-9);
    }

    @Test
    void aBoxThatIsDownRefusesAfterOneWayThereAndBack() {
        var bench = new Bench().fault(FaultKind.CRASH, 0, 5_000);
        bench.run();
        assertEquals(List.of("0.0 send", "2.0 CONNECT_FAILED"), bench.log.subList(0, 2));
    }

    @Test
    void aMachineThatIsGoneLetsTheConnectTimeOut() {
        var bench = new Bench().fault(FaultKind.VANISH, 0, 5_000);
        long limit = bench.scenario().rules().connectTimeout() / Bench.MS;
        bench.run();
        var words = bench.log.get(1).split(" ");
        assertEquals("CONNECT_FAILED", words[1]);
        // The loop's timers are ticks of 5 ms.
        assertEquals(limit, Double.parseDouble(words[0]), 5);
    }

    @Test
    void aJobThatItsBoxHadTakenIsToldToBeLost() {
        var bench = new Bench().fault(FaultKind.CRASH, 10, 5_000);
        bench.run();
        // Its client began 3 ms before: dead at 7 there, the agent sees it 100 ms later, and 1 ms to tell.
        assertEquals(List.of("0.0 send", "108.0 RESET"), bench.log.subList(0, 2));
    }

    @Test
    void aRequestThatIsResetMayHaveRun() {
        var bench = new Bench().fault(FaultKind.RESETS, 0, 5_000);
        bench.run();
        assertEquals(List.of("0.0 send", "4.0 RESET"), bench.log.subList(0, 2));
    }

    @Test
    void aDispatcherThatStandsStillGoesOnWithWhatHadCome() {
        var jobs = new Bench().fault(FaultKind.DISPATCHER_PAUSE, 10, 200).run().jobs();
        // The call-back of the first job waits in the kernel until 210 ms; then 1 ms for the answer.
        assertEquals(211, Bench.latency(jobs.get(0)), 1e-9);
    }

    @Test
    void aKilledDispatcherLosesWhatItHeld() {
        var bench = new Bench().fault(FaultKind.DISPATCHER_KILL, 10, 20);
        var first = bench.run().jobs().get(0).tries().get(0);
        assertEquals(TryStory.Outcome.FAILED, first.outcome());
        assertEquals(11, (first.brokeAt() - first.job().askedAt()) / 1e3, 1e-9);
    }

    @Test
    void aDispatcherThatIsToldToEndAnswersWhatItHas() {
        var bench = new Bench().with(b -> b.length(3_000_000)).fault(FaultKind.DISPATCHER_RESTART, 10, 0);
        var history = bench.run();
        assertEquals(TryStory.Outcome.SERVED, history.jobs().get(0).last().outcome());
        assertEquals(0, Judge.judge(bench.scenario(), history).broken());
        var last = history.jobs().get(history.jobs().size() - 1);
        assertEquals(TryStory.Outcome.SERVED, last.last().outcome(), "it is back by the end");
    }

    @Test
    void theSameSeedGivesTheSameBytesOnAnyNumberOfThreads() throws Exception {
        var one = bytes(1, Map.of());
        assertEquals(one, bytes(4, Map.of()));
        // and in two parts
        var half = Runs.run(plan(2), 2, Map.of(), () -> false, (done, share, rows) -> { });
        assertEquals(one, bytes(3, new TreeMap<>(half.rows())));
        assertTrue(one.contains("\"rules_broken\":0"));
    }

    private static Runs.Plan plan(int runs) throws Exception {
        var file = ScenarioFile.named("mixed-fleet");
        return new Runs.Plan(seed -> ScenarioBuilder.from(file.draw(seed))
                .length(6_000_000).build(), Policies.MODULE, Tuning.DEFAULT, 5, runs);
    }

    private static String bytes(int threads, Map<Long, JsonObject> known) throws Exception {
        var done = Runs.run(plan(4), threads, known, () -> false, (ready, share, rows) -> { });
        return Simulated.json("mixed-fleet", "", "module", done.rows().values(), false).toString();
    }

    @Test
    void aPathThatIsCutIsSilentForItsOwnDispatcherAlone() {
        for (int cut : new int[] {0, 1}) {
            var bench = new Bench();
            bench.with(b -> b.faults(List.of(new Scenario.Fault(FaultKind.CUT_OFF, 0, 5_000 * Bench.MS,
                    List.of(0), -1,
                    0, 0, 0, 0, cut)))).run();
            assertEquals(cut == 0 ? "CONNECT_FAILED" : "SUCCESS", bench.log.get(1).split(" ")[1]);
        }
    }

    @Test
    void whatIsSaidIntoACutPathIsLostAndItsConnectionResetAfterwards() {
        // The job leaves at 3 ms and is at the box at 6; cut from 6.2 to 56.2 ms, the 202 at 6.5 is lost, and
        // the connection that missed it is reset, which takes 1 ms to be heard of.
        var bench = new Bench();
        bench.with(b -> b.faults(List.of(new Scenario.Fault(FaultKind.CUT_OFF, 6_200, 50 * Bench.MS,
                List.of(0), -1, 0, 0,
                0, 0, 0)))).run();
        assertEquals(List.of("0.0 send", "54.2 RESET"), bench.log.subList(0, 2));
    }
}
