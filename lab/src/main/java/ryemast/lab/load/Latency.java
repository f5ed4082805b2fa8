package ryemast.lab.load;

import org.HdrHistogram.Histogram;

/**
 * How long the jobs of a measured interval took, in microseconds, kept to three digits by HdrHistogram.
 *
 * <p>In an open loop the time runs from when a job was due, so that what a stalled sender sends late counts
 * in full (G. Tene, "How not to measure latency": coordinated omission). In a closed loop a job is due when
 * the one before it has been answered: nothing is left out, and nothing needs to be put back.
 */
public final class Latency {

    private static final int DIGITS = 3;
    private static final long LONGEST = 3_600_000_000L;

    private final Histogram served = new Histogram(LONGEST, DIGITS);
    private long others;

    public void served(long micros) {
        served.recordValue(Math.min(LONGEST, Math.max(0, micros)));
    }

    /** A job that was asked for and not served. */
    public void notServed() {
        others++;
    }

    public long count() {
        return served.getTotalCount();
    }

    /** Of those that were served. */
    public long percentile(double percentile) {
        return served.getTotalCount() == 0 ? 0 : served.getValueAtPercentile(percentile);
    }

    /** Of all that were asked for, with what was not served as later than any limit, if that is wanted. */
    long over(double percentile, boolean withOthers) {
        if (!withOthers) {
            return percentile(percentile);
        }
        long all = served.getTotalCount() + others;
        double wanted = Math.ceil(all * percentile / 100);
        if (all == 0 || wanted > served.getTotalCount()) {
            return Long.MAX_VALUE;
        }
        return served.getValueAtPercentile(100 * wanted / served.getTotalCount());
    }

    public double mean() {
        return served.getTotalCount() == 0 ? 0 : served.getMean();
    }

    public long longest() {
        return served.getTotalCount() == 0 ? 0 : served.getMaxValue();
    }
}
