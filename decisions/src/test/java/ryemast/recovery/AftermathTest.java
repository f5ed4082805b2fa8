package ryemast.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import ryemast.recovery.Aftermath.Next;
import ryemast.recovery.Aftermath.Turn;

class AftermathTest {

    /** The one thing that must never be: what may have run, and must run once, goes out again. */
    @Test
    void whatMustRunOnceGoesOutAgainOnlyIfItHasCertainlyNotRun() {
        for (var turn : Turn.values()) {
            for (int failures = 0; failures < 5; failures++) {
                var next = Aftermath.after(turn, true, failures, 5);
                if (turn == Turn.REFUSED || turn == Turn.NOT_BEGUN) {
                    assertEquals(Next.AGAIN, next);
                } else {
                    assertNotEquals(Next.AGAIN, next);
                }
            }
        }
    }

    @Test
    void whatMayBeRepeatedGoesOnUntilItHasFailedOftenEnough() {
        assertEquals(Next.AGAIN, Aftermath.after(Turn.FAILED, false, 1, 3));
        assertEquals(Next.AGAIN, Aftermath.after(Turn.FAILED, false, 2, 3));
        assertEquals(Next.FAILED, Aftermath.after(Turn.FAILED, false, 3, 3));
        assertEquals(Next.AGAIN, Aftermath.after(Turn.CUT_OFF, false, 2, 3));
        assertEquals(Next.DONE, Aftermath.after(Turn.SERVED, false, 2, 3));
        assertEquals(Next.DONE, Aftermath.after(Turn.SERVED, true, 0, 1));
    }

    @Test
    void thePauseDoublesAndIsBounded() {
        assertEquals(0, Aftermath.pause(0));
        assertEquals(200_000, Aftermath.pause(1));
        assertEquals(400_000, Aftermath.pause(2));
        for (int failures = 1; failures < 200; failures++) {
            assertTrue(Aftermath.pause(failures) > 0 && Aftermath.pause(failures) <= 30_000_000);
        }
    }
}
