package ryemast.lab.site;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static ryemast.lab.site.Rig.fault;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import ryemast.lab.scenario.Scenario.Fault;
import ryemast.lab.scenario.Scenario.FaultKind;
import ryemast.lab.scenario.Scenario.Telling;
import ryemast.lab.world.Chance;

class FaultInjectorTest {

    private final Rig rig = new Rig(knobs -> knobs.coldFor = 100_000_000);
    private FaultInjector injector;

    /** What becomes of boxes or dispatchers, as {@code word} picks the lines, under these faults. */
    private String run(String word, Fault... faults) {
        var other = rig.box(1, knobs -> knobs.coldFor = 100_000_000,
                new Telling(false, 0, 1, 0), 7);
        other.begin();
        var scenario = CatalogueTest.scenario(List.of(faults));
        var boxes = List.of(rig.box, other);
        var control = Rig.heard(DispatcherControl.class, (method, said) -> rig.note(method + " " + said[0]));
        injector = new FaultInjector(scenario, boxes,
                new Catalogue(scenario, boxes, (dispatcher, box) -> "", rig.time, rig.books),
                new Spells(scenario.faults()), control, rig.time);
        rig.log.clear();
        rig.box.onDoor(door -> rig.note("door " + door));
        injector.begin();
        rig.run(10_000_000);
        return String.join(", ",
                rig.log.stream().filter(line -> line.matches("\\d+ (" + word + ").*")).toList());
    }

    private static Fault every(FaultKind kind, long at, long lasts, long every, Integer... targets) {
        return new Fault(kind, at, lasts, List.of(targets), -1, 0, 0, 0, every);
    }

    @Test
    void overlappingFaultsKeepABoxDownUntilTheLastIsOver() {
        assertEquals("1000 door REFUSES, 2000 door SILENT, 6000 door REFUSES, 9000 door OPEN", run("door",
                fault(FaultKind.CRASH, 1_000, 3_000, 0, 0, 0), fault(FaultKind.VANISH, 2_000, 4_000, 0, 0, 0),
                fault(FaultKind.CRASH, 3_000, 6_000, 0, 0, 0)));
        assertEquals(List.of("0.001 s: crash: s-0, for 0.003 s", "0.002 s: vanish: s-0, for 0.004 s",
                "0.003 s: crash: s-0, for 0.006 s", "0.004 s: crash is over: s-0",
                "0.006 s: vanish is over: s-0", "0.009 s: crash is over: s-0"), injector.lines());
    }

    @Test
    void slowTwiceIsSlowerAndEachEndsByItself() {
        assertEquals("10 box0 READY 0.5, 20 box0 READY 0.125, 40 box0 READY 0.25, 50 box0 READY 1.0",
                run("box", fault(FaultKind.SLOW, 10, 30, 0, 2, 0), fault(FaultKind.SLOW, 20, 30, 0, 4, 0)));
    }

    @Test
    void flapsUpAndDownInTurnsAndEndsUp() {
        assertEquals("10 door REFUSES, 20 door OPEN, 30 door REFUSES, 35 door OPEN",
                run("door", every(FaultKind.FLAPS, 10, 25, 10, 0)));
    }

    @Test
    void aReleaseDrainsOneAfterTheOtherForTheTimeAndUntilIdleThenRestsAndStartsCold() {
        rig.sendAt(0, "a", 100, 1, 0);
        assertEquals("10 box0 DRAINING 1.0, 100 box0 DOWN 0.0, 1000100 box0 READY 0.5, "
                + "2000010 box1 DRAINING 1.0, 2000060 box1 DOWN 0.0, 3000060 box1 READY 0.5",
                run("box", every(FaultKind.ROLLING_RELEASE, 10, 50, 2_000_000, 0, 1)));
    }

    @Test
    void aBoxThatRestartsWhileItOughtToDrainDrains() {
        assertEquals("10 box0 DRAINING 1.0, 20 box0 DOWN 0.0, 30 box0 READY 0.5, 30 box0 DRAINING 0.5, "
                + "60 box0 DOWN 0.0, 1000060 box0 READY 0.5", run("box",
                fault(FaultKind.DRAIN, 10, 50, 0, 0, 0), fault(FaultKind.CRASH, 20, 10, 0, 0, 0)));
    }

    @Test
    void dispatchersDieAndStandStillForAsLongAsAnyFaultSays() {
        assertEquals("10 kill 1, 50 restart 1, 60 end 0, 70 pause 0, 90 resume 0", run("[a-z]+ \\d$",
                fault(FaultKind.DISPATCHER_KILL, 10, 30, 0, 0, 1),
                fault(FaultKind.DISPATCHER_KILL, 20, 30, 0, 0, 1),
                fault(FaultKind.DISPATCHER_RESTART, 60, 0, 0, 0, 0),
                fault(FaultKind.DISPATCHER_PAUSE, 70, 20, 0, 0, 0)));
    }

    @Test
    void sharesOfTwoFaultsComposeAndOnlyTheirClassIsStruck() {
        var ills = new Ills(new Chance(7).stream("box", 0));
        ills.add(fault(FaultKind.ERRORS, 0, 0, 0.5, 0));
        ills.add(new Fault(FaultKind.ERRORS, 0, 0, List.of(), 1, 0.5, 0, 0, 0));
        // a half of class 0, three quarters of class 1; over four standard deviations of 10,000 draws
        for (int jobClass = 0; jobClass < 2; jobClass++) {
            int number = jobClass;
            long struck = IntStream.range(0, 10_000).filter(i -> ills.strikes(FaultKind.ERRORS, number))
                    .count();
            assertEquals(jobClass == 0 ? 5_000 : 7_500, struck, 220);
        }
        assertEquals(false, ills.strikes(FaultKind.LOST, 0));
    }

    @Test
    void aSpellMakesItsClassHeavierInItsTimeAndShiftsNoOtherDraw() {
        var spells = new Spells(List.of(new Fault(FaultKind.HEAVY, 10, 20, List.of(), 1, 1, 5, 28, 0),
                new Fault(FaultKind.POISONED, 10, 20, List.of(), 1, 1, 0, 0, 0)));
        var draw = new Chance(7).stream("job", 0);
        var same = new Chance(7).stream("job", 0);
        assertEquals(1, spells.factor(1, 15, draw));
        spells.begin(100);
        same.nextDouble();
        same.nextDouble();
        for (var each : new long[][] {{1, 109}, {0, 115}, {1, 115}, {1, 130}}) {
            boolean on = each[0] == 1 && each[1] == 115;
            same.nextDouble();
            double size = 5 + 23 * same.nextDouble();
            assertEquals(on ? size : 1, spells.factor((int) each[0], each[1], draw), 1e-9);
            same.nextDouble();
            assertEquals(on, spells.poisoned((int) each[0], each[1], draw));
        }
    }
}
