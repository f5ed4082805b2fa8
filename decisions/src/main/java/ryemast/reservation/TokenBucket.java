package ryemast.reservation;

/**
 * A token bucket of work (Turner 1986) with a changing rate: between two refills the smaller of both rates
 * applies. A job larger than the bucket is admitted when the bucket is full, and leaves it in debt: over any
 * period it admits at most its capacity, what is refilled, and one such job's excess.
 */
final class TokenBucket {

    private static final double SECOND = 1e6;

    private long burst;
    private double rate;
    private double tokens;

    /** {@code burst}: the bucket's capacity in microseconds of its rate. */
    TokenBucket(long burst) {
        this.burst = burst;
    }

    /** Refills for the time that has passed; returns the overflow. */
    double refill(double rateNow, long micros) {
        double full = rateNow * burst / SECOND;
        double inflow = Math.min(rate, rateNow) * micros / SECOND;
        rate = rateNow;
        // What exceeds the capacity of a smaller rate is dropped, and is not counted as overflow.
        tokens = Math.min(tokens, full) + inflow;
        double overflow = Math.max(0, tokens - full);
        tokens -= overflow;
        return overflow;
    }

    /** Sets the capacity in microseconds of the rate; what exceeds it is dropped. */
    void burst(long micros) {
        burst = micros;
    }

    /** Adds work from another bucket's overflow. */
    void add(double work) {
        tokens = Math.min(capacity(), tokens + work);
    }

    private double capacity() {
        return rate * burst / SECOND;
    }

    double rate() {
        return rate;
    }

    void fill() {
        tokens = capacity();
    }

    boolean canTake(double work) {
        return rate > 0 && tokens >= Math.min(work, capacity());
    }

    void take(double work) {
        tokens -= work;
    }

    /** Microseconds until it can admit that much; {@link Long#MAX_VALUE}: never at the current rate. */
    long waitTime(double work) {
        double missing = Math.min(work, capacity()) - tokens;
        return rate > 0 ? (long) Math.ceil(Math.max(0, missing) / rate * SECOND) : Long.MAX_VALUE;
    }
}
