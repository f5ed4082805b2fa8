package ryemast.lab.site;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import ryemast.lab.scenario.Scenario.CancelReach;
import ryemast.lab.scenario.Scenario.FaultKind;
import ryemast.lab.scenario.Scenario.Telling;
import ryemast.lab.scenario.Scenario.WarmBy;

/** Each behaviour against a case worked by hand: times in microseconds since the start, work after ends. */
class BoxTest {

    /** What is expected: all lines that hold the word, in order, without the rest. */
    private record Case(String name, Consumer<Rig.Knobs> box, Consumer<Rig> script, String word,
            String expected) {
    }

    private static final Consumer<Rig.Knobs> PLAIN = knobs -> { };

    private static void ill(Rig rig, FaultKind kind, long lasts, double size) {
        var fault = Rig.fault(kind, 0, lasts, 1, size, 0);
        rig.box.suffer(fault);
        rig.at(lasts, () -> rig.box.recover(fault));
    }

    private static final List<Case> CASES = List.of(
            new Case("first come first served, one waits, beyond it turned away", PLAIN, rig -> {
                rig.sendAt(0, "a", 100, 1, 0);
                rig.sendAt(10, "b", 50, 1, 0);
                rig.sendAt(20, "c", 50, 1, 0);
            }, "", """
                    0 a TAKEN
                    0 va 202
                    0 a began
                    10 b TAKEN
                    10 vb 202
                    20 c TURNED_AWAY
                    20 vc away
                    100 a DONE 100
                    100 {a done result:a solved by s-0}
                    100 b began
                    150 b DONE 50
                    150 {b done result:b solved by s-0}"""),
            new Case("the head waits until it fits and nothing overtakes it; too wide a job is turned away",
                    knobs -> {
                        knobs.cores = 4;
                        knobs.slots = 4;
                        knobs.queue = 5;
                    }, rig -> {
                        rig.sendAt(0, "a", 100, 3, 0);
                        rig.sendAt(1, "b", 100, 2, 0);
                        rig.sendAt(2, "c", 10, 1, 0);
                        rig.sendAt(3, "d", 10, 5, 0);
                    }, "(began|AWAY)", """
                    0 a began
                    3 d TURNED_AWAY
                    100 b began
                    100 c began"""),
            // alone 40, then three on two cores: a's last 60 take 90, then b and c have a core each
            new Case("more jobs than cores share them", knobs -> {
                knobs.cores = 2;
                knobs.slots = 3;
            }, rig -> {
                rig.sendAt(0, "a", 100, 1, 0);
                rig.sendAt(40, "b", 100, 1, 0);
                rig.sendAt(40, "c", 70, 1, 0);
            }, "DONE", """
                    130 a DONE 100
                    140 c DONE 70
                    170 b DONE 100"""),
            // by time: the integral of 0.5 + t / 2000 over 1000 is 750, then 250 at full speed
            new Case("cold by time", knobs -> knobs.startsCold = true,
                    rig -> rig.sendAt(0, "a", 1_000, 1, 0), "(DONE|READY)", """
                    1000 box0 READY 1.0
                    1250 a DONE 1000"""),
            // w' = (1 + w) / 2000 from 1/2: warm at 2000 ln(4/3) = 575.36, having done 1000 - 575.36 = 424.64
            new Case("cold by work, busy", knobs -> {
                knobs.startsCold = true;
                knobs.warmBy = WarmBy.WORK;
            }, rig -> rig.sendAt(0, "a", 1_000, 1, 0), "DONE", "1151 a DONE 1000"),
            new Case("cold by work, idle: no later than by time", knobs -> {
                knobs.startsCold = true;
                knobs.warmBy = WarmBy.WORK;
            }, rig -> rig.sendAt(1_000, "a", 100, 1, 0), "DONE", "1100 a DONE 100"),
            // at 500 it has 0.75: 4 x 0.75 x 1000 = 3000 is allowed, 1500 + 1500 not more, the next job is
            new Case("pushed cold, it falls over by what arrives, taken or not, and stays down", knobs -> {
                knobs.startsCold = true;
                knobs.queue = 0;
            }, rig -> {
                rig.sendAt(500, "a", 1_500, 1, 0);
                rig.sendAt(500, "b", 1_500, 1, 0);
                rig.sendAt(501, "c", 10, 1, 0);
                rig.at(600, rig.box::start);
            }, "", """
                    500 a TAKEN
                    500 va 202
                    500 a began
                    500 b TURNED_AWAY
                    500 vb away
                    501 c RESET
                    501 box0 FELL_OVER 0.0
                    501 a LOST 1
                    501 va reset
                    501 vb reset
                    501 vc reset
                    100501 {a lost}"""),
            new Case("what came a window ago does not count", knobs -> {
                knobs.startsCold = true;
                knobs.coldFor = 1_000_000;
            }, rig -> {
                rig.sendAt(0, "a", 1_990, 1, 0);
                rig.sendAt(1_000, "b", 1_990, 1, 0);
            }, "(TAKEN|RESET)", """
                    0 a TAKEN
                    1000 b TAKEN"""),
            new Case("drains: finishes what it has, turns away what comes", PLAIN, rig -> {
                rig.sendAt(0, "a", 100, 1, 0);
                rig.sendAt(0, "b", 100, 1, 0);
                rig.at(10, rig.box::drain);
                rig.sendAt(20, "c", 100, 1, 0);
                rig.at(30, () -> rig.box.whenIdle(rig.box::stop));
            }, "(DONE|AWAY|box)", """
                    10 box0 DRAINING 1.0
                    20 c TURNED_AWAY
                    100 a DONE 100
                    200 b DONE 100
                    200 box0 DOWN 0.0"""),
            new Case("drains and hands back", knobs -> knobs.handsBack = true, rig -> {
                rig.sendAt(0, "a", 100, 1, 0);
                rig.sendAt(0, "b", 100, 1, 0);
                rig.at(10, rig.box::drain);
            }, "(RETURNED|returned|DONE)", """
                    10 b RETURNED 0
                    10 {b returned}
                    100 a DONE 100"""),
            new Case("crash: jobs lost, the agent says so, connections reset; restarts cold", PLAIN, rig -> {
                rig.sendAt(0, "a", 100, 1, 0);
                rig.sendAt(0, "b", 100, 1, 0);
                rig.at(30, rig.box::crash);
                rig.sendAt(40, "c", 100, 1, 0);
                rig.at(50, rig.box::start);
                rig.at(60, () -> rig.note(rig.box.door().toString()));
            }, "(LOST|lost|reset|box|OPEN|not)", """
                    30 box0 DOWN 0.0
                    30 a LOST 30
                    30 b LOST 0
                    30 va reset
                    30 vb reset
                    40 vc not let in
                    40 vc reset
                    50 box0 READY 0.5
                    60 OPEN
                    1050 box0 READY 1.0
                    100030 {a lost}
                    100030 {b lost}"""),
            new Case("vanishes: silence, and resets once it is back", PLAIN, rig -> {
                rig.sendAt(0, "a", 100, 1, 0);
                rig.at(30, rig.box::vanish);
                rig.at(40, () -> rig.send(rig.visit("w"), "a", 0));
                rig.at(50, rig.box::start);
            }, "", """
                    0 a TAKEN
                    0 va 202
                    0 a began
                    30 box0 DOWN 0.0
                    30 a LOST 30
                    40 w not let in
                    40 a NONE
                    50 va reset
                    50 box0 READY 0.5
                    1050 box0 READY 1.0"""),
            cancel(CancelReach.NONE, "10 a given up\n10 b given up\n100 a DONE 100\n200 b DONE 100"),
            cancel(CancelReach.QUEUED, "10 a given up\n10 b given up\n10 b CANCELLED 0\n100 a DONE 100"),
            cancel(CancelReach.ALL, "10 a given up\n10 a CANCELLED 10\n10 b given up\n10 b CANCELLED 0"),
            new Case("a job that goes on though given up may be sent again", knobs -> {
                knobs.cancel = CancelReach.QUEUED;
            }, rig -> {
                rig.sendAt(0, "a", 100, 1, 0);
                rig.at(10, () -> rig.box.cancel(0, "a"));
                rig.sendAt(20, "a", 100, 1, 0);
            }, "(DONE|done)", """
                    100 a DONE 100
                    200 a DONE 100
                    200 {a done result:a solved by s-0}"""),
            new Case("time is up: dropped where it waits, stopped where it runs", PLAIN, rig -> {
                rig.sendAt(0, "a", 100, 1, 60);
                rig.sendAt(0, "b", 100, 1, 50);
            }, "(CANCELLED|\\{)", """
                    50 b CANCELLED 0
                    60 a CANCELLED 60"""),
            new Case("time is up where only what waits is dropped",
                    knobs -> knobs.cancel = CancelReach.QUEUED, rig -> {
                        rig.sendAt(0, "a", 100, 1, 60);
                        rig.sendAt(0, "b", 100, 1, 50);
                    }, "(CANCELLED|DONE)", """
                    50 b CANCELLED 0
                    100 a DONE 100"""),
            new Case("no id, an unknown id, an id that it holds", PLAIN, rig -> {
                rig.at(0, () -> rig.send(rig.visit("u"), null, 0));
                rig.at(1, () -> rig.send(rig.visit("v"), "x", 0));
                rig.sendAt(2, "a", 100, 1, 0);
                rig.sendAt(3, "a", 100, 1, 0);
            }, "(UNUSABLE|40)", """
                    0 null UNUSABLE
                    0 u 404
                    1 x UNUSABLE
                    1 v 400
                    3 a UNUSABLE
                    3 va 400"""),
            // 30 of handshake work shares the core with a's first 30 until 80: a has 70 left
            new Case("a handshake delays the first request and costs work", knobs -> {
                knobs.handshake = 20;
                knobs.handshakeWork = 50;
            }, rig -> rig.sendAt(0, "a", 100, 1, 0), "(TAKEN|DONE)", """
                    20 a TAKEN
                    150 a DONE 100"""),
            new Case("a connection that ends in its handshake gives its request up", knobs -> {
                knobs.handshake = 20;
            }, rig -> {
                rig.job("a", 100, 1, false);
                var visit = rig.visit("v");
                rig.send(visit, "a", 0);
                rig.at(10, () -> rig.box.ended(visit));
            }, "", "10 a given up\n10 a NONE"),
            new Case("so many connections, closed when idle", knobs -> {
                knobs.connections = 2;
                knobs.idleLimit = 100;
            }, rig -> {
                rig.visit("u");
                var visit = rig.visit("v");
                rig.visit("w");
                rig.job("a", 10, 1, false);
                rig.at(60, () -> rig.send(visit, "a", 0));
                rig.at(100, () -> rig.visit("x"));
            }, "(close|not)", """
                    0 w not let in
                    100 u close
                    160 v close
                    200 x close"""),
            new Case("own errors", knobs -> knobs.errorShare = 1, rig -> rig.sendAt(0, "a", 100, 1, 0),
                    "(FAILED|\\{)", "100 a FAILED 100\n100 {a failed}"),
            new Case("a poisoned job", PLAIN, rig -> {
                rig.job("a", 100, 1, true);
                rig.send(rig.visit("v"), "a", 0);
            }, "(FAILED|\\{)", "100 a FAILED 100\n100 {a failed}"),
            new Case("never starts: a place in the queue until the fault is over", PLAIN, rig -> {
                ill(rig, FaultKind.NEVER_STARTS, 50, 0);
                rig.sendAt(0, "a", 100, 1, 0);
                rig.sendAt(10, "b", 100, 1, 0);
            }, "(TAKEN|began|LOST|\\{)", """
                    0 a TAKEN
                    10 b TAKEN
                    50 a LOST 0
                    50 b LOST 0"""),
            new Case("never ends: its slots until the fault is over, no core, no progress", PLAIN, rig -> {
                ill(rig, FaultKind.NEVER_ENDS, 500, 0);
                rig.sendAt(0, "a", 100, 1, 0);
                rig.sendAt(500, "b", 100, 1, 0);
            }, "(began|LOST|DONE|\\{)", """
                    0 a began
                    500 a LOST 0
                    500 b began
                    600 b DONE 100
                    600 {b done result:b solved by s-0}"""),
            // 20 at full speed, 20 in 80 at a quarter, 60 at full speed
            new Case("slow", PLAIN, rig -> {
                rig.sendAt(0, "a", 100, 1, 0);
                rig.at(20, () -> ill(rig, FaultKind.SLOW, 100, 4));
            }, "(DONE|box)", """
                    20 box0 READY 0.25
                    100 box0 READY 1.0
                    160 a DONE 100"""),
            ill("resets", FaultKind.RESETS, "0 a RESET\n0 va reset"),
            ill("errors", FaultKind.ERRORS,
                    "0 a TAKEN\n0 va 202\n0 a began\n100 a FAILED 100\n100 {a failed}"),
            ill("turned away", FaultKind.TURNED_AWAY, "0 a TURNED_AWAY\n0 va away"),
            new Case("kept connections dropped after 2 ms", PLAIN, rig -> {
                ill(rig, FaultKind.KEPT_DROPPED, 10_000, 2);
                var visit = rig.visit("v");
                rig.job("a", 10, 1, false);
                rig.job("b", 10, 1, false);
                rig.at(1_999, () -> rig.send(visit, "a", 0));
                rig.at(3_999, () -> rig.send(visit, "b", 0));
            }, "(TAKEN|RESET|reset)", """
                    1999 a TAKEN
                    3999 b RESET
                    3999 v reset"""));

    private static Case cancel(CancelReach reach, String expected) {
        return new Case("cancel reaches " + reach + "; what is cancelled is told of no more", knobs -> {
            knobs.cancel = reach;
        }, rig -> {
            rig.sendAt(0, "a", 100, 1, 0);
            rig.sendAt(0, "b", 100, 1, 0);
            rig.at(10, () -> {
                rig.box.cancel(0, "a");
                rig.box.cancel(0, "b");
            });
        }, "(given|CANCELLED|DONE|\\{)", expected);
    }

    private static Case ill(String name, FaultKind kind, String expected) {
        return new Case(name, PLAIN, rig -> {
            ill(rig, kind, 50, 0);
            rig.sendAt(0, "a", 100, 1, 0);
        }, "", expected);
    }

    @TestFactory
    Stream<DynamicTest> cases() {
        return CASES.stream().map(each -> DynamicTest.dynamicTest(each.name, () -> {
            var rig = new Rig(each.box);
            each.script.accept(rig);
            rig.run(200_000);
            var seen = rig.log.stream().filter(line -> line.matches(".*" + each.word + ".*")).toList();
            assertEquals(each.expected, String.join("\n", seen));
        }));
    }

    @Test
    void callBacksAreTriedInOrderAndLaterNewsReplacesProgress() {
        var rig = new Rig(PLAIN, new Telling(true, 30, 3, 50));
        rig.at(60, () -> rig.status = 503);
        rig.at(110, () -> rig.status = 204);
        rig.status = 0;
        rig.sendAt(0, "a", 100, 1, 0);
        rig.run(1_000);
        assertEquals(List.of("0 {a started}", "50 {a started}", "100 {a started}",
                "100 {a done result:a solved by s-0}", "150 {a done result:a solved by s-0}"),
                rig.log.stream().filter(line -> line.contains("{")).toList());
    }

    @Test
    void progressIsTheShareOfTheWorkAndADeadProcessSaysNothing() {
        var rig = new Rig(PLAIN, new Telling(true, 40, 3, 50));
        rig.sendAt(0, "a", 100, 1, 0);
        rig.at(90, rig.box::crash);
        rig.run(1_000);
        assertEquals(List.of("0 {a started}", "40 {a running share:0.4}", "80 {a running share:0.8}"),
                rig.log.stream().filter(line -> line.contains("{")).toList());
    }

    @Test
    void aLostJobEndsSomewhereOnItsWayAndTheSameSeedLosesItThere() {
        var runs = Stream.of(3L, 3L, 4L).map(seed -> {
            var rig = new Rig(PLAIN, new Telling(false, 0, 2, 50), seed);
            ill(rig, FaultKind.LOST, 50, 0);
            rig.sendAt(0, "a", 1_000, 1, 0);
            return rig.run(2_000);
        }).toList();
        var end = runs.get(0).lines().filter(line -> line.contains("LOST")).findFirst().orElseThrow()
                .split(" ");
        assertEquals(Double.parseDouble(end[0]), Double.parseDouble(end[3]), 1);
        assertEquals(runs.get(0), runs.get(1));
        assertEquals(false, runs.get(0).equals(runs.get(2)));
    }
}
