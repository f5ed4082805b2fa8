package ryemast.health;

/**
 * How long a sign of a job is overdue, and how likely that is where nothing is wrong.
 *
 * <p>A detector by time-out asks how long; the phi accrual detector (Hayashibara et al. 2004, Cassandra's)
 * asks how unlikely so long a silence is by what was seen before. Here the fleet's starts and run times are
 * what was seen, and the answer is a likelihood that goes into the beliefs about boxes and jobs.
 */
final class Silence {

    private static final double SECOND = 1e6;
    /** A job in so many never starts at a box that is well, as far as its own dispatcher can see. */
    private static final double NEVER_STARTS = 0.005;
    /** Rounds by which starts are taken to be late before any was seen; the first jobs meet cold code. */
    private static final double FIRST_LATE = 5;
    private static final double MEMORY = 0.98;
    /** Progress notes may come this many intervals apart; where one stays out, so few jobs go on. */
    private static final double INTERVALS = 1.25;
    private static final double GOES_ON_UNHEARD = 0.01;

    private final Health health;
    final boolean startsTold;
    final double neverStarts;
    private final RunTimes runs = new RunTimes();
    private final long progressInterval;
    private final long period;
    /** The shortest time seen from a send to its start. */
    private long way = Long.MAX_VALUE;
    /** How late starts are on average, in microseconds. */
    private double meanLate;

    Silence(Health health, boolean startsTold, long progressInterval, long period, int dispatchers) {
        this.health = health;
        this.startsTold = startsTold;
        this.progressInterval = progressInterval;
        this.period = period;
        // What other dispatchers have sent is not seen: their jobs hold up several of ours at once.
        neverStarts = Math.min(0.5, NEVER_STARTS * dispatchers);
        meanLate = FIRST_LATE * period;
    }

    void started(Awaited job, long now) {
        way = Math.min(way, now - job.sentAt);
        if (health.wasDeaf(now)) {
            return;
        }
        double late = Math.max(0, now - job.dueAt - way);
        meanLate = Math.max(period, meanLate + (late - meanLate) * (1 - MEMORY));
    }

    void served(Awaited job, long now) {
        if (!awaitsStart(job) && !health.wasDeaf(now)) {
            runs.learn(guess(job), (now - begunAt(job)) / SECOND);
        }
    }

    long way() {
        return way;
    }

    boolean awaitsStart(Awaited job) {
        return startsTold && job.startedAt == 0;
    }

    /** Whether a sign that every running job gives has stayed out; where none are told, that says nothing. */
    boolean isUnheard(Awaited job, long now) {
        return awaitsStart(job) || progressInterval > 0 && startsTold
                && health.heardSince(Math.max(job.startedAt, job.progressAt), now) * SECOND
                > INTERVALS * progressInterval;
    }

    /** Since when its next sign is missing, about. */
    long missingSince(Awaited job) {
        return awaitsStart(job) ? job.dueAt : Math.max(job.progressAt + progressInterval,
                begunAt(job) + (long) (2 * SECOND * runs.median(guess(job))));
    }

    /** Whether it waits behind others: then what holds them up holds it up too. */
    boolean queues(Awaited job) {
        return awaitsStart(job) && job.dueAt > job.sentAt + period;
    }

    /** When it began to run, as far as is known. */
    private long begunAt(Awaited job) {
        return startsTold ? job.startedAt : Math.max(job.sentAt, job.dueAt);
    }

    private double guess(Awaited job) {
        return Math.max(job.run, period / SECOND);
    }

    /** Seconds since the sign that should have come next, 0 or less if none is missing. */
    double late(Awaited job, long now, long heardAt) {
        if (awaitsStart(job)) {
            return health.heardSince(job.dueAt, now) - (Math.min(way, period) + period) / SECOND;
        }
        double run = health.heardSince(begunAt(job), now) - 2 * runs.median(guess(job));
        double told = job.progressAt == 0 ? run
                : (now - job.progressAt - INTERVALS * progressInterval) / SECOND;
        return Math.min((now - heardAt) / SECOND, Math.min(run, told));
    }

    /** The part of the jobs that go on well and yet show as little as this one; 1 if nothing is missing. */
    double goesOn(Awaited job, long now) {
        if (health.wasDeaf(now)) {
            return 1;
        }
        if (awaitsStart(job)) {
            double late = late(job, now, 0);
            // A wait in a queue is a sum of guesses, and errs by as much as it is long.
            double seen = Math.exp(-late * SECOND / (meanLate + job.dueAt - job.sentAt));
            return late <= 0 ? 1 : Math.max(neverStarts - NEVER_STARTS, seen);
        }
        if (isUnheard(job, now)) {
            return GOES_ON_UNHEARD;
        }
        return job.progressAt > 0 ? 1 : runs.longer(guess(job), health.heardSince(begunAt(job), now));
    }
}
