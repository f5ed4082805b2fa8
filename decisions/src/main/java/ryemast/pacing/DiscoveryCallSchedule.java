package ryemast.pacing;

import java.util.SplittableRandom;
import ryemast.fleet.choices.PermitOrder;

/**
 * When a dispatcher requests the list of workers from discovery, which serves all dispatchers and handles
 * calls one by one: staggered after a start, as simultaneous restarts would overload it, and with randomized
 * exponential backoff after each failure, so that dispatchers which failed together do not retry together.
 *
 * <p>A call that failed only after it had waited in discovery's queue means that discovery gets more calls
 * than it can answer in time. As it also works on calls whose callers have timed out, quick retries keep its
 * queue so long that no call is ever answered (congestion collapse). So these callers back off as senders on
 * a shared medium do (binary exponential backoff): the next call is made at the beginning of a window of the
 * clock, drawn among twice as many windows after each such failure, from half of them up to one for each
 * {@link #CALLS_PER_WINDOW} dispatchers. Calls of one window arrive together, so that where discovery drops
 * calls that have waited for too long, as many are answered as fit into that time. Until discovery answers, a
 * call that is rejected at once counts in the same way: the queue was full.
 *
 * <p>With few dispatchers, or if discovery can't be reached at all, no wait is longer than {@link
 * #MAX_WAIT}, however often calls have failed and whatever the refresh interval is: dispatchers count as
 * notified of discovery's state 6 s after it could be reached again. With many dispatchers, retries can't
 * ensure that; jobs are then placed without an up-to-date list ({@link ryemast.membership.ListFreshness}).
 *
 * <p>A dispatcher counts as notified of all that discovery has written, even if it was lost with a broken
 * connection. So the first calls after a break follow almost at once, spread over no more than the remaining
 * grace period.
 *
 * <p>Where lists are pushed, each dispatcher is served by an agent of its own, and counts as notified of the
 * agent's state whether or not it is connected: no other dispatcher's calls compete, so that delays are short
 * and constant.
 */
public final class DiscoveryCallSchedule {

    /**
     * Of the refresh interval: the time between the first calls of one dispatcher and the next, as a failed
     * call costs a backoff.
     */
    private static final double STAGGER = 0.0025;
    /** Of the refresh interval: the backoff after one failure, for each dispatcher. */
    private static final double INITIAL_BACKOFF = 0.005;
    private static final double MAX_BACKOFF = 0.25;
    private static final int MAX_DOUBLINGS = 9;
    /** Of the refresh interval: a call that failed later was queued; if discovery is down it fails sooner. */
    private static final double QUEUED_AFTER = 0.15;
    /**
     * The longest time between a failure and the next call, in microseconds: of the 6 s after which
     * dispatchers count as notified of a change 2.4 s are left for the connection, the queue and the answer.
     */
    static final long MAX_WAIT = 3_600_000;
    /** The longest time between the beginnings of two calls, in microseconds, for the same reason. */
    private static final long MAX_CALL_INTERVAL = 5_000_000;
    /** The least bound of the wait, in microseconds, also after a call that took longer than that. */
    private static final long MIN_WAIT_LIMIT = 500_000;
    /**
     * Of the refresh interval: the length of a window. The calls of a wave have ended, answered or not, when
     * the next wave begins.
     */
    private static final double WINDOW = 0.25;
    /** The longest window, in microseconds. */
    private static final long MAX_WINDOW = 3_240_000;
    /** Of a window: the time over which a wave is spread, so that 150 calls arrive at 600 a second. */
    private static final double WAVE_SPREAD = 0.1;
    /** Number of dispatchers for each window. */
    private static final int CALLS_PER_WINDOW = 10;
    /** After the first queued failure: the least number of windows, and the part of all windows (1 in n). */
    private static final int MIN_WINDOWS = 2;
    private static final int INITIAL_WINDOWS_DIVISOR = 2;
    /**
     * The delay where lists are pushed, in microseconds: drains take effect at once then, and no job may be
     * sent half a second later; the call and its answer take a part of that time.
     */
    private static final long PUSH_RETRY_DELAY = 100_000;

    /** Number of fast retries after broken connections, until discovery answers. */
    private static final int FAST_RETRIES = 2;
    /** The time over which these are spread, for each dispatcher and at most, in microseconds. */
    private static final long FAST_RETRY_SPREAD = 3_000;
    private static final long MAX_FAST_RETRY_SPREAD = 300_000;

    private final int self;
    private final int dispatchers;
    private final long refreshInterval;
    private final boolean pushed;
    private final SplittableRandom random;
    private int failures;
    /** Of the failures, those whose connection broke. */
    private int connectionBreaks;
    /** Of the failures, those that had waited in discovery's queue. */
    private int queuedFailures;
    /** When the present or next call is made. */
    private long callAt = Long.MAX_VALUE;

    /**
     * @param refreshInterval  the time within which the list must be requested, in microseconds
     * @param pushed           whether an agent pushes changes
     */
    public DiscoveryCallSchedule(int self, int dispatchers, long refreshInterval, boolean pushed,
            SplittableRandom random) {
        this.self = self;
        this.dispatchers = dispatchers;
        this.refreshInterval = refreshInterval;
        this.pushed = pushed;
        this.random = random;
    }

    /** Records that discovery has sent a list or changes. */
    public void succeeded() {
        failures = 0;
        connectionBreaks = 0;
        queuedFailures = 0;
        callAt = Long.MAX_VALUE;
    }

    /** The delay before the first call, in microseconds, staggered by dispatcher. */
    public long firstDelay(long now) {
        double stagger = dispatchers == 1 ? 0 : Math.min(STAGGER, 1.0 / dispatchers);
        return schedule(now,
                1 + (long) PermitOrder.slotStart(refreshInterval * stagger, self, random.nextDouble()));
    }

    /** Records that a call or its stream has failed; returns the delay before the next, in microseconds. */
    public long failed(long now) {
        if (pushed) {
            return PUSH_RETRY_DELAY;
        }
        failures++;
        if (isCongested(now)) {
            int first = Math.max(MIN_WINDOWS, windows() / INITIAL_WINDOWS_DIVISOR);
            int range = first << Math.min(MAX_DOUBLINGS, queuedFailures);
            queuedFailures++;
            return schedule(now, delayToWave(now, Math.min(windows(), range)));
        }
        return schedule(now, backoff(now));
    }

    /** The same where no connection could be opened: there is no queue. */
    public long unreachable(long now) {
        if (pushed) {
            return PUSH_RETRY_DELAY;
        }
        failures++;
        return schedule(now, backoff(now));
    }

    /** The same where the connection of the call or of its stream broke. */
    public long connectionBroken(long now) {
        connectionBreaks++;
        if (pushed || connectionBreaks > FAST_RETRIES || isCongested(now)) {
            return failed(now);
        }
        failures++;
        long spread = Math.min(MAX_FAST_RETRY_SPREAD, FAST_RETRY_SPREAD * dispatchers);
        return schedule(now, 1 + (long) (spread * random.nextDouble()));
    }

    /** Whether a call that fails now does so because discovery is overloaded. */
    private boolean isCongested(long now) {
        return windows() > 1 && (queuedFailures > 0 || now - callAt > refreshInterval * QUEUED_AFTER);
    }

    private int windows() {
        return (dispatchers + CALLS_PER_WINDOW - 1) / CALLS_PER_WINDOW;
    }

    private long backoff(long now) {
        double share = Math.min(MAX_BACKOFF,
                INITIAL_BACKOFF * Math.scalb(dispatchers, Math.min(MAX_DOUBLINGS, failures)));
        double least = Math.min(refreshInterval * share, waitLimit(now) / 2.0);
        return 1 + (long) (least * (1 + random.nextDouble()));
    }

    /** A text for the log on the calls since discovery last answered. */
    public String describe() {
        return failures + " consecutive failed calls, " + queuedFailures
                + " of them after waiting in its queue";
    }

    /** The bound of the wait, less the time that the call itself took. */
    private long waitLimit(long now) {
        long took = Math.max(0, now - callAt);
        return Math.max(MIN_WAIT_LIMIT, Math.min(MAX_WAIT - 1, MAX_CALL_INTERVAL - took));
    }

    private long delayToWave(long now, int windows) {
        long window = Math.max(1, (long) Math.min(refreshInterval * WINDOW, MAX_WINDOW));
        long start = (now / window + 1 + random.nextInt(windows)) * window;
        return start - now + (long) (window * WAVE_SPREAD * random.nextDouble());
    }

    private long schedule(long now, long wait) {
        callAt = now + wait;
        return wait;
    }
}
