package ryemast.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class StartTimesTest {

    private static final long SECOND = 1_000_000;
    private static final long HOUR = 3_600 * SECOND;

    private long now = 1_800_000_000 * SECOND;
    private long step;
    private final StartTimes times = new StartTimes(() -> now, () -> now + step);

    /** A start that the worker's machine tells by the wall clock as it is now. */
    private long unixNow() {
        return now + step;
    }

    private long told(String worker, long unix) {
        times.read();
        return times.onLoop(worker, unix);
    }

    @Test
    void withoutAStepTimesStayAsTheyAre() {
        assertEquals(0, told("a", 0));
        assertEquals(now - 5 * SECOND, told("a", now - 5 * SECOND));
        assertEquals(now, told("b", now + HOUR), "a start to come is one of now");
    }

    /** It was taken to be warm for an hour: its start seemed an hour old, or was an hour ahead. */
    @Test
    void whatStartsAfterAStepOfAnHourIsColdWhicheverWayTheClockWasStepped() {
        for (long by : new long[] {HOUR, -HOUR, 20 * SECOND, -20 * SECOND}) {
            step += by;
            assertEquals(now, told("w" + by, unixNow()), "after a step by " + by);
            now += 3 * SECOND;
        }
    }

    @Test
    void whatStartedBeforeAStepIsAsOldAsItIs() {
        for (long by : new long[] {HOUR, -HOUR}) {
            long started = unixNow();
            long at = now;
            now += 5 * SECOND;
            step += by;
            assertEquals(at, told("w" + by, started), "told after a step by " + by);
            now += 3 * SECOND;
        }
    }

    @Test
    void aTimeThatWasTranslatedStaysSoThatNoWorkerSeemsToStartAnew() {
        long started = now - 90 * 60 * SECOND;
        long at = told("w", started);
        step -= HOUR;
        assertEquals(at, told("w", started));
        now += SECOND;
        assertEquals(now, told("w", unixNow()), "a later time is a new start");
        times.forget(List.of("w"));
        assertTrue(told("w", started) <= now);
    }

    /** In doubt it is colder than it is, by what the clock was stepped at most, and never warmer. */
    @Test
    void noWorkerIsEverTakenToBeWarmerThanItIs() {
        var random = new SplittableRandom(7);
        for (int i = 0; i < 5_000; i++) {
            if (random.nextInt(5) == 0) {
                step += random.nextLong(-HOUR, HOUR);
                times.read();
            }
            long started = unixNow();
            long at = now;
            now += random.nextLong(30 * SECOND);
            assertTrue(times.onLoop("w" + i, started) >= at - SECOND, "worker " + i);
        }
    }
}
