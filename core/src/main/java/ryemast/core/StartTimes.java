package ryemast.core;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Puts the Unix times at which workers say that they started onto the loop's monotonic clock, whatever is
 * done to the wall clock meanwhile.
 *
 * <p>The loop's clock counts from the Unix time at the program's start, so that both agree until the wall
 * clock is stepped; what started after a step tells times of the new reckoning, what started before it times
 * of the old one. So each difference that was ever seen between the two clocks is kept, and of the moments
 * that a time may mean the latest one that is not in the future counts: in doubt a worker is taken to be
 * colder than it is, never warmer. A time once translated stays as it is, since a later one means that the
 * worker started anew. All times are microseconds; owned by the loop.
 */
public final class StartTimes {

    /** A wall clock that is slewed stays within this for weeks; what is more has been stepped. */
    private static final long STEP = 500_000;
    /** Clocks of different machines differ by this at most, where they are kept at all. */
    private static final long SKEW = 1_000_000;
    /** Between the two readings no more than this may pass, or their difference says nothing. */
    private static final long PROMPT = 10_000;
    private static final int MOST_READINGS = 5;
    /** More steps than this in one process's life leave the oldest reckoning to be forgotten. */
    private static final int MOST_OFFSETS = 16;

    private final LongSupplier monotonic;
    private final LongSupplier wall;
    /** How far the wall clock was ahead of the monotonic one, in the order in which that was seen. */
    private final List<Long> offsets = new ArrayList<>(List.of(0L));
    private final Map<String, Start> known = new HashMap<>();

    /** A worker's start as it was told, and as it was translated. */
    private record Start(long unix, long at) {
    }

    /** {@code monotonic}: the loop's clock, in microseconds; {@code wall}: Unix microseconds. */
    public StartTimes(LongSupplier monotonic, LongSupplier wall) {
        this.monotonic = monotonic;
        this.wall = wall;
    }

    /** For a loop whose clock is the one that the workers' times are told by, as in a model. */
    public static StartTimes ofOneClock(Loop loop) {
        return new StartTimes(loop::clock, loop::clock);
    }

    /** To be called before the times of a list are translated: looks whether the wall clock was stepped. */
    void read() {
        for (int i = 0; i < MOST_READINGS; i++) {
            long before = monotonic.getAsLong();
            long offset = wall.getAsLong() - before;
            if (monotonic.getAsLong() - before <= PROMPT) {
                add(offset);
                return;
            }
        }
    }

    private void add(long offset) {
        if (Math.abs(offset - offsets.get(offsets.size() - 1)) < STEP) {
            return;
        }
        offsets.removeIf(old -> Math.abs(offset - old) < STEP);
        offsets.add(offset);
        if (offsets.size() > MOST_OFFSETS) {
            offsets.remove(0);
        }
    }

    /** When the worker started, on the loop's clock; 0, which means long ago, stays 0. */
    long onLoop(String worker, long unix) {
        if (unix <= 0) {
            known.remove(worker);
            return 0;
        }
        var start = known.get(worker);
        if (start == null || start.unix != unix) {
            start = new Start(unix, translated(unix));
            known.put(worker, start);
        }
        return start.at;
    }

    private long translated(long unix) {
        long now = monotonic.getAsLong();
        long latest = Long.MIN_VALUE;
        for (long offset : offsets) {
            long at = unix - offset;
            if (at <= now + SKEW) {
                latest = Math.max(latest, at);
            }
        }
        return latest == Long.MIN_VALUE ? now : Math.max(1, latest);
    }

    void forget(Collection<String> workers) {
        known.keySet().removeAll(workers);
    }
}
