package ryemast.lab.books;

import ryemast.lab.scenario.Scenario;

/**
 * Which jobs lie within their tenant's share, seen over all dispatchers: a token bucket for each tenant with
 * a quota, filled at the quota's rate and holding a second of it, full at the start. Every job takes one
 * token, its retries none; a job that finds none is over the share. To be asked in the order of the jobs'
 * due times.
 */
final class Shares {

    private static final double SECOND = 1e6;

    private final Scenario scenario;
    private final double[] tokens;
    private final long[] filledAt;

    Shares(Scenario scenario) {
        this.scenario = scenario;
        tokens = new double[scenario.tenants().size()];
        filledAt = new long[tokens.length];
        for (int i = 0; i < tokens.length; i++) {
            tokens[i] = room(i);
            filledAt[i] = Long.MIN_VALUE;
        }
    }

    boolean within(Job job) {
        int tenant = job.tenant();
        if (tenant < 0 || tenant >= tokens.length || scenario.tenants().get(tenant).quotaPerSecond() <= 0) {
            return true;
        }
        if (filledAt[tenant] != Long.MIN_VALUE) {
            double since = (job.askedAt() - filledAt[tenant]) / SECOND;
            tokens[tenant] = Math.min(room(tenant),
                    tokens[tenant] + since * scenario.tenants().get(tenant).quotaPerSecond());
        }
        filledAt[tenant] = job.askedAt();
        if (tokens[tenant] < 1) {
            return false;
        }
        tokens[tenant]--;
        return true;
    }

    private double room(int tenant) {
        return Math.max(1, scenario.tenants().get(tenant).quotaPerSecond());
    }
}
