package ryemast.lab.world;

import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/**
 * Time that stands still while a step runs and then leaps to the next one: a run in it takes only as long as
 * its steps do, and the same steps always come in the same order.
 *
 * <p>The queue of events of a discrete-event simulation (Law, "Simulation Modeling and Analysis", chapter 1)
 * on a binary heap: setting and running a step cost the logarithm of how many there are. Steps due at the
 * same time run in the order in which they were set. Cancelling costs nothing: a cancelled step stays on the
 * heap and is swept out when such make up most of it. Its owner is the one thread that drives it.
 */
public final class VirtualTime implements Timeline {

    /** Below this a sweep would save nothing worth its cost. */
    private static final int SWEEP_FROM = 1_024;

    private final PriorityQueue<Step> steps = new PriorityQueue<>();
    private long now;
    private long set;
    private int cancelled;

    public VirtualTime(long startsAt) {
        now = startsAt;
    }

    @Override
    public long now() {
        return now;
    }

    @Override
    public Timer at(long dueAt, Runnable step) {
        var added = new Step(Math.max(dueAt, now), set++, step);
        steps.add(added);
        return added;
    }

    /** Runs all that is due until then, that time included, and stands there. */
    public void advanceTo(long until) {
        runUntil(() -> false, until);
        now = Math.max(now, until);
    }

    /**
     * Runs steps until the condition holds, asked before the first and after each of them, or until nothing
     * more is due by {@code limit}; stands at the last step then.
     *
     * @return whether the condition holds
     */
    public boolean runUntil(BooleanSupplier condition, long limit) {
        while (!condition.getAsBoolean()) {
            var next = next();
            if (next == null || next.dueAt > limit) {
                return false;
            }
            steps.poll();
            now = next.dueAt;
            var run = next.run;
            next.run = null;
            run.run();
        }
        return true;
    }

    /** How many steps are still to come. */
    public int waiting() {
        return steps.size() - cancelled;
    }

    private Step next() {
        var next = steps.peek();
        while (next != null && next.run == null) {
            steps.poll();
            cancelled--;
            next = steps.peek();
        }
        return next;
    }

    private final class Step implements Timer, Comparable<Step> {
        private final long dueAt;
        private final long number;
        /** Null once it has run or was cancelled. */
        private Runnable run;

        Step(long dueAt, long number, Runnable run) {
            this.dueAt = dueAt;
            this.number = number;
            this.run = run;
        }

        @Override
        public void cancel() {
            if (run == null) {
                return;
            }
            run = null;
            cancelled++;
            if (cancelled >= SWEEP_FROM && cancelled > steps.size() / 2) {
                steps.removeIf(step -> step.run == null);
                cancelled = 0;
            }
        }

        @Override
        public int compareTo(Step other) {
            int byTime = Long.compare(dueAt, other.dueAt);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }
}
