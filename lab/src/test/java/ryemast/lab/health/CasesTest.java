package ryemast.lab.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import pipitladder.Brain;
import ryemast.config.Tuning;
import ryemast.lab.books.JobStory;
import ryemast.lab.books.MemoryBooks;
import ryemast.lab.model.ModelSite;
import ryemast.lab.model.Policy;
import ryemast.lab.model.policy.Policies;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.scenario.Scenario.Fault;
import ryemast.lab.scenario.Scenario.FaultKind;
import ryemast.lab.scenario.ScenarioBuilder;

/**
 * Whole runs of a tiny case: four boxes, 200 jobs of 8 ms a second for 6 s, one box vanishes from 2 s to 5 s.
 */
class CasesTest {

    private static final long SECOND = 1_000_000;

    private static Scenario vanish() {
        var jobs = ScenarioBuilder.jobs("job", 8_000, SECOND / 2, SECOND);
        return ScenarioBuilder.uniform(4, 1, 1, 9).classes(List.of(jobs)).rate(200).length(6 * SECOND).seed(5)
                .faults(List.of(new Fault(FaultKind.VANISH, 2 * SECOND, 3 * SECOND, List.of(1), -1, 0, 0, 0,
                0)))
                .build();
    }

    private static List<Long> served(Policy policy) {
        var books = new MemoryBooks();
        new ModelSite(vanish(), policy, Tuning.DEFAULT, books.tries(), books).run(() -> false);
        return books.read().jobs().stream().map(JobStory::servedAt).toList();
    }

    @Test
    void theVanishedBoxIsFoundAndNothingIsLost() {
        var row = Cases.run(vanish(), Policies.MODULE, () -> false);
        assertEquals(0, row.get("lost").getAsLong());
        assertTrue(row.get("left_after_s").getAsDouble() < 1, row.toString());
        var believed = row.getAsJsonObject("beliefs").getAsJsonObject("vanish");
        int looks = believed.entrySet().stream().mapToInt(each -> each.getValue().getAsInt()).sum();
        // 3 s of looks a tenth of a second apart, each when something next happens
        assertTrue(looks >= 27 && looks <= 30, believed.toString());
        assertTrue(!believed.has("well") || believed.get("well").getAsInt() < looks / 2, believed.toString());
    }

    @Test
    void theSameRunGivesTheSameRowAndWatchingChangesNothing() {
        assertEquals(Cases.run(vanish(), Policies.MODULE, () -> false),
                Cases.run(vanish(), Policies.MODULE, () -> false));
        assertEquals(served(Policies.MODULE), served(new Notes(vanish()).on(Policies.MODULE)));
    }

    @Test
    void theModuleOutOfAnotherLoaderDecidesTheSame() throws Exception {
        var code = Brain.class.getProtectionDomain().getCodeSource().getLocation();
        var theirs = JarPolicy.of(code, Path.of("present.jar"));
        assertEquals(served(Policies.MODULE), served(theirs));
    }

    @Test
    void aFileThatHoldsNoModuleIsNamed() {
        var missing = Path.of("there-is-no-such.jar");
        assertTrue(assertThrows(IllegalArgumentException.class, () -> JarPolicy.of(missing)).getMessage()
                .startsWith("there-is-no-such.jar: there is no such file"));
    }
}
