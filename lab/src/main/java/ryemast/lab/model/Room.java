package ryemast.lab.model;

import ryemast.lab.scenario.Scenario;

/**
 * The memory that a run takes, reckoned before it begins, so that no more runs go on at once than fit.
 *
 * <p>The books hold every job until the run's result is made; each dispatcher holds each box, with the
 * decision module's books of it. The figures are measured and rounded up (docs/model.md).
 */
public final class Room {

    private static final long JOB = 2_000;
    private static final long DISPATCHER_AND_BOX = 700;
    private static final long BOX = 8_000;
    private static final long RUN = 16L << 20;
    /** The rest is for the collector to work in. */
    private static final double USABLE = 0.7;
    private static final double SECOND = 1e6;
    /** Of a closed loop: a job takes as long as its work. */
    private static final double LEAST_WORK = 1_000;

    private Room() {
    }

    /** Bytes of one run. */
    public static long need(Scenario scenario) {
        return RUN + (long) (jobs(scenario) * JOB) + (long) scenario.boxes().size() * BOX
                + (long) scenario.boxes().size() * scenario.dispatchers().count() * DISPATCHER_AND_BOX;
    }

    /** How many runs of its size fit into so many bytes. */
    public static int fitting(Scenario scenario, long heap) {
        return (int) Math.min(Integer.MAX_VALUE, (long) (heap * USABLE) / need(scenario));
    }

    private static double jobs(Scenario scenario) {
        double rate = scenario.load().ratePerSecond();
        if (rate <= 0) {
            double work = scenario.classes().stream()
                    .mapToDouble(each -> each.share() * each.meanWork()).sum();
            rate = scenario.load().connections() * SECOND / Math.max(LEAST_WORK, work);
        }
        return rate * scenario.length() / SECOND;
    }
}
