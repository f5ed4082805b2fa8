package ryemast.pacing;

/**
 * How many batch jobs may be out at once beside clients that wait. Guarantees that batch jobs take what is
 * idle and give way soon: it is told how long each job, of either kind, had to wait at its worker before it
 * started, and what was refused, and moves one bound by these.
 *
 * <p>The rule is Vegas's (Brakmo and Peterson 1995): it watches waits, which grow before anything is lost,
 * not losses, and moves once for each window of signs, as all late starts of one moment have one cause: a
 * rule that took something off for each of them swung between a third and all of what was idle. Where more
 * than one in ten of the batch jobs, or one in twenty of the clients', came late, the bound goes down by a
 * twentieth; else, if it was used up, it goes up by half of that. A client's job is late once it has waited
 * for half of its aim, as the other half is still there to make up for it. Until the first such sign the
 * bound doubles (slow start), since idle boxes are idle now. A refusal says that even waiting is over: the
 * bound goes down by a third, at most once in each {@link #REACTION}, and nothing is sent before the time
 * that it names.
 *
 * <p>How long is long is learned: the shortest starts are what the way to the worker takes, and a start
 * counts as late beyond four times that and {@link #LEAST_WAIT}. What is taken for the way goes up hardly
 * at all while starts are late: a quantile did, and took a full fleet for a long way. That least wait
 * decides how full the fleet is run: with c places in use to a part r and jobs of s, one in exp((1 - r) c w
 * / s) of those that wait at all waits for longer than w (M/M/c), so that larger fleets are run fuller for
 * the same wait. Where workers do not tell of starts, only refusals speak, and the bound grows by one for
 * each so many jobs as it allows.
 */
public final class InFlight {

    /** A batch job's start may take this long anywhere: nobody waits for it. */
    public static final long LEAST_WAIT = 120_000;
    /**
     * A client's job's start may take this long anywhere: a round of the module, the way there, a
     * call-back.
     */
    public static final long LEAST_CLIENT_WAIT = 40_000;
    /** Signs within so long of one another have one cause. */
    public static final long REACTION = 250_000;
    /** What is waited after a refusal without advice, doubling up to {@link #LONGEST_PAUSE}. */
    public static final long FIRST_PAUSE = 50_000;
    public static final long LONGEST_PAUSE = 5_000_000;
    private static final double GAIN = 0.025;
    private static final double LEAST_GAIN = 0.25;
    private static final double LOSS = 0.05;
    private static final double LEAST_LOSS = 1;
    /** So many signs are needed to tell something from chance. */
    private static final int SIGNS = 10;
    private static final double LATE_ALLOWED = 0.1;
    private static final double CLIENTS_LATE_ALLOWED = 0.05;
    private static final double OF_AIM = 0.5;
    private static final double AFTER_REFUSAL = 0.67;
    private static final double TIMES_USUAL = 4;
    /** How fast the way's time is followed down to shorter starts, and how slowly up where all are longer. */
    private static final double DOWN = 0.2;
    private static final double UP = 0.0005;

    private final double most;
    private final boolean startsTold;
    private double limit;
    private boolean slowStart = true;
    private int out;
    /** What the way to a worker takes. */
    private double usual = LEAST_CLIENT_WAIT / TIMES_USUAL;
    private long lastCut = Long.MIN_VALUE / 2;
    private long notBefore = Long.MIN_VALUE;
    private long pause = FIRST_PAUSE;
    private long waits;
    private long cuts;
    /** Since when signs are counted, and which there were. */
    private long windowAt = Long.MIN_VALUE / 2;
    private int starts;
    private int late;
    private int clientStarts;
    private int clientsLate;
    private boolean usedUp;

    /**
     * @param most        never more than this, at least 1
     * @param startsTold  whether workers tell when a job has started
     */
    public InFlight(int most, boolean startsTold) {
        if (most < 1) {
            throw new IllegalArgumentException("at least one job must be allowed to be out: " + most);
        }
        this.most = most;
        this.startsTold = startsTold;
        limit = Math.min(most, 2);
    }

    /** How many more may go out now. */
    public int room(long now) {
        return now < notBefore ? 0 : Math.max(0, (int) limit - out);
    }

    /** When {@link #room} may be asked again though nothing ends; the past if at any time. */
    public long notBefore() {
        return notBefore;
    }

    public int out() {
        return out;
    }

    public double limit() {
        return limit;
    }

    /** Starts that came late, of either kind of job. */
    public long waits() {
        return waits;
    }

    /** How often the bound was cut for refusals. */
    public long cuts() {
        return cuts;
    }

    /** A batch job has been handed in. */
    public void sent() {
        out++;
    }

    /** One that was out is over, however it ended; {@code served}: it ended well. */
    public void over(boolean served) {
        out--;
        if (served) {
            pause = FIRST_PAUSE;
            if (!startsTold) {
                limit = Math.min(most, limit + (slowStart ? 1 : 1 / Math.max(1, limit)));
            }
        }
    }

    /** A batch job has started so long after it was sent to its worker. */
    public void started(long now, long waited) {
        starts++;
        late += isLate(waited, LEAST_WAIT) ? 1 : 0;
        // Room that was not asked for proves nothing.
        usedUp |= out >= (int) limit;
        if (slowStart && late == 0) {
            limit = Math.min(most, limit + 1);
        }
        move(now);
    }

    /** A client's job has started so long after it was sent to its worker; {@code aim}: its class's. */
    public void clientStarted(long now, long waited, long aim) {
        boolean isLate = isLate(waited, (long) Math.max(LEAST_CLIENT_WAIT, OF_AIM * aim));
        if (out > 0) {
            clientStarts++;
            clientsLate += isLate ? 1 : 0;
            move(now);
        }
    }

    /** Once for a window of signs. */
    private void move(long now) {
        if (now - windowAt < REACTION || starts + clientStarts < SIGNS) {
            return;
        }
        if (late > LATE_ALLOWED * starts || clientsLate > CLIENTS_LATE_ALLOWED * clientStarts) {
            slowStart = false;
            limit = Math.max(1, limit - Math.max(LEAST_LOSS, LOSS * limit));
        } else if (usedUp) {
            limit = Math.min(most, limit + Math.max(LEAST_GAIN, GAIN * limit));
        }
        windowAt = now;
        starts = 0;
        late = 0;
        clientStarts = 0;
        clientsLate = 0;
        usedUp = false;
    }

    /** A batch job was refused; {@code retryAfter}: when to come back, in microseconds, 0: not said. */
    public void refused(long now, long retryAfter) {
        cut(now);
        notBefore = Math.max(notBefore, now + Math.max(retryAfter, pause));
        pause = Math.min(LONGEST_PAUSE, 2 * pause);
    }

    /** A client's job was refused: nothing that waits for nobody may stand in its way. */
    public void clientRefused(long now) {
        if (out > 0) {
            cut(now);
        }
    }

    private boolean isLate(long waited, long allowed) {
        usual = Math.max(1, waited < usual ? usual - DOWN * (usual - waited) : usual * (1 + UP));
        boolean found = waited > Math.max(allowed, TIMES_USUAL * usual);
        waits += found ? 1 : 0;
        return found;
    }

    private void cut(long now) {
        if (now - lastCut >= REACTION) {
            lastCut = now;
            cuts++;
            slowStart = false;
            // From what is really out, as a bound that nobody reached says nothing of what went well.
            limit = Math.max(1, AFTER_REFUSAL * Math.min(limit, Math.max(1, out)));
        }
    }
}
