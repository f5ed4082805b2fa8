package ryemast.core;

import java.util.ArrayList;
import java.util.List;

/** Timers as coarse ticks on a wheel: one goes off at the first tick at or after its time, never early. */
final class TickWheel {

    private static final int SLOTS = 512;

    /** A timer that is set; one that is cancelled stays on the wheel until its slot comes round. */
    static final class Timer {
        private final long tick;
        private Runnable due;

        private Timer(long tick, Runnable due) {
            this.tick = tick;
            this.due = due;
        }

        void cancel() {
            due = null;
        }
    }

    private final List<List<Timer>> slots = new ArrayList<>();
    private final long tickLength;
    private long reached;
    private int count;

    TickWheel(long tickLength, long now) {
        this.tickLength = tickLength;
        reached = now / tickLength;
        for (int i = 0; i < SLOTS; i++) {
            slots.add(new ArrayList<>());
        }
    }

    Timer set(long dueAt, Runnable due) {
        long tick = Math.max(reached + 1, Math.floorDiv(dueAt + tickLength - 1, tickLength));
        var timer = new Timer(tick, due);
        slot(tick).add(timer);
        count++;
        return timer;
    }

    /** Takes off what is due by now, in the order of the ticks. */
    List<Runnable> advance(long now) {
        var found = new ArrayList<Runnable>();
        long target = now / tickLength;
        // A slot holds the ticks of many rounds: after a pause of over one round, each is passed but once.
        var due = new ArrayList<Timer>();
        for (long tick = Math.max(reached + 1, target - SLOTS + 1); tick <= target; tick++) {
            var here = slot(tick);
            for (var timer : here) {
                if (timer.tick <= target) {
                    due.add(timer);
                }
            }
            here.removeIf(timer -> timer.tick <= target);
        }
        reached = Math.max(reached, target);
        count -= due.size();
        due.sort((one, other) -> Long.compare(one.tick, other.tick));
        for (var timer : due) {
            if (timer.due != null) {
                found.add(timer.due);
            }
        }
        return found;
    }

    /** When to look again: the next tick with a slot in use, or a round ahead. */
    long nextDue() {
        for (long tick = reached + 1; tick <= reached + SLOTS && count > 0; tick++) {
            if (!slot(tick).isEmpty()) {
                return tick * tickLength;
            }
        }
        return (reached + SLOTS) * tickLength;
    }

    private List<Timer> slot(long tick) {
        return slots.get((int) Math.floorMod(tick, (long) SLOTS));
    }
}
