package ryemast.lab.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import ryemast.lab.load.LoadPlan;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.scenario.Scenario.Fault;
import ryemast.lab.scenario.Scenario.FaultKind;
import ryemast.lab.sockets.EmulatedSite.Progress;

class FaultWordsTest {

    private static final long SECOND = 1_000_000;
    private final Scenario site = new LoadPlan(5, 1, 10, 9.6, 0, 5, 2, 0.02, 0, 0, 0, 0, true, 1)
            .scenario(1024, 192);

    private static Fault fault(FaultKind kind, long at, long lasts, Integer... targets) {
        return new Fault(kind, at, lasts, List.of(targets), -1, 0.25, 5, 28, 2 * SECOND);
    }

    @Test
    void namesWhomItStrikesAndForHowLong() {
        assertEquals("box s-00002: the process dies; back, and cold, in 4.5 s",
                FaultWords.of(fault(FaultKind.CRASH, 0, 4_500_000, 2), site));
        assertEquals("boxes s-00000, s-00001, s-00002 and 1 more: 5 times slower for 3 s",
                FaultWords.of(fault(FaultKind.SLOW, 0, 3 * SECOND, 0, 1, 2, 3), site));
        assertEquals("all boxes: 25% of requests end in a reset for 3 s",
                FaultWords.of(fault(FaultKind.RESETS, 0, 3 * SECOND, 0, 1, 2, 3, 4), site));
        assertEquals("25% of jobs cost 5 to 28 times their work for 2 s",
                FaultWords.of(fault(FaultKind.HEAVY, 0, 2 * SECOND), site));
        assertEquals("dispatchers 0, 1 are killed outright, started anew in 1 s",
                FaultWords.of(fault(FaultKind.DISPATCHER_KILL, 0, SECOND, 0, 1), site));
        for (var kind : FaultKind.values()) {
            assertFalse(FaultWords.of(fault(kind, 0, SECOND, 1), site).isBlank(), kind::toString);
        }
    }

    @Test
    void aShorterRunKeepsItsFaultsInPlaceOrInProportion() {
        var faults = List.of(fault(FaultKind.CRASH, 2 * SECOND, SECOND, 1),
                fault(FaultKind.SLOW, 8 * SECOND, SECOND, 2));
        var whole = new Scenario(site.name(), site.title(), 1, 10 * SECOND, site.resolution(), site.zones(),
                site.kinds(), site.boxes(), site.classes(), site.tenants(), site.load(), site.clients(),
                site.dispatchers(), site.discovery(), site.telling(), site.rules(), site.goal(), faults);
        var cut = Shortened.cut(whole, 5 * SECOND);
        assertEquals(5 * SECOND, cut.length());
        assertEquals(List.of(faults.get(0)), cut.faults());
        var scaled = Shortened.scaled(whole, 5 * SECOND);
        assertEquals(4 * SECOND, scaled.faults().get(1).at());
        assertEquals(SECOND / 2, scaled.faults().get(1).lasts());
        assertEquals(SECOND, scaled.faults().get(1).every());
    }

    @Test
    void theStoryTellsFaultsWhenTheyStrikeAndRatesSinceTheLastLine() {
        var lines = new ArrayList<String>();
        var story = new Story(Shortened.cut(site, 10 * SECOND), lines::add);
        story.begins();
        story.at(new Progress(SECOND, 10 * SECOND, 10, 9, 1));
        story.at(new Progress(2 * SECOND, 10 * SECOND, 20, 18, 1));
        story.at(new Progress(4 * SECOND, 10 * SECOND, 60, 50, 0));
        assertEquals(List.of("  0.0 s  the dispatcher is ready: clients come",
                "  0.0 s  ! all boxes: 2% of requests end in a reset for 70 s",
                "  2.0 s  10 jobs a second come, 9 a second are answered, 2 are under way",
                "  4.0 s  ! 0 dispatchers can be reached",
                "  4.0 s  20 jobs a second come, 16 a second are answered, 10 are under way"), lines);
    }
}
