package ryemast.core;

/**
 * The module's clock: monotonic microseconds, counted from the Unix time at the program's start.
 *
 * <p>Guards against steps of the system's clock; Unix times that others tell of need no translation.
 */
public final class Clock {

    public static final long MICROS_PER_MS = 1000;

    private final long origin =
            System.currentTimeMillis() * MICROS_PER_MS - System.nanoTime() / MICROS_PER_MS;

    public long now() {
        return origin + System.nanoTime() / MICROS_PER_MS;
    }

    /** A Unix time in milliseconds on this clock; 0, which means long ago, stays 0. */
    public static long ofUnixMillis(long millis) {
        return millis * MICROS_PER_MS;
    }
}
