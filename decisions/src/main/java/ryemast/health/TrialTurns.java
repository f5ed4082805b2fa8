package ryemast.health;

import ryemast.fleet.choices.FleetLimit;
import ryemast.fleet.choices.FleetPermits;

/**
 * Whose turn it is to try a box that is set aside. Guarantees that all dispatchers together send it no more
 * trials in a window than one alone might, {@link #BOUND}, whatever their number.
 *
 * <p>Each dispatcher waits after a trial as it would alone; beside that it needs a turn
 * ({@link FleetPermits}), which says how many trials of the box are its own in this window. Each has its fair
 * share within as many windows as there are dispatchers. Their number is a setting, so what a dead one might
 * have tried is lost for as long as it is dead; a process has no turn in the window in which it began, as its
 * former life may have used it. The windows are those of the clock: where two clocks differ by more than the
 * guard, two windows are open at once for as long as they differ, and the bound holds for each. Alone it
 * never says no.
 *
 * <p>It is for trials only: where no well box will do, a sick one gets ordinary jobs, each counted as a
 * trial.
 */
final class TrialTurns {

    /**
     * A box that serves every other trial is tried each 100 ms by a dispatcher that is alone, ten times in a
     * second. 20 ms are more than machines with a time service differ by.
     */
    static final FleetLimit BOUND =
            new FleetLimit("trial", (int) (1_000_000 / Health.FIRST_PAUSE), 1_000_000, 20_000);

    private final int self;
    private final int dispatchers;
    /** Null until the first event, whose time is when this process began. */
    private FleetPermits turns;

    TrialTurns(int self, int dispatchers) {
        this.self = self;
        this.dispatchers = dispatchers;
    }

    /** Something is heard or done at this time; the first such time is when this process began. */
    void at(long now) {
        if (turns == null && dispatchers > 1) {
            turns = FleetPermits.ofNumbered(self, dispatchers, now);
        }
    }

    /** The window that is open, by its number. */
    static long window(long now) {
        return Math.floorDiv(now, BOUND.window());
    }

    /** Whether one more trial of the box is ours in this window, after so many. */
    boolean has(String box, int tried, long now) {
        at(now);
        return turns == null || tried < turns.permits(BOUND, box, 0, now).permits();
    }
}
