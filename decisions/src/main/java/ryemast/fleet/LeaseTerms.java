package ryemast.fleet;

/**
 * How long a heartbeat proves its sender alive on clocks that may drift: the holder counts less than the
 * lease's duration and observers count more, so that no two clocks within the drift let both act at once
 * (Gray and Cheriton, "Leases", SOSP 1989).
 *
 * @param duration D, microseconds
 * @param drift maximum relative error of a clock's rate against true time
 */
public record LeaseTerms(long duration, double drift) {

    public static final long MIN_DURATION = 300_000;
    /** A takeover later than a minute is of no use; a record with a longer duration is invalid. */
    public static final long MAX_DURATION = 60_000_000;
    /** For quartz clocks and NTP-disciplined virtual machines; about a hundred times their actual drift. */
    public static final double DEFAULT_DRIFT = 0.01;
    private static final long DEFAULT_DURATION = 3_000_000;
    /** Two heartbeats may be lost, and a third one late, before the lease ends. */
    private static final int HEARTBEATS_PER_LEASE = 3;

    /** The default: 3 s and 1%. */
    public static final LeaseTerms DEFAULT = new LeaseTerms(DEFAULT_DURATION, DEFAULT_DRIFT);

    public LeaseTerms {
        if (duration < MIN_DURATION || duration > MAX_DURATION) {
            throw new IllegalArgumentException("a lease must last " + MIN_DURATION / 1000 + " to "
                    + MAX_DURATION / 1000
                    + " ms, not " + duration / 1000);
        }
        if (!(drift >= 0 && drift <= 0.1)) {
            throw new IllegalArgumentException("a clock's drift must be 0 to 0.1, not " + drift);
        }
    }

    /** How long the holder may act, from just before it sent a heartbeat that was confirmed. */
    public long holderDuration() {
        return (long) (duration * (1 - drift));
    }

    /** How long a record with this lease duration must be unchanged to prove its holder gone. */
    public long observerTimeout(long recordDuration) {
        return (long) Math.ceil(Math.min(MAX_DURATION, Math.max(MIN_DURATION, recordDuration)) * (1 + drift));
    }

    public long heartbeatInterval() {
        return duration / HEARTBEATS_PER_LEASE;
    }

    /** Delay before the next retry after this many failures: a tenth of the interval, doubling up to it. */
    long retryDelay(int failures) {
        return Math.min(heartbeatInterval(),
                heartbeatInterval() / 10 << Math.min(4, Math.max(0, failures - 1)));
    }
}
