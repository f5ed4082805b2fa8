package ryemast.lab.model.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pipitladder.Dispatcher.Outcome;
import pipitladder.Dispatcher.WorkerInfo;
import pipitladder.Dispatcher.WorkerState;
import ryemast.config.Tuning;
import ryemast.lab.model.Runs;
import ryemast.lab.model.Simulated;
import ryemast.lab.model.policy.Reference.Choice;
import ryemast.lab.model.policy.Reference.Server;
import ryemast.lab.scenario.ScenarioFile;

class PoliciesTest {

    private final SplittableRandom random = new SplittableRandom(4);

    private static List<Server> servers(double... weights) {
        List<Server> servers = new ArrayList<>();
        for (double weight : weights) {
            var server = new Server("s" + servers.size());
            server.info = new WorkerInfo(server.id, WorkerState.READY, 0, 0, 0, weight, 0);
            servers.add(server);
        }
        return servers;
    }

    private String picks(Choice choice, List<Server> from, int times) {
        var picked = new StringBuilder();
        for (int i = 0; i < times; i++) {
            picked.append(choice.pick(from, null, 0, random).id.charAt(1));
        }
        return picked.toString();
    }

    @Test
    void roundRobinGoesOnWhereItWasThoughOneIsMissing() {
        var choice = Choices.roundRobin();
        var all = servers(1, 1, 1);
        assertEquals("01", picks(choice, all, 2));
        assertEquals("0", picks(choice, List.of(all.get(0), all.get(1)), 1));
        assertEquals("12012", picks(choice, all, 5));
    }

    /** The example in nginx's own change: weights 5, 1, 1 give a a b a c a a. */
    @Test
    void weightedRoundRobinIsSmooth() {
        assertEquals("0010200", picks(Choices.weightedRoundRobin(), servers(5, 1, 1), 7));
    }

    @Test
    void leastOutstandingTakesTheFewest() {
        var all = servers(1, 1, 1);
        all.get(0).out = 2;
        all.get(1).out = 1;
        all.get(2).out = 3;
        assertEquals("111", picks(Choices.leastOutstanding(), all, 3));
    }

    @Test
    void powerOfTwoNeverTakesTheWorstOfAll() {
        var all = servers(1, 1, 1, 1);
        all.get(3).out = 9;
        var picked = picks(Choices.powerOfTwo(), all, 400);
        assertTrue(!picked.contains("3") && picked.contains("0") && picked.contains("2"), picked);
    }

    @Test
    void peakEwmaLeapsUpAndComesDownSlowly() {
        var choice = new PeakEwma();
        var pair = servers(1, 1);
        choice.ended(pair.get(0), Outcome.SUCCESS, 100_000, 0);
        choice.ended(pair.get(1), Outcome.SUCCESS, 10_000, 0);
        assertEquals("111", picks(choice, pair, 3));
        choice.ended(pair.get(1), Outcome.SUCCESS, 900_000, 0);
        assertEquals("000", picks(choice, pair, 3));
        // Much later both have faded alike, and the first one is still the better.
        assertEquals("s0", choice.pick(pair, null, 20_000_000, random).id);
    }

    /** Crashes, drains, cold starts and jobs that must not run twice, on two sites. */
    @ParameterizedTest
    @ValueSource(strings = {"random", "round-robin", "weighted-round-robin", "least-outstanding",
        "power-of-two", "peak-ewma", "oracle", "module"})
    void keepsAllRules(String name) throws Exception {
        for (var scenario : List.of("mixed-fleet", "rolling-release")) {
            var file = ScenarioFile.named(scenario);
            var plan = new Runs.Plan(file::draw, Policies.named(name), Tuning.DEFAULT, 1, 2);
            var done = Runs.run(plan, 2, Map.of(), () -> false, (ready, share, rows) -> { });
            for (var row : done.rows().values()) {
                assertEquals(0, row.get("rules_broken").getAsInt(), scenario + row.get("breaches"));
                assertTrue(row.get("served").getAsLong() > row.get("asked").getAsLong() * 3 / 4);
            }
        }
    }

    @Test
    void whoeverKnowsAllServesBest() throws Exception {
        var file = ScenarioFile.named("slow");
        Map<String, Double> service = new HashMap<>();
        for (var name : List.of("random", "power-of-two", "oracle")) {
            var plan = new Runs.Plan(file::draw, Policies.named(name), Tuning.DEFAULT, 1, 3);
            var rows = Runs.run(plan, 3, Map.of(), () -> false, (ready, share, some) -> { }).rows().values();
            service.put(name, Simulated.spread(rows, row -> row.get("service")).mean());
        }
        assertTrue(service.get("oracle") > service.get("power-of-two"), service.toString());
        assertTrue(service.get("power-of-two") > service.get("random"), service.toString());
    }
}
