package ryemast.move;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.junit.jupiter.api.io.TempDir;
import ryemast.Planted;

/**
 * Every state of the two sides that can be reached is searched for one that breaks a rule: active at both
 * sites, a closed move without its room, promised beyond room, a fire claimed at both or at none, active
 * after closed, held room that is dropped, or a state from which all does not come to rest when faults end.
 * And the same search goes over sources with a fault each, to show that it would have seen them. With
 * {@code -Dmoves.deep=true} it goes deeper, for some minutes; docs/moves.md has what was seen.
 */
class MoverSearchTest {

    private static final int NOBODY = -1;
    private static final int A = 0;
    private static final int B = 1;
    private static final boolean DEEP = Boolean.getBoolean("moves.deep");
    /** Deeper than any: all states that can be reached. */
    private static final int ALL = 999;
    private static final String CALM = "called off, and answers from the past";
    private static final String LOST = "a box lost";
    private static final String PUT_BACK = "source put back";
    private static final String PLAIN = "source put back, the file as it was";
    private static final String FIRES_BACK = "fires, source put back";
    private static final String MOVERS = "two movers a side";
    private static final String TWO = "two services, a box lost";

    /** {@code states}: so many at least, lest a model in which nothing happens pass. */
    private record Row(Model.Setup setup, int states) {
    }

    private static final Map<String, Row> ROWS = new LinkedHashMap<>();

    private static void row(String name, int services, int movers, int wishes, boolean stale, int restored,
            boolean back, int fires, boolean loss, int epochs, int depth, int states) {
        ROWS.put(name, new Row(new Model.Setup(services, movers, wishes, stale, restored, back, fires,
                back ? 9 : services, loss, epochs, depth), states));
    }

    static {
        row(CALM, 1, 1, 2, true, NOBODY, false, 0, false, 3, ALL, 80_000);
        row(LOST, 1, 1, 1, true, NOBODY, false, 0, true, 2, ALL, 50_000);
        row("back", 1, 1, 0, true, NOBODY, true, 0, false, 3, ALL, 5_000);
        row(PUT_BACK, 1, 1, 2, false, A, false, 0, false, 1, ALL, 100_000);
        row(PLAIN, 1, 1, 0, false, A, false, 0, false, 1, ALL, 13_000);
        row("target put back", 1, 1, 1, false, B, false, 0, false, 2, ALL, 80_000);
        row("source put back, and back", 1, 1, 0, false, A, true, 0, false, 3, ALL, 100_000);
        row("target put back, and back", 1, 1, 0, false, B, true, 0, false, 3, ALL, 100_000);
        row("fires", 1, 1, 0, false, NOBODY, false, 2, false, 1, ALL, 30_000);
        row("fires, and back", 1, 1, 0, false, NOBODY, true, 2, false, 2, ALL, 100_000);
        row(FIRES_BACK, 1, 1, 0, false, A, false, 1, false, 1, ALL, 100_000);
        row(MOVERS, 1, 2, 0, false, NOBODY, false, 0, false, 1, ALL, 130_000);
        row(TWO, 2, 1, 0, false, NOBODY, false, 0, true, 1, 16, 150_000);
        if (DEEP) {
            row("deep: movers, called off", 1, 2, 1, false, NOBODY, false, 0, false, 1, ALL, 1);
            row("deep: movers, answers from the past", 1, 2, 0, true, NOBODY, false, 0, false, 1, ALL, 1);
            row("deep: movers, source put back", 1, 2, 0, false, A, false, 0, false, 1, ALL, 1);
            row("deep: movers, target put back", 1, 2, 0, false, B, false, 0, false, 1, ALL, 1);
            row("deep: movers, fires", 1, 2, 0, false, NOBODY, false, 1, false, 1, ALL, 1);
            row("deep: movers, back", 1, 2, 0, false, NOBODY, true, 0, false, 2, ALL, 1);
            row("deep: source put back", 1, 1, 2, false, A, false, 0, false, 2, ALL, 1);
            row("deep: source put back, a box lost", 1, 1, 1, false, A, false, 0, true, 2, ALL, 1);
            row("deep: target put back, a box lost", 1, 1, 1, false, B, false, 0, true, 2, ALL, 1);
            row("deep: fires, changed, source put back", 1, 1, 1, false, A, false, 1, false, 2, ALL, 1);
            row("deep: fires, source put back, and back", 1, 1, 0, false, A, true, 1, false, 2, ALL, 1);
            row("deep: fires, changed, a box lost", 1, 1, 1, false, NOBODY, false, 2, true, 2, ALL, 1);
            row("deep: movers, changed, source put back", 1, 2, 1, false, A, false, 0, false, 2, 17, 1);
            row("deep: movers, changed, target put back", 1, 2, 1, false, B, false, 0, false, 2, 17, 1);
            row("deep: two entries, source put back", 1, 1, 0, false, A, false, 2, false, 1, ALL, 1);
            row("deep: two services", 2, 1, 0, false, NOBODY, false, 0, true, 1, 28, 1);
            row("deep: movers, called off, the past", 1, 2, 1, true, NOBODY, false, 0, false, 1, 18, 1);
        }
    }

    /** {@code by}: the search that finds it. */
    private record Fault(String what, String file, String from, String to, String by) {
    }

    private static final String MOVER = "ryemast/move/Mover";
    private static final String SOURCE = "ryemast/move/Source";
    private static final String TARGET = "ryemast/move/Target";
    private static final String SIDE = "ryemast/move/Side";

    private static final List<Fault> FAULTS = List.of(
            new Fault("the target opens at once", TARGET, "other.since() + there.settle()", "other.since()",
                    CALM),
            new Fault("it opens without a second look", TARGET, "other.isAfter(own) && other.askedAt()",
                    "other.askedAt()", PLAIN),
            new Fault("it opens without having said so", TARGET, "new Side(side.epoch(), Phase.TAKEN",
                    "new Side(side.epoch(), Phase.OPEN", CALM),
            new Fault("it frees without the source's word", TARGET, "return off && other.isAfter(own)",
                    "return true", LOST),
            new Fault("it frees without a second look", TARGET, "return off && other.isAfter(own)",
                    "return off", PUT_BACK),
            new Fault("it holds beside the book", TARGET, "Room.HOLD", "Room.SAME", TWO),
            new Fault("a refusal is not heard", SOURCE,
                    "there.phase() == Phase.FREED || there.phase() == Phase.GIVING_UP", "false", LOST),
            new Fault("waiting fires are not taken over", SIDE, "source.exact, settle", "false, settle",
                    "fires"),
            new Fault("the source closes by an older move's room", SOURCE,
                    "ready = there.epoch() == side.epoch() && there", "ready = there", CALM),
            new Fault("what is closed is called off", SOURCE, "case CLOSED -> closed(here, own, there)",
                    "case CLOSED -> asking(here, own, other)", CALM),
            new Fault("it is away before the target has opened", SOURCE, "return open && here.inHand() == 0",
                    "return here.inHand() == 0", MOVERS),
            new Fault("it closes though later fires are claimed", SOURCE,
                    " || here.highestClaimed() > side.upTo()", "", "fires"),
            new Fault("a source that knows nothing serves", MOVER,
                    "(atRest || isChecked(here, other)) && ", "", PLAIN),
            new Fault("a source serves against what the target proves", MOVER,
                    " && !other.side().provesGone(own.side(), here.me())", "", PLAIN),
            new Fault("a source does not put its record right", MOVER,
                    "if (there.provesGone(side, here.me()))", "if (false)", PLAIN),
            new Fault("a source forgets what it asked for", MOVER, "there.provesAsked(side, here.me())",
                    "false", "target put back, and back"),
            new Fault("it is put right without a bound on fires", SOURCE,
                    "bounded = !side.phase().active()", "bounded = true",
                    FIRES_BACK),
            new Fault("marks of a backup are believed", SOURCE, "false, here.settle()", "true, here.settle()",
                    FIRES_BACK),
            new Fault("the target keeps the first closing moment", SIDE, "load, source.upTo, ALL,",
                    "load, after, ALL,", FIRES_BACK));

    @TestFactory
    List<DynamicTest> noStateBreaksARule() {
        return ROWS.entrySet().stream().map(each -> DynamicTest.dynamicTest(each.getKey(), () -> {
            long at = System.nanoTime();
            var seen = Search.search(each.getValue().setup);
            if (DEEP) {
                System.out.println(each.getKey() + ": " + seen + ", "
                        + (System.nanoTime() - at) / 1_000_000 + " ms");
            }
            assertNull(seen.breach());
            assertTrue(seen.states() >= each.getValue().states, "only " + seen.states() + " states");
            assertEquals(each.getValue().setup.depth() == ALL, seen.all());
        })).toList();
    }

    /** Called by name, so that it is of the loader that has the fault. */
    static String breach(String search) {
        return Search.search(ROWS.get(search).setup).breach();
    }

    @TestFactory
    List<DynamicTest> eachFaultIsFound(@TempDir Path folder) {
        return FAULTS.stream().map(fault -> DynamicTest.dynamicTest(fault.what, () -> {
            var loader = Planted.plant(fault.file, fault.from, fault.to,
                    folder.resolve(String.valueOf(FAULTS.indexOf(fault))));
            var search = loader.loadClass(MoverSearchTest.class.getName())
                    .getDeclaredMethod("breach", String.class);
            search.setAccessible(true);
            assertNotNull(search.invoke(null, fault.by), "not found by '" + fault.by + "'");
        })).toList();
    }
}
