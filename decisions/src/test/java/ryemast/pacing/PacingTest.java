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

    private final BlockingQuery query = new BlockingQuery(PollingPolicy.DEFAULT, 3, 7);

    @Test
    void theIndexOfAnAnswerIsPassedWithTheNextCall() {
        var first = query.startCall(now);
        assertEquals(0, first.index());
        assertEquals(0, first.maxWait());
        assertEquals(Answer.CHANGED, query.answered(now, 41));
        assertEquals(now, query.nextCallAt());
        var second = query.startCall(now);
        assertEquals(41, second.index());
        assertEquals(now + second.maxWait() + second.maxWait() / 16 + S, second.deadline());
        assertEquals(Answer.UNCHANGED, query.answered(now + second.maxWait(), 41));
    }

    @Test
    void anIndexThatGoesBackIsResetAndOneBelowOneCountsAsOne() {
        query.answered(now, 41);
        assertEquals(Answer.INDEX_RESET, query.answered(now, 40));
        assertEquals(0, query.startCall(now).index());
        assertEquals(Answer.CHANGED, query.answered(now, 0));
        assertEquals(1, query.startCall(now).index());
    }

    @Test
    void immediateAnswersWithoutChangesAreRateLimited() {
        query.answered(now, 5);
        int calls = 0;
        for (long end = now + 10 * S; now < end; calls++) {
            now = Math.max(now, query.nextCallAt()) + 100;
            query.answered(now, 5);
        }
        assertTrue(calls <= 10 * 4 + PollingPolicy.DEFAULT.burst() + 1, calls + " calls");
        assertTrue(query.nextCallAt() - now <= 250 * MS, "and a drain is still known within half a second");
    }

    @Test
    void failuresBackOffAndSwitchToTheNextServer() {
        long longest = 0;
        for (int i = 0; i < 20; i++) {
            int server = query.server();
            query.failed(now, CallFailure.UNREACHABLE);
            assertEquals((server + 1) % 3, query.server());
            long pause = query.nextCallAt() - now;
            assertTrue(pause < Math.min(2 * S, 100 * MS << Math.min(16, i)) + 1, i + ": " + pause);
            longest = Math.max(longest, pause);
            now = query.nextCallAt();
        }
        assertTrue(longest > 500 * MS, "jitter never came near its bound");
        query.answered(now, 3);
        assertEquals(0, query.failures());
    }

    @Test
    void theFirstServerIsUsedAgainAfterAWhile() {
        query.answered(now, 9);
        query.failed(now, CallFailure.SERVER_ERROR);
        assertEquals(1, query.startCall(now).server());
        assertEquals(0, query.startCall(now).index(), "another server's index may mean another state");
        query.answered(now, 9);
        assertEquals(1, query.startCall(now + 29 * S).server());
        var failback = query.startCall(now + 30 * S);
        assertEquals(0, failback.server());
        assertEquals(0, failback.index());
    }

    @Test
    void lastingFailuresBackOffLongerAtTheSameServer() {
        for (int i = 0; i < 6; i++) {
            query.failed(now, CallFailure.FORBIDDEN);
            assertEquals(0, query.server());
            assertTrue(query.nextCallAt() - now >= Math.min(4 * S, 250 * MS << i), i + ": "
                    + (query.nextCallAt() - now));
            assertTrue(query.nextCallAt() - now <= 8 * S);
        }
        assertThrows(IllegalArgumentException.class, () -> new BlockingQuery(PollingPolicy.DEFAULT, 0, 1));
    }

    @Test
    void twoHeartbeatsMayBeLost() {
        var heartbeat = new Heartbeat(9 * S);
        assertEquals(0, heartbeat.dueAt());
        assertTrue(heartbeat.isExpired(now));
        heartbeat.succeeded(now);
        assertEquals(now + 3 * S, heartbeat.dueAt());
        now += 3 * S;
        int tries = 0;
        for (; now < 1_000 * S + 9 * S; now = heartbeat.dueAt(), tries++) {
            assertFalse(heartbeat.isExpired(now));
            heartbeat.failed(now);
        }
        assertTrue(tries >= 3, tries + " tries before it lapses");
        assertTrue(heartbeat.dueAt() - now <= 3 * S);
    }
}
