package ryemast.net.http;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** What counts as much that came lately, on a clock that begins below zero. */
class RecentBytesTest {

    private static final long BEGIN = -TimeUnit.SECONDS.toNanos(1);
    private static final long WITHIN = TimeUnit.MILLISECONDS.toNanos(60);
    private static final long MUCH = 16 * 1024;

    private final RecentBytes recent = new RecentBytes(BEGIN);

    private static long millis(long count) {
        return BEGIN + TimeUnit.MILLISECONDS.toNanos(count);
    }

    @Test
    void whatCameAtOnceCountsUntilNothingHasComeForAWhile() {
        recent.add(BEGIN, 100_000);
        assertTrue(recent.isMoreThan(millis(59), MUCH, WITHIN));
        assertFalse(recent.isMoreThan(millis(60), MUCH, WITHIN));
        recent.add(millis(60), 1);
        assertTrue(recent.isMoreThan(millis(60), MUCH, WITHIN));
    }

    @Test
    void whatComesSlowlyNeverCounts() {
        for (int i = 0; i < 10_000; i++) {
            recent.add(millis(i), 150);
            assertFalse(recent.isMoreThan(millis(i), MUCH, WITHIN));
        }
    }

    @Test
    void whatComesFasterCountsSoon() {
        for (int i = 0; i < 100; i++) {
            recent.add(millis(i), 1_000);
        }
        assertTrue(recent.isMoreThan(millis(100), MUCH, WITHIN));
    }

    @Test
    void theLargestBurstIsForgotten() {
        recent.add(BEGIN, Integer.MAX_VALUE);
        recent.add(millis(500), 1_000);
        assertFalse(recent.isMoreThan(millis(500), MUCH, WITHIN));
    }
}
