package ryemast.net.http;

/**
 * How much has come on a connection lately: a leaky bucket, so that what comes slowly never counts as much,
 * and what came at once does for a while. Safe for many threads.
 */
final class RecentBytes {

    /** The bucket empties by a byte in so many nanoseconds: 160 KB a second. */
    private static final long NANOS_FOR_ONE = 6_250;
    /** No more is remembered, so that after the largest burst all is forgotten within half a second. */
    private static final long MOST = 64 * 1024;

    private long level;
    private long lastAt;

    /** {@code now}: in nanoseconds; something has been read by then. */
    RecentBytes(long now) {
        lastAt = now;
    }

    synchronized void add(long now, int bytes) {
        level = Math.min(MOST, level(now) + bytes);
        lastAt = now;
    }

    /** Whether more than so many bytes have come lately, the last of them within so many nanoseconds. */
    synchronized boolean isMoreThan(long now, long bytes, long within) {
        return now - lastAt < within && level(now) > bytes;
    }

    private long level(long now) {
        return Math.max(0, level - (now - lastAt) / NANOS_FOR_ONE);
    }
}
