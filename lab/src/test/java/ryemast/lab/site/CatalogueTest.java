package ryemast.lab.site;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.scenario.Scenario.Discovery;
import ryemast.lab.scenario.Scenario.Dispatchers;
import ryemast.lab.scenario.Scenario.Fault;
import ryemast.lab.scenario.Scenario.Telling;

/** Notice after 20, of what nobody tells of after 100, of starts after 10; a call takes 5, 50 at most. */
class CatalogueTest {

    private static final String S0 = "s-0@0 Ready";
    private static final String S1 = "s-1@0 Ready";

    private final Rig rig = new Rig(knobs -> { });
    private final List<Box> boxes = new ArrayList<>(List.of(rig.box));
    private final Catalogue catalogue = catalogue(2);

    static Scenario scenario(List<Fault> faults) {
        return new Scenario("", "", 7, 0, 0, List.of("a"), List.of("m"), List.of(), List.of(), List.of(),
                null, null, new Dispatchers(2, 0, 0, 0, 0), new Discovery(20, 100, 10, 5, 50, 200), null,
                null, null, faults);
    }

    private Catalogue catalogue(int count) {
        IntStream.range(1, count).forEach(
                i -> boxes.add(rig.box(i, knobs -> { }, new Telling(false, 0, 2, 50), 7)));
        var made = new Catalogue(scenario(List.of()), boxes,
                (dispatcher, box) -> "h" + box + ":" + dispatcher, rig.time, rig.books);
        boxes.stream().skip(1).forEach(Box::begin);
        rig.log.clear();
        return made;
    }

    private Tell call(String name, boolean watch, long from) {
        var tell = Rig.heard(Tell.class, (method, said) -> rig.note(name + " " + switch (method) {
            case "head" -> said[0].toString();
            case "line" -> said[0].toString().replaceAll("[{}\\[\\]\"]", "").replaceAll(
                    "id:(s-.),addr:h.:(.),zone:a,kind:m,cell:3,state:(\\w+),weight:1.0,started_ms:0",
                    "$1@$2 $3");
            default -> (boolean) said[0] ? "broken" : "end";
        }));
        catalogue.call(0, watch, from, tell);
        return tell;
    }

    private List<String> said(long until, String word) {
        rig.run(until);
        return rig.log.stream().filter(line -> line.matches("\\d+ (" + word + ").*")).toList();
    }

    @Test
    void theListIsTheProtocolsJsonAndIsWrittenDown() {
        assertEquals("{\"version\":2,\"full\":true,\"servers\":["
                + "{\"id\":\"s-0\",\"addr\":\"h0:1\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":3,"
                + "\"state\":\"Ready\",\"weight\":1.0,\"started_ms\":0},"
                + "{\"id\":\"s-1\",\"addr\":\"h1:1\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":3,"
                + "\"state\":\"Ready\",\"weight\":1.0,\"started_ms\":0}]}", catalogue.known(1));
        call("c", false, 0);
        assertEquals(List.of("5 c 200", "5 listed to 0: 0 READY", "5 listed to 0: 1 READY",
                "5 c version:2,full:true,servers:" + S0 + "," + S1), said(1_000, ".*"));
    }

    @Test
    void callsAreWorkedThroughInTurnAndFailWhenTheyHaveWaitedTooLong() {
        for (int i = 0; i < 12; i++) {
            call("c" + i, false, 0);
        }
        assertEquals(List.of("5 c0 200", "10 c1 200", "45 c8 200", "50 c10 503", "50 c11 503"),
                said(1_000, "c(0|1|8|10|11) \\d"));
    }

    @Test
    void aWatchIsToldWhatChangedLateAndBeatsWhileNothingDoes() {
        call("w", true, 2);
        rig.at(100, rig.box::drain);
        rig.at(110, rig.box::stop);
        assertEquals(List.of("5 w 200", "5 w version:2,full:false,servers:",
                "120 w version:3,full:false,servers:s-0@0 Terminating",
                "130 w version:4,full:false,servers:s-0@0 Gone", "330 w ", "530 w "), said(600, "w"));
    }

    @Test
    void whatAWatchMissedComesFirstEachBoxOnceAndTheWholeListWhereTheVersionIsUnknown() {
        rig.at(0, rig.box::drain);
        rig.at(1, rig.box::stop);
        rig.run(60);
        call("w", true, 1);
        call("x", true, 99);
        call("y", true, 0);
        assertEquals(List.of("65 w version:4,full:false,servers:" + S1 + ",s-0@0 Gone",
                "70 x version:4,full:true,servers:" + S1, "75 y version:4,full:true,servers:" + S1),
                said(100, "[wxy] v"));
    }

    @Test
    void aDispatcherThatStartsAnewIsHandedTheListThatItHadLast() {
        var watch = call("w", true, 2);
        rig.at(100, rig.box::drain);
        rig.run(150);
        catalogue.gone(watch);
        rig.at(200, rig.box::stop);
        rig.at(260, rig.box::start);
        rig.run(600);
        assertTrue(catalogue.known(0).startsWith("{\"version\":3,"), catalogue.known(0));
        assertTrue(catalogue.known(0).contains("Terminating"), catalogue.known(0));
        assertFalse(catalogue.known(1).contains("Terminating"), catalogue.known(1));
    }

    @Test
    void aRestartIsListedWithItsTimeAndOvertakesTheCrashThatNobodyToldOf() {
        rig.at(0, rig.box::crash);
        rig.at(60, rig.box::start);
        rig.at(300, boxes.get(1)::vanish);
        assertEquals(List.of("70 listable 0 READY", "400 listable 1 DOWN"), said(1_000, "listable"));
        assertTrue(catalogue.known(0).contains("\"started_ms\":" + (Rig.START + 60) / 1_000));
    }

    @Test
    void whileItStallsNothingIsSaidAndTheNewsComeAfterwards() {
        call("w", true, 2);
        rig.at(10, catalogue::stall);
        rig.at(20, rig.box::drain);
        rig.at(30, () -> call("c", false, 0));
        rig.at(285, () -> call("d", false, 0));
        rig.at(300, catalogue::goOn);
        assertEquals(List.of("80 c broken", "300 w version:3,full:false,servers:s-0@0 Terminating",
                "305 d 200", "500 w "), said(600, "(w|c|d) (|b.*|2.*|version:3,full:f.*)$").stream()
                .filter(line -> !line.startsWith("5 ")).toList());
    }

    @Test
    void whenItGoesDownWatchesEndAndCallsFail() {
        call("w", true, 2);
        rig.at(10, () -> call("c", false, 0));
        rig.at(12, catalogue::goDown);
        rig.at(20, () -> call("d", false, 0));
        rig.at(30, catalogue::comeUp);
        rig.at(40, () -> call("e", false, 0));
        assertEquals(List.of("12 w broken", "12 c broken", "20 d 503", "20 d ", "45 e 200"),
                said(300, "(w b|c|d|e 2)"));
    }

    @Test
    void aCallWhoseConnectionEndsIsNotAnsweredAndHoldsUpNobody() {
        var first = call("c", false, 0);
        call("d", false, 0);
        rig.at(3, () -> catalogue.gone(first));
        var watch = call("w", true, 2);
        rig.at(20, () -> catalogue.gone(watch));
        assertEquals(List.of("8 d 200", "13 w 200"), said(1_000, "\\w (2|$)"));
    }

    @Test
    void oneChangeAmongTenThousandIsOneEntry() {
        var many = new Rig(knobs -> { });
        boxes.clear();
        IntStream.range(0, 10_000).forEach(
                i -> boxes.add(many.box(i, knobs -> { }, new Telling(false, 0, 2, 50), 7)));
        var big = new Catalogue(scenario(List.of()), boxes, (dispatcher, box) -> "h:1", many.time,
                many.books);
        boxes.forEach(Box::begin);
        many.log.clear();
        big.call(0, true, big.version(), Rig.heard(Tell.class, (method, said) -> { }));
        many.at(10, boxes.get(5_000)::drain);
        many.run(100);
        assertEquals(List.of("10 box5000 DRAINING 1.0", "30 listable 5000 DRAINING",
                "30 listed to 0: 5000 DRAINING"), many.log);
    }
}
