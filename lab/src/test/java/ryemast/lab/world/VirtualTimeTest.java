package ryemast.lab.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class VirtualTimeTest {

    private final VirtualTime time = new VirtualTime(100);
    private final List<String> ran = new ArrayList<>();

    private Timeline.Timer note(long at, String name) {
        return time.at(at, () -> ran.add(time.now() + name));
    }

    @Test
    void runsInOrderOfTimeThenOfSettingAndAPastTimeAtOnce() {
        note(120, "c");
        note(110, "a");
        note(50, "past");
        note(120, "d").cancel();
        note(110, "b");
        time.at(110, () -> note(110, "set by a step"));
        note(121, "later");
        time.advanceTo(120);
        assertEquals(List.of("100past", "110a", "110b", "110set by a step", "120c"), ran);
        assertEquals(120, time.now());
        assertEquals(1, time.waiting());
    }

    @Test
    void stopsWhereTheConditionHoldsOrNothingIsDue() {
        note(110, "a");
        note(120, "b");
        assertTrue(time.runUntil(() -> ran.size() == 1, 1_000));
        assertEquals(110, time.now());
        assertFalse(time.runUntil(() -> ran.size() == 3, 1_000));
        assertEquals(120, time.now());
    }

    @Test
    void sweepsOutCancelledStepsAndKeepsTheRest() {
        for (int i = 0; i < 5_000; i++) {
            var timer = note(1_000 + i, "");
            if (i % 10 != 0) {
                timer.cancel();
                timer.cancel();
            }
        }
        assertEquals(500, time.waiting());
        time.advanceTo(10_000);
        assertEquals(500, ran.size());
        assertEquals(0, time.waiting());
    }
}
