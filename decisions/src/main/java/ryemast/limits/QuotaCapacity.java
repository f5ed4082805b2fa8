package ryemast.limits;

import java.util.Collection;

/**
 * The minimum capacity of a worker as implied by the tenants' quotas: they are fractions of what the whole
 * fleet can do, so that their sum does not exceed its capacity, of which a worker has a share by its size.
 * One dispatcher of many sees too little traffic to measure this (docs/full-fleet.md). Known only if sizes
 * are listed and every tenant has a quota.
 *
 * <p>Sizes are compared with the largest sum of sizes ever listed as ready, so that a temporary loss of
 * workers does not inflate the capacity of the others.
 */
public final class QuotaCapacity {

    private final double jobsPerSecond;
    private double maxTotalSize;

    /** {@code quotas}: jobs per second by tenant; {@code sized}: whether workers' sizes are listed. */
    public QuotaCapacity(Collection<Double> quotas, boolean sized) {
        boolean known = sized && !quotas.isEmpty()
                && quotas.stream().allMatch(quota -> quota > 0 && quota < Double.MAX_VALUE);
        jobsPerSecond = known ? quotas.stream().mapToDouble(Double::doubleValue).sum() : 0;
    }

    /** Whether the capacity is known. */
    public boolean isKnown() {
        return jobsPerSecond > 0;
    }

    /** {@code sum}: the sum of the sizes of all ready workers. */
    public void recordTotalSize(double sum) {
        maxTotalSize = Math.max(maxTotalSize, sum);
    }

    /** Mean jobs per second that a warm worker of this size clears; 0 if unknown. */
    public double jobsPerSecondFor(double size) {
        return maxTotalSize > 0 ? jobsPerSecond * size / maxTotalSize : 0;
    }
}
