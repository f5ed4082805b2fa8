package ryemast.lab.compare;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pipitladder.Brain;
import ryemast.config.Tuning;
import ryemast.lab.compare.Comparison.Rows;
import ryemast.lab.model.Policy;
import ryemast.lab.report.Page;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.scenario.ScenarioBuilder;

class ComparisonTest {

    private static final Logger QUIET = Logger.getLogger("ryemast");
    private static final long SECOND = 1_000_000;

    @TempDir
    private Path folder;

    @BeforeAll
    static void quiet() {
        QUIET.setLevel(Level.SEVERE);
    }

    /** Four boxes of two cores, three quarters busy, for some seconds. */
    private static Scenario site(long seed, int seconds) {
        var jobs = new Scenario.JobClass("job", 1, 100_000, Scenario.Spread.LOGNORMAL, 1, 150_000, 2,
                3 * SECOND, 1,
                0, Scenario.Effect.FREE, 1);
        var builder = ScenarioBuilder.uniform(4, 2, 1, 12).seed(seed).length(seconds * SECOND)
                .classes(List.of(jobs));
        return builder.rate(0.75 * builder.capacity()).build();
    }

    private static Comparison.Done run(Arm a, Arm b, int runs, int seconds, long first) {
        return Comparison.run(plan(a, b, runs, seconds, first), 4, new Rows(Map.of(), Map.of()), () -> false,
                (done, rows) -> { });
    }

    private static Comparison.Plan plan(Arm a, Arm b, int runs, int seconds, long first) {
        return new Comparison.Plan(seed -> site(seed, seconds), a, b, first, runs, 0.001, true);
    }

    @Test
    void aPlantedDifferenceIsFoundAndStopsEarly() throws Exception {
        var done = run(Arm.of("module"), Arm.of("blunder@0.3"), 64, 20, 1);
        assertEquals(Verdict.Word.A_IS_BETTER, done.verdict().word());
        assertTrue(done.rows().seeds().size() < 64, "runs: " + done.rows().seeds().size());
        var other = run(Arm.of("blunder@0.3"), Arm.of("module"), 64, 20, 1);
        assertEquals(Verdict.Word.B_IS_BETTER, other.verdict().word());
        assertEquals(-done.verdict().low(), other.verdict().high(), 1e-12);
    }

    @Test
    void aChangeOfNothingIsFoundNotToBeOne() throws Exception {
        var same = run(Arm.of("module"), Arm.of("module"), 16, 5, 1);
        assertEquals(Verdict.Word.ALIKE, same.verdict().word());
        assertEquals(8, same.rows().seeds().size());
        int alarms = 0;
        for (int i = 0; i < 40; i++) {
            var word = run(Arm.of("module"), Arm.of("module@1"), 8, 4, 1 + 8 * i).verdict().word();
            alarms += word == Verdict.Word.A_IS_BETTER || word == Verdict.Word.B_IS_BETTER ? 1 : 0;
        }
        // Of 40 at 5%, more than six happen once in 300 times.
        assertTrue(alarms <= 6, alarms + " false alarms of 40");
    }

    @Test
    void settingsAreChangedByTheirPathsAndWrongOnesAreTold() throws Exception {
        var arm = Arm.of("allowed.max_attempts=1,categories[0].worth=2,allowed.second_copies=false");
        assertNull(arm.fault(site(1, 4)));
        assertEquals(8, run(arm, Arm.of("module"), 8, 4, 1).rows().seeds().size());
        assertTrue(Arm.of("allowed.max_attemps=1").fault(site(1, 4))
                .contains("the settings have no max_attemps"));
        assertNotNull(Arm.of("categories[7].worth=1").fault(site(1, 4)));
        assertTrue(assertThrows(Arm.BadArm.class, () -> Arm.of("modul")).getMessage()
                .contains("module perhaps"));
        assertThrows(Arm.BadArm.class, () -> Arm.of("Allowed=1"));
        assertThrows(Arm.BadArm.class, () -> Arm.of("missing.jar"));
        var bad = Files.writeString(folder.resolve("bad.toml"), "[limits]\nsocket = 1\n");
        assertTrue(assertThrows(Arm.BadArm.class, () -> Arm.of(bad.toString())).getMessage()
                .contains("sockets perhaps"));
    }

    /** This very build as a version: on the wire it must decide as it does in the model. */
    @Test
    void aVersionAsAJarDecidesAsTheModuleDoes() throws Exception {
        var jar = Path.of("app/target/ryemast.jar");
        assumeTrue(Files.exists(jar), "built by the package phase");
        // The wire has 52 bits for a seed, so that both are given the same one.
        var policy = new Policy("module", "", (settings, seed, truth) ->
                new Brain(settings, seed & 0xfffffffffffffL));
        var module = new Arm("module", "", scenario -> new Arm.Opened(policy, Tuning.DEFAULT, () -> { }));
        var done = run(Arm.of(jar.toString()), module, 2, 4, 1);
        assertEquals(0, Paired.of(done.rows().differences(Metric.SERVICE.of())).deviation());
        assertEquals(done.rows().a().get(1L).get("latency_ms"), done.rows().b().get(1L).get("latency_ms"));
    }

    @Test
    void whatWasStoppedGoesOnToTheSameResult() throws Exception {
        var opened = new AtomicInteger();
        var plain = Arm.of("module");
        var module = new Arm("module", "", scenario -> {
            opened.incrementAndGet();
            return plain.opener().open(scenario);
        });
        var plan = plan(module, Arm.of("random"), 8, 4, 1);
        // By what has begun and not by the watcher, which looks now and then only.
        var first = Comparison.run(plan, 1, new Rows(Map.of(), Map.of()), () -> opened.get() > 4,
                (done, rows) -> { });
        assertTrue(first.interrupted());
        var kept = new Compared("s", "t", plan, first).json();
        opened.set(Integer.MIN_VALUE);
        var again = Comparison.run(plan, 4, new Rows(Compared.rows(kept.get("rows_a")),
                Compared.rows(kept.get("rows_b"))), () -> false, (done, rows) -> { });
        var whole = Comparison.run(plan, 2, new Rows(Map.of(), Map.of()), () -> false, (done, rows) -> { });
        assertEquals(new Compared("s", "t", plan, whole).json().toString(),
                new Compared("s", "t", plan, again).json().toString());
    }

    @Test
    void resultsHaveTheFieldsThatToolsRelyOnAndAPageOfPlots() throws Exception {
        var plan = plan(Arm.of("module"), Arm.of("random"), 8, 4, 1);
        var done = Comparison.run(plan, 4, new Rows(Map.of(), Map.of()), () -> false, (at, rows) -> { });
        var compared = new Compared("s", "a <b> & c", plan, done);
        var json = compared.json();
        for (var key : List.of("scenario", "runs", "verdict", "settled", "more_runs", "margin",
                "chance_a_better",
                "interrupted", "a", "b", "differences", "rows_a", "rows_b")) {
            assertTrue(json.has(key), key);
        }
        var service = json.getAsJsonObject("differences").getAsJsonObject("service");
        for (var key : List.of("mean", "low", "high", "t_95", "bootstrap_95", "sure_low", "sure_high",
                "chance_a_better")) {
            assertTrue(service.has(key), key);
        }
        for (var key : List.of("whole", "worst_window", "worst_class", "worst_tenant", "late_fail", "waste",
                "refused_share", "latency_ms_p99")) {
            assertTrue(json.getAsJsonObject("differences").has(key), key);
        }
        var page = Files.readString(Page.write(folder.resolve("report"), compared, site(1, 4)));
        assertTrue(page.contains("a &lt;b&gt; &amp; c") && page.contains("What was assumed"));
        assertTrue(page.split("<svg").length > 5, "plots");
        assertTrue(!page.contains("http://") || page.replace("http://www.w3.org/", "").indexOf("http://") < 0,
                "nothing is fetched");
    }
}
