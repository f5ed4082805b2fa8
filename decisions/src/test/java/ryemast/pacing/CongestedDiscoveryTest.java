package ryemast.pacing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * A fleet calls a discovery that handles calls one by one, also those whose callers have timed out. Guards
 * against congestion collapse: quick retries keep its queue so long that no call is answered in time.
 */
class CongestedDiscoveryTest {

    private static final long SECOND = 1_000_000;
    private static final long MS = 1_000;
    private static final long CALL_TIMEOUT = 2 * SECOND;
    private static final int QUEUE_CAPACITY = 100;
    /** For each dispatcher: a window of a quarter of the refresh interval serves ten dispatchers. */
    private static final long TIME_PER_DISPATCHER = 250 * MS;
    /** Twice the time after which dispatchers count as notified of a change. */
    private static final long LEAST_TIME = 12 * SECOND;

    /** A dispatcher; a call that it has timed out stays in discovery's queue. */
    private static final class Caller {
        private final DiscoveryCallSchedule calls;
        private long callAt;
        private long timeoutAt = Long.MAX_VALUE;
        private boolean answered;

        Caller(int self, int dispatchers) {
            calls = new DiscoveryCallSchedule(self, dispatchers, 10 * SECOND, false,
                    new SplittableRandom(self));
            callAt = calls.firstDelay(0);
        }

        private void failed(long now) {
            timeoutAt = Long.MAX_VALUE;
            callAt = now + calls.failed(now);
        }
    }

    private record Waiting(Caller caller, long since) {
    }

    /** Number of dispatchers that got the list by {@code until}, where discovery is down at first. */
    private static long countAnswered(int dispatchers, long call, long downFor, long until) {
        var callers = new Caller[dispatchers];
        Arrays.setAll(callers, self -> new Caller(self, dispatchers));
        var queue = new ArrayDeque<Waiting>();
        long doneAt = Long.MAX_VALUE;
        for (long now = 0; now < until; now += MS) {
            for (var each : callers) {
                if (each.timeoutAt <= now) {
                    each.failed(now);
                } else if (!each.answered && each.callAt <= now) {
                    each.callAt = Long.MAX_VALUE;
                    each.timeoutAt = now + CALL_TIMEOUT;
                    if (now >= downFor && queue.size() >= QUEUE_CAPACITY) {
                        each.failed(now);
                    } else if (now >= downFor) {
                        queue.add(new Waiting(each, now));
                    }
                }
            }
            if (doneAt <= now) {
                var served = queue.poll();
                served.caller.answered |= now < served.since + CALL_TIMEOUT;
                served.caller.timeoutAt = served.caller.answered ? Long.MAX_VALUE : served.caller.timeoutAt;
                doneAt = Long.MAX_VALUE;
            }
            if (doneAt == Long.MAX_VALUE && !queue.isEmpty()) {
                doneAt = now + call;
            }
        }
        return Arrays.stream(callers).filter(each -> each.answered).count();
    }

    @Test
    void aFleetThatStartsTogetherGetsTheList() {
        assertMostAreAnswered(0);
    }

    @Test
    void aFleetGetsTheListAfterAnOutage() {
        assertMostAreAnswered(8 * SECOND);
    }

    /** Nine in ten, within four times as long as discovery needs for a call of each, or a window of each. */
    private static void assertMostAreAnswered(long downFor) {
        for (long call : new long[] {35 * MS, 65 * MS, 100 * MS}) {
            for (int dispatchers : new int[] {30, 100, 300}) {
                long until = downFor + Math.max(LEAST_TIME,
                        dispatchers * Math.max(TIME_PER_DISPATCHER, 4 * call));
                long answered = countAnswered(dispatchers, call, downFor, until);
                assertTrue(answered >= 0.9 * dispatchers, answered + " of " + dispatchers + " after "
                        + until / SECOND + " s, at " + call / MS + " ms a call");
            }
        }
    }
}
