package ryemast.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class TickWheelTest {

    private static final long TICK = 5_000;

    @Test
    void everyTimerGoesOffOnceAtTheFirstTickAtOrAfterItsTime() {
        var random = new Random(7);
        long now = 1_234_567;
        var wheel = new TickWheel(TICK, now);
        var due = new ArrayList<Long>();
        long[] clock = {now};
        int set = 0;
        for (int turn = 0; turn < 3_000; turn++) {
            for (int i = random.nextInt(4); i > 0; i--) {
                long at = clock[0] + random.nextInt(6_000_000);
                wheel.set(at, () -> {
                    due.add(at);
                    assertTrue(clock[0] >= at, "early");
                });
                set++;
            }
            long before = clock[0];
            long pause = random.nextInt(4_000_000);
            clock[0] = turn % 10 == 0 ? before + pause : Math.max(before, wheel.nextDue());
            wheel.advance(clock[0]).forEach(Runnable::run);
        }
        clock[0] += 10_000_000;
        wheel.advance(clock[0]).forEach(Runnable::run);
        assertEquals(set, due.size());
    }

    @Test
    void aTimerIsLessThanATickLate() {
        var wheel = new TickWheel(TICK, 1_000);
        var ran = new ArrayList<String>();
        wheel.set(12_001, () -> ran.add("timer"));
        assertEquals(15_000, wheel.nextDue());
        assertTrue(wheel.advance(14_999).isEmpty());
        wheel.advance(15_000).forEach(Runnable::run);
        assertEquals(List.of("timer"), ran);
    }

    @Test
    void theOrderIsThatOfTheTicksEvenAfterALongPause() {
        var wheel = new TickWheel(TICK, 0);
        var ran = new ArrayList<Integer>();
        wheel.set(512 * TICK + TICK, () -> ran.add(3));
        wheel.set(2 * TICK, () -> ran.add(2));
        wheel.set(TICK, () -> ran.add(1));
        wheel.advance(5_000 * TICK).forEach(Runnable::run);
        assertEquals(List.of(1, 2, 3), ran);
    }

    @Test
    void aTimerThatIsCancelledStaysSilent() {
        var wheel = new TickWheel(TICK, 0);
        var ran = new ArrayList<Integer>();
        wheel.set(10_000, () -> ran.add(1)).cancel();
        wheel.advance(20_000).forEach(Runnable::run);
        assertFalse(ran.contains(1));
    }
}
