package ryemast.core;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The one thread that owns all state. A turn takes one reading of the clock, gathers everything that is
 * ready (what other threads have posted, then due timers), and then lets the exchanges settle it in one go.
 */
public final class Loop {

    private static final Logger LOG = Logger.getLogger(Loop.class.getName());

    private final LinkedBlockingQueue<Runnable> inbound = new LinkedBlockingQueue<>();
    private final LongSupplier clock;
    private final TickWheel wheel;
    private final List<Settler> settlers = new ArrayList<>();
    private long now;
    private volatile boolean ended;

    /** What ends a turn; true if it left work for the next turn. */
    interface Settler {
        boolean settle();
    }

    /** {@code tickLength}: how coarse the timers are, in microseconds. */
    public Loop(LongSupplier clock, long tickLength) {
        this.clock = clock;
        now = clock.getAsLong();
        wheel = new TickWheel(tickLength, now);
    }

    void settleWith(Settler settler) {
        settlers.add(settler);
    }

    /** Hands something to the loop; other threads may call this, {@link #clock} and {@link #end}. */
    public void post(Runnable step) {
        inbound.add(step);
    }

    /** The clock reading of the present turn. */
    public long now() {
        return now;
    }

    /** The clock itself; for other threads, to say when something came. */
    public long clock() {
        return clock.getAsLong();
    }

    /** Runs something in the first turn at or after a time; the returned step takes that back. */
    public Runnable at(long dueAt, Runnable due) {
        return wheel.set(dueAt, due)::cancel;
    }

    public void end() {
        ended = true;
        post(() -> { });
    }

    /** Turns until {@link #end}. */
    public void run() {
        boolean more = false;
        while (!ended) {
            long wait = more ? 0 : Math.max(0, wheel.nextDue() - clock.getAsLong());
            try {
                more = turn(inbound.poll(wait, TimeUnit.MICROSECONDS));
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /**
     * One turn with what is there by now, for those who drive the loop in a time of their own, in place of
     * {@link #run}; true if there is work for the next one already.
     */
    public boolean turn() {
        return turn(null) || !inbound.isEmpty();
    }

    /** When a turn is to come though nothing is posted, on the loop's clock. */
    public long nextDue() {
        return wheel.nextDue();
    }

    /** One turn, with what was waited for, if anything came; true if it left work for the next one. */
    boolean turn(Runnable first) {
        var ready = new ArrayList<Runnable>();
        if (first != null) {
            ready.add(first);
        }
        inbound.drainTo(ready);
        now = Math.max(now, clock.getAsLong());
        ready.forEach(step -> guarded("a step of the loop", step));
        wheel.advance(now).forEach(step -> guarded("a timer's step", step));
        boolean more = false;
        for (var settler : settlers) {
            try {
                more |= settler.settle();
            } catch (RuntimeException | StackOverflowError e) {
                LOG.log(Level.SEVERE, "a turn failed", e);
            }
        }
        return more;
    }

    /** Guards the loop against a handler's bug: it costs that one step, not the program. */
    static void guarded(String what, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | StackOverflowError e) {
            LOG.log(Level.SEVERE, what + " failed", e);
        }
    }
}
