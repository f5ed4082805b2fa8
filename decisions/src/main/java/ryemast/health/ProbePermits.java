package ryemast.health;

import ryemast.fleet.choices.FleetLimit;
import ryemast.fleet.choices.FleetPermits;

/**
 * Permits for recovery probes of an ejected worker. Guarantees that all dispatchers together send it no more
 * probes in a window than a single one might, {@link #BOUND}, whatever their number.
 *
 * <p>Each dispatcher backs off after a probe as it would alone; in addition it needs a permit ({@link
 * FleetPermits}), which limits how many probes of the worker it may send in this window. Each has its share
 * within as many windows as there are dispatchers. Their number is a setting, so the permits of a dead one
 * stay unused while it is dead; a process has no permit in the window in which it started, as its predecessor
 * may have used it. Windows follow the clock: where two clocks differ by more than the guard, two windows are
 * open at once for as long as they differ, and the bound holds for each. A single dispatcher is not limited.
 *
 * <p>This limits only probes: where no well worker is eligible, a sick one gets ordinary jobs, and each of
 * them counts as a probe.
 */
final class ProbePermits {

    /**
     * A single dispatcher probes a worker that serves every other probe each 100 ms, ten times in a second.
     * The guard of 20 ms is more than the clocks of synchronized machines differ by.
     */
    static final FleetLimit BOUND =
            new FleetLimit("trial", (int) (1_000_000 / OutlierDetector.INITIAL_PROBE_BACKOFF),
            1_000_000, 20_000);

    private final int self;
    private final int dispatchers;
    /** Null until the first event, whose time counts as the start of this process. */
    private FleetPermits permits;

    ProbePermits(int self, int dispatchers) {
        this.self = self;
        this.dispatchers = dispatchers;
    }

    /** Records the time of an event; the first one counts as the start of this process. */
    void noteTime(long now) {
        if (permits == null && dispatchers > 1) {
            permits = FleetPermits.ofNumbered(self, dispatchers, now);
        }
    }

    /** The number of the window that is open. */
    static long window(long now) {
        return Math.floorDiv(now, BOUND.window());
    }

    /** Whether this dispatcher may send one more probe to the worker in this window, after {@code sent}. */
    boolean allows(String worker, int sent, long now) {
        noteTime(now);
        return permits == null || sent < permits.permits(BOUND, worker, 0, now).permits();
    }
}
