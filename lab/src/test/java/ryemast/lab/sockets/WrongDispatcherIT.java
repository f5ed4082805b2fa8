package ryemast.lab.sockets;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import ryemast.lab.books.Judge;
import ryemast.lab.books.Rule;
import ryemast.lab.books.Verdict;
import ryemast.lab.scenario.Scenario.Effect;
import ryemast.lab.scenario.Scenario.FaultKind;
import ryemast.lab.sockets.WrongDispatcher.Wrong;

/** What a dispatcher does wrong on real sockets is named by the rules, from the books alone. */
class WrongDispatcherIT {

    @TempDir
    Path folder;

    private Verdict verdict(Wrong wrong, Plan plan) throws Exception {
        try (var dispatcher = new WrongDispatcher(wrong, folder);
                var site = new EmulatedSite(plan.scenario(), EmulatedSite.Options.standard()
                        .withFolder(folder).withExternal(dispatcher.address()))) {
            site.start();
            site.run(progress -> { });
            assertEquals(0, site.failures());
            return Judge.judge(plan.scenario(), site.books());
        }
    }

    private static Plan plan() {
        var plan = new Plan();
        plan.length = Plan.SECOND;
        plan.effect = Effect.SINGLE_SHOT;
        return plan;
    }

    @Test
    void aSimpleOneThatDoesNothingWrongBreaksNoRule() throws Exception {
        assertEquals(0, verdict(Wrong.NOTHING, plan()).broken());
    }

    @Test
    void aJobSentTwice() throws Exception {
        assertEquals(Set.of(Rule.NO_EFFECT_TWICE), verdict(Wrong.SENDS_TWICE, plan()).byRule().keySet());
    }

    @Test
    void anAnswerLost() throws Exception {
        assertEquals(Set.of(Rule.ONE_ANSWER), verdict(Wrong.LOSES_ANSWERS, plan()).byRule().keySet());
    }

    @Test
    void anAnswerThatNoBoxMade() throws Exception {
        assertEquals(Set.of(Rule.ONE_ANSWER), verdict(Wrong.MAKES_ANSWERS_UP, plan()).byRule().keySet());
    }

    @Test
    void aDrainedBoxUsed() throws Exception {
        var plan = plan().fault(FaultKind.DRAIN, 0.2, 1.5, 0);
        plan.length = 2 * Plan.SECOND;
        assertEquals(Set.of(Rule.DRAIN), verdict(Wrong.USES_THE_DRAINED, plan).byRule().keySet());
    }

    /** 300 jobs of 20 ms are 6 cores' work, and the cold box has four tenths of one: 4 times that is 1.6. */
    @Test
    void aColdBoxFlooded() throws Exception {
        var plan = plan();
        plan.boxes = 2;
        plan.cores = 4;
        plan.startsCold = true;
        plan.startCapacity = 0.1;
        plan.rate = 300;
        plan.work = 20_000;
        assertEquals(Set.of(Rule.COLD), verdict(Wrong.FLOODS_THE_COLD, plan).byRule().keySet());
    }
}
