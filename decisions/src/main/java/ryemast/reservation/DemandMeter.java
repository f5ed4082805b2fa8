package ryemast.reservation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Measures the demand for each reservation at one member, as reported to the others. Guarantees that the
 * report changes at most once per {@link #interval}, and not by chance variation: only by more than a third
 * and more than {@link #MIN_CHANGE}. It is a moving average: the mean of the last interval and, with half the
 * weight each, of those before.
 */
final class DemandMeter {

    /** Shorter intervals have too few jobs to distinguish more of them from chance. */
    private static final long MIN_INTERVAL = 5_000_000;
    /**
     * Smaller differences, in hundredths of a reservation, are not reported; demand below half of it counts
     * as none.
     */
    private static final int MIN_CHANGE = 8;
    private static final double MIN_RELATIVE_CHANGE = 1 / 3.0;
    private static final double SECOND = 1e6;

    private final long interval;
    private final Map<String, Double> requested = new HashMap<>();
    private final Map<String, Double> means = new HashMap<>();
    private Map<String, Integer> reported = Map.of();
    private long since;

    /** {@code settle}: an increase counts after twice the settle time, so no change overtakes another. */
    DemandMeter(long settle) {
        interval = Math.max(MIN_INTERVAL, 2 * settle);
    }

    /** Counts a request, admitted or not. */
    void recordDemand(String service, double work) {
        requested.merge(service, work, Double::sum);
    }

    /** The demand in hundredths of each reservation, without those that have none. */
    Map<String, Integer> report(long now, List<Grant> grants) {
        if (now - since < interval) {
            return reported;
        }
        var next = new HashMap<String, Integer>();
        var known = new HashMap<>(means);
        means.clear();
        for (var grant : grants) {
            var name = grant.reservation().service().name();
            double rate = requested.getOrDefault(name, 0.0) * SECOND / (now - since);
            double fraction = Math.min(1, rate / grant.reservation().perSecond());
            double mean = (known.getOrDefault(name, 0.0) + fraction) / 2;
            means.put(name, mean);
            int rounded = (int) Math.round(DemandWeighting.FULL_DEMAND * mean);
            int measured = rounded < MIN_CHANGE / 2 ? 0 : rounded;
            int before = reported.getOrDefault(name, 0);
            boolean changed = measured == 0 || Math.abs(measured - before) > Math.max(MIN_CHANGE,
                    MIN_RELATIVE_CHANGE * before);
            int newReport = changed ? measured : before;
            if (newReport > 0) {
                next.put(name, newReport);
            }
        }
        requested.clear();
        since = now;
        reported = Map.copyOf(next);
        return reported;
    }
}
