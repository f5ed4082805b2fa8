package ryemast.pacing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashSet;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class DiscoveryCallScheduleTest {

    private static final long SECOND = 1_000_000;

    private static DiscoveryCallSchedule calls(int self, int dispatchers) {
        return new DiscoveryCallSchedule(self, dispatchers, 10 * SECOND, false, new SplittableRandom(self));
    }

    /** A dispatcher that has just started uses a list that may be old: its first call must come soon. */
    @Test
    void aFewCallAtOnceAndManyAtFortyASecond() {
        assertEquals(1, calls(0, 1).firstDelay(0));
        assertTrue(calls(1, 2).firstDelay(0) < SECOND / 10);
        var perSecond = new int[10];
        for (int self = 0; self < 300; self++) {
            perSecond[(int) (calls(self, 300).firstDelay(0) / SECOND)]++;
        }
        assertEquals(40, Arrays.stream(perSecond).max().orElseThrow(), 2);
        assertTrue(calls(9_999, 10_000).firstDelay(0) <= 10 * SECOND + 1);
    }

    @Test
    void callersThatFailTogetherDoNotRetryTogether() {
        var waits = new HashSet<Long>();
        for (int self = 0; self < 100; self++) {
            waits.add(calls(self, 100).failed(0) / 50_000);
        }
        assertTrue(waits.size() > 25, "only " + waits.size() + " of 50 parts of the backoff");
    }

    @Test
    void theBackoffDoublesUpToAQuarterOfTheRefreshInterval() {
        var alone = calls(0, 1);
        long longest = 0;
        for (int i = 0; i < 12; i++) {
            longest = Math.max(longest, alone.failed(0));
        }
        assertTrue(longest > 2 * SECOND && longest <= DiscoveryCallSchedule.MAX_WAIT, longest + " us");
        alone.succeeded();
        assertTrue(alone.failed(0) <= 210_000);
    }

    /** Without windows 300 callers get 13 answers in all at 4 calls a second; the capacity is 160 in 40 s. */
    @Test
    void congestedDiscoveryStaysNearItsCapacity() {
        assertEquals(14, answered(14, 250, 0, 10));
        for (int dispatchers : new int[] {50, 100, 300}) {
            int most = Math.min(dispatchers, 160);
            assertTrue(answered(dispatchers, 250, 0, 40) > 0.7 * most, dispatchers + " at once");
            assertTrue(answered(dispatchers, 250, 8, 50) > 0.7 * most, dispatchers + " after an outage");
        }
        assertTrue(answered(100, 1_000, 0, 40) >= 20, "one a second");
        assertEquals(300, answered(300, 25, 0, 10));
    }

    /** Callers answered by a discovery that serves one by one and drops calls after 3 s, even half done. */
    private static int answered(int dispatchers, int callMs, int downSeconds, int seconds) {
        var calls = new DiscoveryCallSchedule[dispatchers];
        var askAt = new long[dispatchers];
        for (int i = 0; i < dispatchers; i++) {
            calls[i] = calls(i, dispatchers);
            askAt[i] = calls[i].firstDelay(0);
        }
        var queue = new ArrayDeque<Integer>();
        int answered = 0;
        int worked = 0;
        for (long now = 0; now < seconds * SECOND; now += 1_000) {
            for (int i = 0; i < dispatchers; i++) {
                if (askAt[i] <= now && now < downSeconds * SECOND) {
                    askAt[i] = now + calls[i].failed(now);
                } else if (askAt[i] <= now && askAt[i] > now - 1_000) {
                    queue.add(i);
                }
            }
            worked = queue.isEmpty() ? 0 : worked + 1;
            if (worked >= callMs) {
                askAt[queue.poll()] = Long.MAX_VALUE;
                answered++;
                worked = 0;
            }
            while (!queue.isEmpty() && now - askAt[queue.peek()] >= 3 * SECOND) {
                int late = queue.poll();
                askAt[late] = now + calls[late].failed(now);
                worked = 0;
            }
        }
        return answered;
    }

    /**
     * Dispatchers count as notified 6 s after discovery could be reached, whatever the refresh interval.
     */
    @Test
    void noWaitOfAFewIsSoLongThatAChangeIsMissed() {
        for (long refreshInterval = SECOND / 5; refreshInterval <= 600 * SECOND; refreshInterval *= 3) {
            for (int dispatchers = 1; dispatchers <= 10; dispatchers++) {
                var calls = new DiscoveryCallSchedule(0, dispatchers, refreshInterval, false,
                        new SplittableRandom(dispatchers));
                long now = calls.firstDelay(0);
                for (int i = 0; i < 40; i++) {
                    now += i % 3 == 0 ? 1_000 : 3 * SECOND;
                    now += bounded(calls.failed(now), DiscoveryCallSchedule.MAX_WAIT, refreshInterval);
                }
            }
        }
    }

    /** Dispatchers that can't reach discovery do not congest it. */
    @Test
    void noWaitWithUnreachableDiscoveryIsSoLongThatAChangeIsMissed() {
        for (long refreshInterval = SECOND / 5; refreshInterval <= 600 * SECOND; refreshInterval *= 3) {
            for (int dispatchers = 1; dispatchers <= 300; dispatchers += 23) {
                var calls = new DiscoveryCallSchedule(0, dispatchers, refreshInterval, false,
                        new SplittableRandom(dispatchers));
                long now = calls.firstDelay(0);
                for (int i = 0; i < 40; i++) {
                    now += i % 3 == 0 ? 1_000 : 3 * SECOND;
                    boolean queued = i % 5 == 0;
                    long wait = queued ? calls.failed(now) : calls.unreachable(now);
                    now += queued ? wait : bounded(wait, DiscoveryCallSchedule.MAX_WAIT, refreshInterval);
                }
            }
        }
    }

    private static long bounded(long wait, long most, long refreshInterval) {
        assertTrue(wait > 0 && wait <= most, wait + " us of " + refreshInterval);
        return wait;
    }

    /**
     * A call that is rejected while others are queued must not fill the queue up again: ten for each window
     * of 2.5 s, drawn evenly, are eight a second by their mean wait, and by chance at most half as many more.
     */
    @Test
    void manyQueuedFailuresLeadToEightCallsASecond() {
        for (int dispatchers : new int[] {20, 100, 300}) {
            double waited = 0;
            for (int self = 0; self < dispatchers; self++) {
                var calls = calls(self, dispatchers);
                long now = calls.firstDelay(0);
                for (int i = 0; i < 4; i++) {
                    now += 2 * SECOND;
                    now += calls.failed(now);
                }
                waited += calls.failed(now + 20_000);
            }
            double perSecond = dispatchers * SECOND / (waited / dispatchers);
            assertTrue(perSecond < 12, perSecond + " calls a second of " + dispatchers);
        }
    }

    /**
     * The time of a call that was rejected after three seconds in the queue counts towards the bound.
     */
    @Test
    void aFewCallCongestedDiscoveryAtMostFiveSecondsApart() {
        for (int dispatchers = 1; dispatchers <= 10; dispatchers++) {
            var calls = calls(0, dispatchers);
            long asked = calls.firstDelay(0);
            for (int i = 0; i < 12; i++) {
                long failed = asked + 3 * SECOND;
                long next = failed + calls.failed(failed);
                assertTrue(next - asked <= 5 * SECOND, next - asked + " us");
                asked = next;
            }
        }
    }

    /** Dispatchers count as notified of what discovery wrote, and must not use the old list 0.5 s later. */
    @Test
    void brokenConnectionsAreRetriedFastTwiceAndThenAsOtherFailures() {
        for (int dispatchers : new int[] {1, 5, 100, 300}) {
            var calls = calls(dispatchers - 1, dispatchers);
            for (int i = 0; i < 2; i++) {
                assertTrue(calls.connectionBroken(0) <= Math.min(3 * SECOND / 10, 3_000L * dispatchers) + 1);
            }
            assertTrue(calls.connectionBroken(0) > SECOND / 10);
            calls.succeeded();
            assertTrue(calls.connectionBroken(0) <= 3 * SECOND / 10 + 1);
        }
    }

    /** These calls were queued, so that nothing had been written to them. */
    @Test
    void callsThatAreResetInTheQueueAreNotRetriedAtOnce() {
        int soon = 0;
        for (int self = 0; self < 100; self++) {
            var calls = calls(self, 100);
            soon += calls.connectionBroken(calls.firstDelay(0) + 2 * SECOND) <= 3 * SECOND / 10 ? 1 : 0;
        }
        assertTrue(soon <= 20, soon + " of 100");
    }

    /** Guards the half second after a drain: a dispatcher's own agent is always called again at once. */
    @Test
    void withPushedListsTheRetryDelayIsConstant() {
        for (int dispatchers = 1; dispatchers <= 300; dispatchers += 13) {
            var calls = new DiscoveryCallSchedule(0, dispatchers, 10 * SECOND, true, new SplittableRandom(1));
            for (int i = 0; i < 12; i++) {
                assertTrue(calls.failed(0) <= SECOND / 10);
            }
        }
    }
}
