package ryemast.health;

import java.util.ArrayList;
import java.util.List;

/**
 * Baseline failure rates: how often attempts end in each kind of failure at well workers. A worker's own
 * failures are compared with these.
 *
 * <p>Each sign is weighted by the probability that its worker is well, so that a few sick workers do not
 * shift the baseline (as in robust mixture estimation; Envoy and gRPC's A50 take the mean over all hosts,
 * which ten sick ones of twenty distort). Where most workers seem sick at once, it is the baseline that has
 * changed, and all signs count fully. Each job class has rates of its own beside the fleet's: jobs of a
 * poisoned class fail at every worker.
 */
final class BaselineRates {

    private static final double SECOND = 1e6;
    /** Time constant of the decay: after so many seconds a sign counts 1/e. */
    private static final double DECAY_SECONDS = 10;
    /** Decay with each newer sign: widespread failures become the baseline within some hundred jobs. */
    private static final double DECAY_PER_SIGN = 0.998;
    /** The prior rates weigh as much as so many signs. */
    private static final double PRIOR_WEIGHT = 50;
    /** Fewer for a class, as a poisoned one must be recognized before workers are blamed for it. */
    private static final double CLASS_PRIOR_WEIGHT = 20;
    /** Upper bound: with an expected rate of 1 a failure would carry no evidence. */
    private static final double MAX_RATE = 0.9;
    /** A job that has failed at another worker as well is about as likely the cause as the worker. */
    private static final double FAILED_ELSEWHERE_RATE = 0.4;

    private static final class DecayedCounts {
        private final double priorWeight;
        private final double[] counts = new double[Sign.values().length];
        private double total;
        private long updatedAt;

        DecayedCounts(double priorWeight) {
            this.priorWeight = priorWeight;
        }

        void count(Sign sign, double weight, long now) {
            double factor = DECAY_PER_SIGN * Math.exp((updatedAt - now) / SECOND / DECAY_SECONDS);
            updatedAt = now;
            for (int i = 0; i < counts.length; i++) {
                counts[i] *= factor;
            }
            total = total * factor + weight;
            counts[sign.ordinal()] += weight;
        }

        double rate(Sign sign) {
            return (counts[sign.ordinal()] + sign.baselineRate * priorWeight) / (total + priorWeight);
        }
    }

    private final DecayedCounts fleet = new DecayedCounts(PRIOR_WEIGHT);
    private final List<DecayedCounts> classes = new ArrayList<>();

    void count(Sign sign, int jobClass, double weight, long now) {
        fleet.count(sign, weight, now);
        forClass(jobClass).count(sign, weight, now);
    }

    /** Probability of this failure at a well worker. */
    double expectedRate(Sign sign, int jobClass, boolean failedBefore) {
        double rate = Math.max(sign.baselineRate, Math.max(fleet.rate(sign), forClass(jobClass).rate(sign)));
        return Math.min(MAX_RATE, failedBefore ? Math.max(FAILED_ELSEWHERE_RATE, rate) : rate);
    }

    private DecayedCounts forClass(int jobClass) {
        while (classes.size() <= jobClass) {
            classes.add(new DecayedCounts(CLASS_PRIOR_WEIGHT));
        }
        return classes.get(jobClass);
    }
}
