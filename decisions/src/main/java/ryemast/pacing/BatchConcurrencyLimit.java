package ryemast.pacing;

/**
 * The limit on batch jobs in flight beside clients' jobs. Guarantees that batch jobs use idle capacity and
 * yield it soon: the limit is adjusted by the delay of each job, of either kind, between its send and its
 * start, and by rejections.
 *
 * <p>The algorithm is that of TCP Vegas (Brakmo and Peterson 1995): it reacts to delays, which grow before
 * anything is lost, rather than to losses. It adjusts once per window of samples, as all late starts of one
 * moment have one cause: decreasing the limit for each of them made it oscillate between a third and all of
 * the idle capacity. Where more than one in ten of the batch jobs, or one in twenty of the clients' jobs, was
 * late, the limit is decreased by a twentieth; else, if it was reached, it is increased by half of that. A
 * client's job is late once it has waited for half of its latency objective, as the other half is left to
 * recover. Until the first late window the limit doubles (slow start), since idle workers are idle now. After
 * a rejection the limit is decreased by a third, at most once in each {@link #ADJUST_INTERVAL}, and nothing
 * is sent before the time that the rejection names.
 *
 * <p>The delay that counts as late is learned: the shortest delays are the baseline (Vegas's base round-trip
 * time), and a start is late beyond four times that and {@link #BATCH_LATE_AFTER}. The baseline rises slowly
 * while starts are late: a quantile would rise with them and take a full fleet for a slow network. That wait
 * decides the utilization of the fleet: with c servers at utilization r and jobs of length s, one in exp((1 -
 * r) c w / s) of those that wait at all waits for longer than w (M/M/c), so that larger fleets reach a higher
 * utilization for the same delay. Where workers do not report starts, only rejections count, and the limit
 * grows by one per limit's worth of served jobs.
 */
public final class BatchConcurrencyLimit {

    /** A batch job's start is never late within this time, as no client waits for it. */
    public static final long BATCH_LATE_AFTER = 120_000;
    /**
     * A client's job's start is never late within this time: a round of the module, the network, a
     * call-back.
     */
    public static final long CLIENT_LATE_AFTER = 40_000;
    /** Late starts and rejections within this time of one another have one cause. */
    public static final long ADJUST_INTERVAL = 250_000;
    /** The least backoff after a rejection, doubling up to {@link #MAX_BACKOFF}. */
    public static final long INITIAL_BACKOFF = 50_000;
    public static final long MAX_BACKOFF = 5_000_000;
    private static final double INCREASE = 0.025;
    private static final double MIN_INCREASE = 0.25;
    private static final double DECREASE = 0.05;
    private static final double MIN_DECREASE = 1;
    /** The least number of samples for an adjustment: fewer may be late by chance. */
    private static final int MIN_SAMPLES = 10;
    private static final double MAX_BATCH_LATE_SHARE = 0.1;
    private static final double MAX_CLIENT_LATE_SHARE = 0.05;
    private static final double OBJECTIVE_SHARE = 0.5;
    private static final double REFUSAL_FACTOR = 0.67;
    private static final double LATE_MULTIPLE = 4;
    /** Factors by which the baseline follows shorter delays down, and longer ones up. */
    private static final double BASELINE_FALL = 0.2;
    private static final double BASELINE_RISE = 0.0005;

    private final double maxLimit;
    private final boolean startsReported;
    private double limit;
    private boolean slowStart = true;
    private int inFlight;
    /** The delay of a start without queueing. */
    private double baselineDelay = CLIENT_LATE_AFTER / LATE_MULTIPLE;
    private long lastCutAt = Long.MIN_VALUE / 2;
    private long notBefore = Long.MIN_VALUE;
    private long backoff = INITIAL_BACKOFF;
    private long lateStarts;
    private long cuts;
    /** Start of the window of samples, and the samples in it. */
    private long windowStart = Long.MIN_VALUE / 2;
    private int batchStarts;
    private int lateBatchStarts;
    private int clientStarts;
    private int lateClientStarts;
    private boolean limitReached;

    /**
     * @param maxLimit        the upper bound of the limit, at least 1
     * @param startsReported  whether workers report when a job has started
     */
    public BatchConcurrencyLimit(int maxLimit, boolean startsReported) {
        if (maxLimit < 1) {
            throw new IllegalArgumentException("the limit of jobs in flight must be at least 1: " + maxLimit);
        }
        this.maxLimit = maxLimit;
        this.startsReported = startsReported;
        limit = Math.min(maxLimit, 2);
    }

    /** How many more batch jobs may be sent now. */
    public int available(long now) {
        return now < notBefore ? 0 : Math.max(0, (int) limit - inFlight);
    }

    /** When {@link #available} may grow again without a job ending; in the past if there is no such time. */
    public long notBefore() {
        return notBefore;
    }

    public int inFlight() {
        return inFlight;
    }

    public double limit() {
        return limit;
    }

    /** Number of late starts, of either kind of job. */
    public long lateStarts() {
        return lateStarts;
    }

    /** How often the limit was decreased because of rejections. */
    public long cuts() {
        return cuts;
    }

    /** Records that a batch job was submitted to the exchange. */
    public void sent() {
        inFlight++;
    }

    /** Records the end of a batch job in flight; {@code served}: it was successful. */
    public void ended(boolean served) {
        inFlight--;
        if (served) {
            backoff = INITIAL_BACKOFF;
            if (!startsReported) {
                limit = Math.min(maxLimit, limit + (slowStart ? 1 : 1 / Math.max(1, limit)));
            }
        }
    }

    /** Records the start of a batch job, {@code waited} after it was sent to its worker. */
    public void started(long now, long waited) {
        batchStarts++;
        lateBatchStarts += isLate(waited, BATCH_LATE_AFTER) ? 1 : 0;
        // Prompt starts below the limit do not show that it can be raised.
        limitReached |= inFlight >= (int) limit;
        if (slowStart && lateBatchStarts == 0) {
            limit = Math.min(maxLimit, limit + 1);
        }
        adjust(now);
    }

    /** Records the start of a client's job; {@code objective}: the latency objective of its class. */
    public void clientStarted(long now, long waited, long objective) {
        boolean isLate = isLate(waited, (long) Math.max(CLIENT_LATE_AFTER, OBJECTIVE_SHARE * objective));
        if (inFlight > 0) {
            clientStarts++;
            lateClientStarts += isLate ? 1 : 0;
            adjust(now);
        }
    }

    /** Adjusts the limit once per window of samples. */
    private void adjust(long now) {
        if (now - windowStart < ADJUST_INTERVAL || batchStarts + clientStarts < MIN_SAMPLES) {
            return;
        }
        if (lateBatchStarts > MAX_BATCH_LATE_SHARE * batchStarts
                || lateClientStarts > MAX_CLIENT_LATE_SHARE * clientStarts) {
            slowStart = false;
            limit = Math.max(1, limit - Math.max(MIN_DECREASE, DECREASE * limit));
        } else if (limitReached) {
            limit = Math.min(maxLimit, limit + Math.max(MIN_INCREASE, INCREASE * limit));
        }
        windowStart = now;
        batchStarts = 0;
        lateBatchStarts = 0;
        clientStarts = 0;
        lateClientStarts = 0;
        limitReached = false;
    }

    /** Records that a batch job was rejected; {@code retryAfter}: in microseconds, 0 if not given. */
    public void refused(long now, long retryAfter) {
        cut(now);
        notBefore = Math.max(notBefore, now + Math.max(retryAfter, backoff));
        backoff = Math.min(MAX_BACKOFF, 2 * backoff);
    }

    /** Records that a client's job was rejected: batch jobs have to yield to it. */
    public void clientRefused(long now) {
        if (inFlight > 0) {
            cut(now);
        }
    }

    private boolean isLate(long waited, long lateAfter) {
        baselineDelay = Math.max(1, waited < baselineDelay
                ? baselineDelay - BASELINE_FALL * (baselineDelay - waited)
                : baselineDelay * (1 + BASELINE_RISE));
        boolean late = waited > Math.max(lateAfter, LATE_MULTIPLE * baselineDelay);
        lateStarts += late ? 1 : 0;
        return late;
    }

    private void cut(long now) {
        if (now - lastCutAt >= ADJUST_INTERVAL) {
            lastCutAt = now;
            cuts++;
            slowStart = false;
            // From the jobs in flight, as a limit that was not reached does not show what is sustainable.
            limit = Math.max(1, REFUSAL_FACTOR * Math.min(limit, Math.max(1, inFlight)));
        }
    }
}
