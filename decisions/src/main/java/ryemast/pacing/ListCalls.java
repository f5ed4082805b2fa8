package ryemast.pacing;

import java.util.SplittableRandom;
import ryemast.fleet.choices.PermitOrder;

/**
 * When a dispatcher asks discovery for the list, which all dispatchers ask and which works through calls in
 * turn: spread out after a start, as restarts of many would drown it, and with a pause after each failure
 * that doubles and is random, so that those who failed together do not come back together.
 *
 * <p>A call that failed only after it had waited tells something else: more ask than discovery can answer in
 * its time. As it works for callers that have given up as well, those who soon ask again keep its line so
 * long that nobody is answered, for good (congestion collapse). So those who waited in vain spread out, as
 * senders do on a shared line (binary exponential backoff): the next call is made at the beginning of a
 * window by the clock, drawn among twice as many windows after each such failure, from half of them up to
 * one for {@link #CALLS_A_WINDOW} dispatchers. Calls of one window come together, so that where discovery
 * drops what has waited for too long as many are answered as fit into that time. Until discovery is heard, a
 * call that is turned away at once counts in the same way: the line was full.
 *
 * <p>Where few ask, or discovery can't be reached at all, no wait is longer than {@link #LONGEST_WAIT},
 * however often calls have failed and whatever the time for asking is: what discovery has counts as notified
 * 6 s after it could be reached again. Where many ask, that can't be held by asking: jobs go by what is
 * known without the list then ({@link ryemast.membership.ListFreshness}).
 *
 * <p>A dispatcher is notified of what discovery has written, also where it was lost as the connection broke.
 * So the first calls after that follow almost at once, spread out over no more than the grace that is left.
 *
 * <p>Where lists are pushed, each dispatcher hears from an agent of its own, and what that has counts as
 * told whether or not anybody listens: nobody else's calls are in the way, so pauses are short and alike.
 */
public final class ListCalls {

    /**
     * Of the time within which the list must be asked: how far apart the first calls are, dispatcher by
     * dispatcher, as one that fails costs a pause.
     */
    private static final double TURN = 0.0025;
    /** Of the same: the pause after one failure, for each dispatcher. */
    private static final double FIRST_PAUSE = 0.005;
    private static final double LONGEST_PAUSE = 0.25;
    private static final int MOST_DOUBLINGS = 9;
    /** Of the same: discovery that is down or gone says so sooner, at most a connection's second later. */
    private static final double IN_LINE = 0.15;
    /**
     * No longer than this between a failure and the next call, in microseconds: of the 6 s after which a
     * change counts as told 2.4 s are left for its connection, its wait in line and its answer.
     */
    static final long LONGEST_WAIT = 3_600_000;
    /** No longer than this between the beginnings of two calls, in microseconds, for the same reason. */
    private static final long BETWEEN_CALLS = 5_000_000;
    /** A call that took longer than that is followed by a pause all the same, in microseconds. */
    private static final long SHORTEST_LONGEST_WAIT = 500_000;
    /**
     * Of the time for asking: a wave's window. Its calls are over, answered or not, when the next wave
     * begins.
     */
    private static final double WINDOW = 0.25;
    /** What a window may last at most, in microseconds. */
    private static final long LONGEST_WINDOW = 3_240_000;
    /** Of a window: how far a wave is spread, so that 150 calls are 600 a second. */
    private static final double WAVE = 0.1;
    /** One window for so many dispatchers. */
    private static final int CALLS_A_WINDOW = 10;
    /** After the first call in vain so many windows are drawn among, or one of so many, if that is more. */
    private static final int LEAST_WINDOWS = 2;
    private static final int FIRST_OF_WINDOWS = 2;
    /**
     * The pause where lists are pushed, in microseconds: a drain is told at once then, and nothing new may
     * follow half a second later; the call and its answer take their part of that.
     */
    private static final long PUSHED_PAUSE = 100_000;

    /** Calls after a break that follow almost at once, until discovery is heard. */
    private static final int QUICK_CALLS = 2;
    /** How far they are spread, for each dispatcher and at most, in microseconds. */
    private static final long QUICK_SPREAD = 3_000;
    private static final long LONGEST_QUICK_SPREAD = 300_000;

    private final int self;
    private final int dispatchers;
    private final long askEvery;
    private final boolean pushed;
    private final SplittableRandom random;
    private int failures;
    /** Of these, the ones whose connection broke. */
    private int breaks;
    /** Of these, the ones after waiting in line. */
    private int inVain;
    /** When the call that is out was or is to be made. */
    private long askedAt = Long.MAX_VALUE;

    /**
     * @param askEvery  the time within which the list must be asked, in microseconds
     * @param pushed    whether an agent tells of changes unasked
     */
    public ListCalls(int self, int dispatchers, long askEvery, boolean pushed, SplittableRandom random) {
        this.self = self;
        this.dispatchers = dispatchers;
        this.askEvery = askEvery;
        this.pushed = pushed;
        this.random = random;
    }

    /** Discovery has told something. */
    public void heard() {
        failures = 0;
        breaks = 0;
        inVain = 0;
        askedAt = Long.MAX_VALUE;
    }

    /** How long to wait before the first call, in microseconds: each dispatcher has a turn of its own. */
    public long first(long now) {
        double turn = dispatchers == 1 ? 0 : Math.min(TURN, 1.0 / dispatchers);
        return asksAfter(now, 1 + (long) PermitOrder.slotStart(askEvery * turn, self, random.nextDouble()));
    }

    /** A call has failed, or what it began has ended: how long to wait before the next, in microseconds. */
    public long failed(long now) {
        if (pushed) {
            return PUSHED_PAUSE;
        }
        failures++;
        if (isCrowded(now)) {
            int first = Math.max(LEAST_WINDOWS, windows() / FIRST_OF_WINDOWS);
            int among = first << Math.min(MOST_DOUBLINGS, inVain);
            inVain++;
            return asksAfter(now, wave(now, Math.min(windows(), among)));
        }
        return asksAfter(now, pause(now));
    }

    /** The same where no connection came up: nobody is in line. */
    public long unreachable(long now) {
        if (pushed) {
            return PUSHED_PAUSE;
        }
        failures++;
        return asksAfter(now, pause(now));
    }

    /** The same where the connection of the call, or of what it began, broke. */
    public long broke(long now) {
        breaks++;
        if (pushed || breaks > QUICK_CALLS || isCrowded(now)) {
            return failed(now);
        }
        failures++;
        long spread = Math.min(LONGEST_QUICK_SPREAD, QUICK_SPREAD * dispatchers);
        return asksAfter(now, 1 + (long) (spread * random.nextDouble()));
    }

    /** Whether a call that has failed now did so as too many ask. */
    private boolean isCrowded(long now) {
        return windows() > 1 && (inVain > 0 || now - askedAt > askEvery * IN_LINE);
    }

    private int windows() {
        return (dispatchers + CALLS_A_WINDOW - 1) / CALLS_A_WINDOW;
    }

    private long pause(long now) {
        double part = Math.min(LONGEST_PAUSE,
                FIRST_PAUSE * Math.scalb(dispatchers, Math.min(MOST_DOUBLINGS, failures)));
        double shortest = Math.min(askEvery * part, longestWait(now) / 2.0);
        return 1 + (long) (shortest * (1 + random.nextDouble()));
    }

    /** What has become of the calls since discovery was last heard, in words. */
    public String described() {
        return failures + " failed calls in a row, " + inVain + " of them after waiting in line";
    }

    /** The time that the call itself took is part of what passes between two calls. */
    private long longestWait(long now) {
        long took = Math.max(0, now - askedAt);
        return Math.max(SHORTEST_LONGEST_WAIT, Math.min(LONGEST_WAIT - 1, BETWEEN_CALLS - took));
    }

    private long wave(long now, int windows) {
        long window = Math.max(1, (long) Math.min(askEvery * WINDOW, LONGEST_WINDOW));
        long begins = (now / window + 1 + random.nextInt(windows)) * window;
        return begins - now + (long) (window * WAVE * random.nextDouble());
    }

    private long asksAfter(long now, long wait) {
        askedAt = now + wait;
        return wait;
    }
}
