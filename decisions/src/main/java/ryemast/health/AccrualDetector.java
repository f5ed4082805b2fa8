package ryemast.health;

/**
 * How long a sign of life of an attempt is overdue, and how likely that is without any fault.
 *
 * <p>A timeout detector compares a silence with a fixed time; the phi accrual detector (Hayashibara et al.
 * 2004, used by Cassandra) computes how unlikely so long a silence is given past observations. Here these are
 * the fleet's start delays and run times, and the result is a likelihood for the health estimates of workers
 * and attempts.
 */
final class AccrualDetector {

    private static final double SECOND = 1e6;
    /** Share of jobs that never start at a well worker, as far as their own dispatcher can observe. */
    private static final double NEVER_STARTS_RATE = 0.005;
    /** Assumed lateness of starts, in rounds, before any was seen; the first jobs run before code is warm. */
    private static final double INITIAL_LATE_ROUNDS = 5;
    private static final double LATENESS_DECAY = 0.98;
    /** Progress reports may be this many intervals apart; with one missing, so few jobs are still running. */
    private static final double PROGRESS_TOLERANCE = 1.25;
    private static final double ALIVE_WITHOUT_PROGRESS = 0.01;

    private final OutlierDetector detector;
    final boolean startsReported;
    final double neverStartsProbability;
    private final RunTimeModel runTimes = new RunTimeModel();
    private final long progressInterval;
    private final long period;
    /** The shortest time seen from a send to its start. */
    private long minStartDelay = Long.MAX_VALUE;
    /** Mean lateness of starts, in microseconds. */
    private double meanLateness;

    AccrualDetector(OutlierDetector detector, boolean startsReported, long progressInterval, long period,
            int dispatchers) {
        this.detector = detector;
        this.startsReported = startsReported;
        this.progressInterval = progressInterval;
        this.period = period;
        // Jobs of other dispatchers are not visible, and one can delay several of this dispatcher's jobs.
        neverStartsProbability = Math.min(0.5, NEVER_STARTS_RATE * dispatchers);
        meanLateness = INITIAL_LATE_ROUNDS * period;
    }

    void started(AttemptMonitor job, long now) {
        minStartDelay = Math.min(minStartDelay, now - job.sentAt);
        if (detector.wasStalled(now)) {
            return;
        }
        double lateness = Math.max(0, now - job.dueAt - minStartDelay);
        meanLateness = Math.max(period, meanLateness + (lateness - meanLateness) * (1 - LATENESS_DECAY));
    }

    void served(AttemptMonitor job, long now) {
        if (!awaitsStart(job) && !detector.wasStalled(now)) {
            runTimes.learn(expectedRun(job), (now - runningSince(job)) / SECOND);
        }
    }

    long minStartDelay() {
        return minStartDelay;
    }

    boolean awaitsStart(AttemptMonitor job) {
        return startsReported && job.startedAt == 0;
    }

    /** Whether a sign is missing that every running job gives; false where such signs are not reported. */
    boolean isRequiredSignMissing(AttemptMonitor job, long now) {
        return awaitsStart(job) || progressInterval > 0 && startsReported
                && detector.observableSeconds(Math.max(job.startedAt, job.lastProgressAt), now) * SECOND
                > PROGRESS_TOLERANCE * progressInterval;
    }

    /** About when the next sign was due. */
    long overdueSince(AttemptMonitor job) {
        return awaitsStart(job) ? job.dueAt : Math.max(job.lastProgressAt + progressInterval,
                runningSince(job) + (long) (2 * SECOND * runTimes.median(expectedRun(job))));
    }

    /** Whether it was sent to wait behind other jobs: what delays these delays it too. */
    boolean isQueued(AttemptMonitor job) {
        return awaitsStart(job) && job.dueAt > job.sentAt + period;
    }

    /** When it began to run, as far as is known. */
    private long runningSince(AttemptMonitor job) {
        return startsReported ? job.startedAt : Math.max(job.sentAt, job.dueAt);
    }

    private double expectedRun(AttemptMonitor job) {
        return Math.max(job.expectedRun, period / SECOND);
    }

    /** Seconds since the next sign was due, 0 or less if none is overdue. */
    double overdueSeconds(AttemptMonitor job, long now, long lastActivityAt) {
        if (awaitsStart(job)) {
            return detector.observableSeconds(job.dueAt, now)
                    - (Math.min(minStartDelay, period) + period) / SECOND;
        }
        double overrun = detector.observableSeconds(runningSince(job), now)
                - 2 * runTimes.median(expectedRun(job));
        double sinceProgress = job.lastProgressAt == 0 ? overrun
                : (now - job.lastProgressAt - PROGRESS_TOLERANCE * progressInterval) / SECOND;
        return Math.min((now - lastActivityAt) / SECOND, Math.min(overrun, sinceProgress));
    }

    /** The share of undisturbed jobs that are as overdue as this one; 1 if nothing is overdue. */
    double aliveLikelihood(AttemptMonitor job, long now) {
        if (detector.wasStalled(now)) {
            return 1;
        }
        if (awaitsStart(job)) {
            double overdue = overdueSeconds(job, now, 0);
            // A queueing delay is a sum of estimates; its error grows with its length.
            double likelihood = Math.exp(-overdue * SECOND / (meanLateness + job.dueAt - job.sentAt));
            return overdue <= 0 ? 1 : Math.max(neverStartsProbability - NEVER_STARTS_RATE, likelihood);
        }
        if (isRequiredSignMissing(job, now)) {
            return ALIVE_WITHOUT_PROGRESS;
        }
        return job.lastProgressAt > 0 ? 1
                : runTimes.survival(expectedRun(job), detector.observableSeconds(runningSince(job), now));
    }
}
