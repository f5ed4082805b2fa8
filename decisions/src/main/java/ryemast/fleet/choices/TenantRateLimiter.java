package ryemast.fleet.choices;

import java.util.Arrays;
import java.util.Collection;

/**
 * Token buckets with one member's share of each tenant's rate. Guarantees that the shares of all members
 * never add up to more than the rate, even while members come and go: a share shrinks as soon as a new member
 * is seen and grows only after members that left are certain to have released theirs
 * ({@link SettledMembers}). Over any period all members together take at most the rate times that period, the
 * burst, and one job per member where its share of the burst is less than that. Where the number of members
 * is a setting, each starts with its share of the burst, and gets it again after a restart; members that come
 * and go start with an empty bucket.
 *
 * <p>Unused shares are not passed to other members, as members do not communicate. Times are microseconds.
 */
public final class TenantRateLimiter {

    private static final double SECOND = 1e6;
    /** Minimum burst of the whole fleet in jobs, however low the rate; arrivals are no smoother than that. */
    private static final double MIN_BURST = 4;

    private final double[] rates;
    private final double burst;
    private final double[] tokens;
    private final SettledMembers settledMembers;
    private final double fixedShare;
    private double share;
    private long refilledAt = Long.MIN_VALUE;

    private TenantRateLimiter(double[] rates, double burst, SettledMembers settledMembers,
            double fixedShare) {
        this.rates = rates.clone();
        this.burst = burst;
        this.settledMembers = settledMembers;
        this.fixedShare = fixedShare;
        tokens = new double[rates.length];
    }

    /**
     * Members that come and go.
     *
     * @param rates of the whole fleet, jobs per second, by tenant
     * @param burst of the whole fleet, in seconds of the rate
     */
    public static TenantRateLimiter ofNamed(String self, long settleTime, double[] rates, double burst) {
        return new TenantRateLimiter(rates, burst, new SettledMembers(self, settleTime, 0), 0);
    }

    /** A number of members that is a setting. */
    public static TenantRateLimiter ofNumbered(int members, double[] rates, double burst) {
        var shares = new TenantRateLimiter(rates, burst, null, 1.0 / members);
        Arrays.fill(shares.tokens, Double.MAX_VALUE);
        return shares;
    }

    /** See {@link SettledMembers#observe}. */
    public void observe(long asOf, long now, Collection<String> members) {
        refill(now);
        settledMembers.observe(asOf, now, members);
        refill(now);
    }

    /** See {@link SettledMembers#invalidate}. */
    public void invalidate(long now) {
        refill(now);
        settledMembers.invalidate();
        refill(now);
    }

    /** This member's share of each rate, 0 to 1. */
    public double share(long now) {
        return settledMembers == null ? fixedShare : settledMembers.share(now);
    }

    /** Whether this job exceeds its tenant's share; a job of a tenant without a rate never does. */
    public boolean exceeds(int tenant, long now) {
        return tenant >= 0 && tenant < rates.length && !tryAcquire(tenant, now);
    }

    /** Takes a token for one job of the tenant, if there is one. */
    public boolean tryAcquire(int tenant, long now) {
        refill(now);
        if (tokens[tenant] < 1) {
            return false;
        }
        tokens[tenant]--;
        return true;
    }

    /** Between two views a share only grows or ends, so the smaller one of both applied throughout. */
    private void refill(long now) {
        double newShare = share(now);
        double seconds = refilledAt == Long.MIN_VALUE ? 0 : (now - refilledAt) / SECOND;
        for (int i = 0; i < rates.length; i++) {
            double maxTokens = newShare > 0 ? Math.max(1, Math.max(MIN_BURST, rates[i] * burst) * newShare)
                    : 0;
            tokens[i] = Math.min(maxTokens, tokens[i] + rates[i] * Math.min(share, newShare) * seconds);
        }
        share = newShare;
        refilledAt = now;
    }

    @Override
    public String toString() {
        return "share " + share + ", tokens " + Arrays.toString(tokens);
    }
}
