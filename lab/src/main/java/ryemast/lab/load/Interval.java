package ryemast.lab.load;

import java.util.function.LongSupplier;
import java.util.function.ToLongFunction;
import ryemast.lab.books.History;

/**
 * The stretch of a run that is measured: from the first look after the warm-up to the first one after the
 * measuring time. Both ends are where the dispatcher's processor time was read, so that the jobs and the
 * processor time belong to the same stretch however late a look came.
 */
public final class Interval {

    private static final long NONE = Long.MIN_VALUE;
    private static final double SECOND = 1e6;

    private final long beginsAfter;
    private final long endsAfter;
    private final LongSupplier clock;
    private long from = NONE;
    private long to = NONE;
    private HostTime hostFrom;
    private HostTime hostTo;
    private long cpuFrom;
    private long cpuTo;

    /** {@code clock}: the one that the run's books are kept by. */
    public Interval(LoadPlan plan, LongSupplier clock) {
        beginsAfter = Math.round(plan.warmUp() * SECOND);
        endsAfter = beginsAfter + Math.round(plan.seconds() * SECOND);
        this.clock = clock;
    }

    /**
     * {@code elapsed}: of the run; {@code cpuMicros}: reads the dispatcher's processor time, below 0:
     * unknown.
     */
    public <T> void look(long elapsed, T site, ToLongFunction<T> cpuMicros) {
        if (from == NONE && elapsed >= beginsAfter) {
            begin(cpuMicros.applyAsLong(site));
        } else if (from != NONE && to == NONE && elapsed >= endsAfter) {
            end(cpuMicros.applyAsLong(site));
        }
    }

    private void begin(long cpu) {
        cpuFrom = cpu;
        hostFrom = HostTime.now();
        from = clock.getAsLong();
    }

    private void end(long cpu) {
        cpuTo = cpu;
        hostTo = HostTime.now();
        to = clock.getAsLong();
    }

    /** Where the run ended before its time: what there is counts. */
    public <T> void cutShort(T site, ToLongFunction<T> cpuMicros) {
        if (from == NONE) {
            begin(cpuMicros.applyAsLong(site));
        }
        if (to == NONE) {
            end(cpuMicros.applyAsLong(site));
        }
    }

    long from() {
        return from;
    }

    long to() {
        return to;
    }

    long cpuMicros() {
        return cpuFrom < 0 || cpuTo < 0 ? -1 : cpuTo - cpuFrom;
    }

    /** What the books say of it. */
    public Measured measured(History history) {
        return Measured.of(history, from, to, cpuMicros(), hostTo.stolenSince(hostFrom));
    }
}
