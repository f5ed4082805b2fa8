package ryemast.health;

import java.util.ArrayList;
import java.util.List;

/**
 * How often sends end in each kind of trouble at boxes that are well: what a box is held against.
 *
 * <p>Signs count by the belief that their box is well, so that a few sick boxes do not become the norm (the
 * idea of robust mixture estimates; Envoy and gRPC's A50 take the mean over all boxes, which ten sick of
 * twenty spoil). Where most boxes look sick at once, the norm is what has changed, and all signs count fully.
 * Each class has rates of its own beside the common ones: jobs of a poisoned class fail everywhere.
 */
final class CommonRates {

    private static final double SECOND = 1e6;
    /** Seconds after which a sign counts a third. */
    private static final double MEMORY_SECONDS = 10;
    /** With many signs old ones fade faster: a spell of troubles is the norm after some hundred jobs. */
    private static final double FADE = 0.998;
    /** So many signs are the usual rates worth. */
    private static final double USUAL_SIGNS = 50;
    /** Fewer for a class, as a poisoned one must be seen before boxes are blamed for it. */
    private static final double USUAL_SIGNS_OF_CLASS = 20;
    /** Rates that count as certain would leave no sign that could tell. */
    private static final double MOST = 0.9;
    /** A job that has failed at another box as well is as likely at fault as the box. */
    private static final double FAILED_BEFORE = 0.4;

    private static final class Tally {
        private final double usualSigns;
        private final double[] seen = new double[Sign.values().length];
        private double all;
        private long at;

        Tally(double usualSigns) {
            this.usualSigns = usualSigns;
        }

        void count(Sign sign, double weight, long now) {
            double kept = FADE * Math.exp((at - now) / SECOND / MEMORY_SECONDS);
            at = now;
            for (int i = 0; i < seen.length; i++) {
                seen[i] *= kept;
            }
            all = all * kept + weight;
            seen[sign.ordinal()] += weight;
        }

        double rate(Sign sign) {
            return (seen[sign.ordinal()] + sign.usual * usualSigns) / (all + usualSigns);
        }
    }

    private final Tally fleet = new Tally(USUAL_SIGNS);
    private final List<Tally> classes = new ArrayList<>();

    void count(Sign sign, int jobClass, double weight, long now) {
        fleet.count(sign, weight, now);
        ofClass(jobClass).count(sign, weight, now);
    }

    /** How likely this sign of trouble is at a box that is well. */
    double expected(Sign sign, int jobClass, boolean failedBefore) {
        double rate = Math.max(sign.usual, Math.max(fleet.rate(sign), ofClass(jobClass).rate(sign)));
        return Math.min(MOST, failedBefore ? Math.max(FAILED_BEFORE, rate) : rate);
    }

    private Tally ofClass(int jobClass) {
        while (classes.size() <= jobClass) {
            classes.add(new Tally(USUAL_SIGNS_OF_CLASS));
        }
        return classes.get(jobClass);
    }
}
