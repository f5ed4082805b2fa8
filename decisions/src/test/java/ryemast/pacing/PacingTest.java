package ryemast.pacing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import ryemast.pacing.BlockingQuery.Answer;

class PacingTest {

    private static final long MS = 1_000;
    private static final long S = 1_000_000;
    private long now = 1_000 * S;

    private final BlockingQuery query = new BlockingQuery(Pace.DEFAULT, 3, 7);

    @Test
    void theIndexOfAnAnswerGoesWithTheNextCall() {
        var first = query.ask(now);
        assertEquals(0, first.index());
        assertEquals(0, first.hold());
        assertEquals(Answer.NEWS, query.answered(now, 41));
        assertEquals(now, query.askAt());
        var second = query.ask(now);
        assertEquals(41, second.index());
        assertEquals(now + second.hold() + second.hold() / 16 + S, second.giveUpAt());
        assertEquals(Answer.NOTHING_NEW, query.answered(now + second.hold(), 41));
    }

    @Test
    void anIndexThatGoesBackIsForgottenAndOneBelowOneIsOne() {
        query.answered(now, 41);
        assertEquals(Answer.SET_BACK, query.answered(now, 40));
        assertEquals(0, query.ask(now).index());
        assertEquals(Answer.NEWS, query.answered(now, 0));
        assertEquals(1, query.ask(now).index());
    }

    @Test
    void answersAtOnceWithNothingNewAreNotAskedForInATightLoop() {
        query.answered(now, 5);
        int calls = 0;
        for (long end = now + 10 * S; now < end; calls++) {
            now = Math.max(now, query.askAt()) + 100;
            query.answered(now, 5);
        }
        assertTrue(calls <= 10 * 4 + Pace.DEFAULT.burst() + 1, calls + " calls");
        assertTrue(query.askAt() - now <= 250 * MS, "and a drain is still known within half a second");
    }

    @Test
    void setbacksArePausedForAndTheNextServerIsAsked() {
        long longest = 0;
        for (int i = 0; i < 20; i++) {
            int server = query.server();
            query.setBack(now, Setback.UNREACHABLE);
            assertEquals((server + 1) % 3, query.server());
            long pause = query.askAt() - now;
            assertTrue(pause < Math.min(2 * S, 100 * MS << Math.min(16, i)) + 1, i + ": " + pause);
            longest = Math.max(longest, pause);
            now = query.askAt();
        }
        assertTrue(longest > 500 * MS, "jitter never came near its bound");
        query.answered(now, 3);
        assertEquals(0, query.setbacks());
    }

    @Test
    void theFirstServerIsTriedAgainAfterAWhile() {
        query.answered(now, 9);
        query.setBack(now, Setback.SERVER_ERROR);
        assertEquals(1, query.ask(now).server());
        assertEquals(0, query.ask(now).index(), "another server's index may mean another state");
        query.answered(now, 9);
        assertEquals(1, query.ask(now + 29 * S).server());
        var home = query.ask(now + 30 * S);
        assertEquals(0, home.server());
        assertEquals(0, home.index());
    }

    @Test
    void whatTimeAloneWontMendIsAskedForSlowlyAndNowhereElse() {
        for (int i = 0; i < 6; i++) {
            query.setBack(now, Setback.FORBIDDEN);
            assertEquals(0, query.server());
            assertTrue(query.askAt() - now >= Math.min(4 * S, 250 * MS << i), i + ": "
                    + (query.askAt() - now));
            assertTrue(query.askAt() - now <= 8 * S);
        }
        assertThrows(IllegalArgumentException.class, () -> new BlockingQuery(Pace.DEFAULT, 0, 1));
    }

    @Test
    void twoBeatsMayBeLost() {
        var beat = new Heartbeat(9 * S);
        assertEquals(0, beat.dueAt());
        assertTrue(beat.lapsed(now));
        beat.taken(now);
        assertEquals(now + 3 * S, beat.dueAt());
        now += 3 * S;
        int tries = 0;
        for (; now < 1_000 * S + 9 * S; now = beat.dueAt(), tries++) {
            assertFalse(beat.lapsed(now));
            beat.failed(now);
        }
        assertTrue(tries >= 3, tries + " tries before it lapses");
        assertTrue(beat.dueAt() - now <= 3 * S);
    }
}
