package ryemast.health;

/**
 * How long a sign of a job is overdue, and how much that tells about its box.
 *
 * <p>A detector by time-out asks how long; the phi accrual detector (Hayashibara et al. 2004, Cassandra's) asks
 * how unlikely so long a silence is at a box that is well, by what was seen before. That likelihood is
 * bounded from below: a single job may hang, or be heavy, at a box that is well, so that one silence never
 * convicts a box; several that should be independent do.
 */
final class Silence {

    private static final double SECOND = 1e6;
    /** A job in so many never starts at a box that is well, as far as its own dispatcher can see. */
    private static final double NEVER_STARTS = 0.005;
    /** Jobs that run on and on are more usual: hints err, and some jobs are heavy beyond all hints. */
    private static final double NEVER_ENDS = 0.05;
    /** Rounds by which starts are taken to be late before any was seen; the first jobs meet cold code. */
    private static final double FIRST_LATE = 5;
    private static final double MEMORY = 0.98;
    /** Progress notes may come this many intervals apart. */
    private static final double INTERVALS = 1.5;

    final boolean startsTold;
    private final long progressInterval;
    private final long period;
    private final double neverStarts;
    /** The shortest time seen from a send to its start. */
    private long way = Long.MAX_VALUE;
    /** How late starts are on average, in microseconds. */
    private double meanLate;

    Silence(boolean startsTold, long progressInterval, long period, int dispatchers) {
        this.startsTold = startsTold;
        this.progressInterval = progressInterval;
        this.period = period;
        // What other dispatchers have sent is not seen: their jobs hold up several of ours at once.
        neverStarts = Math.min(0.5, NEVER_STARTS * dispatchers);
        meanLate = FIRST_LATE * period;
    }

    void started(Awaited job, long now) {
        way = Math.min(way, now - job.sentAt);
        double late = Math.max(0, now - job.dueAt - way);
        meanLate = Math.max(period, meanLate + (late - meanLate) * (1 - MEMORY));
    }

    long way() {
        return way;
    }

    private boolean awaitsStart(Awaited job) {
        return startsTold && job.startedAt == 0;
    }

    /** Seconds since the sign that should have come next, 0 or less if none is missing. */
    double late(Awaited job, long now, long heardAt, long awakeAt) {
        if (awaitsStart(job)) {
            return (now - Math.max(job.dueAt, awakeAt) - Math.min(way, period) - period) / SECOND;
        }
        double end = Math.max(job.startedAt, job.dueAt) + 2 * job.run;
        double told = job.progressAt > 0 ? job.progressAt + INTERVALS * progressInterval : 0;
        return (now - Math.max(Math.max(heardAt, awakeAt), Math.max(end, told))) / SECOND;
    }

    /** How much more likely this silence is at a box that is down than at one that is well. */
    double ratio(Awaited job, double lateSeconds, long now) {
        return lateSeconds <= 0 ? 1 : Math.max(1,
                1 / ((awaitsStart(job) ? neverStarts : NEVER_ENDS) + asLate(job, lateSeconds, now)));
    }

    /** How much more likely it is of a job that hangs than of one that goes on. */
    double hangs(Awaited job, double lateSeconds, long now) {
        double unseen = awaitsStart(job) ? neverStarts - NEVER_STARTS : 0;
        return lateSeconds <= 0 ? 1 : 1 / Math.max(1e-6, unseen + asLate(job, lateSeconds, now));
    }

    /** The part of the jobs that go on and yet are this late. */
    private double asLate(Awaited job, double lateSeconds, long now) {
        if (awaitsStart(job)) {
            return Math.exp(-lateSeconds * SECOND / meanLate);
        }
        double times = (now - job.begunAt()) / Math.max(job.run, period);
        return 4 / (4 + times * times);
    }
}
