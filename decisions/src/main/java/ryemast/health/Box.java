package ryemast.health;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import ryemast.membership.ProcessLifetime;

/**
 * The book of evidence about one box, and what is believed of it.
 *
 * <p>A box is well, flaky (half of its jobs fail) or down (nothing gets through). The belief is the posterior
 * of these three after every sign, which is Wald's sequential likelihood ratio test with Shiryaev's prior for
 * a change that may come at any time; it ages towards the prior. What a well box would show comes from the
 * fleet ({@link CommonRates}), so that trouble which all boxes share blames none. Signs that are missing now
 * ({@link Awaited}) weigh in as long as they are missing, as in the phi accrual detector of Hayashibara et
 * al., and stay in the book if they never come.
 */
public final class Box {

    private static final double SECOND = 1e6;
    /** A box in a hundred is taken to be down before anything is known, and half as many flaky. */
    private static final double USUALLY_DOWN = 0.01;
    private static final double USUALLY_FLAKY = 0.005;
    /** A job in so many hangs whatever its box. */
    private static final double USUALLY_HANGS = 0.005;
    /** Whatever it was, a box may turn flaky, go down or be well again from one job to the next. */
    private static final double TURNS_WELL = 0.001;
    private static final double TURNS_FLAKY = 0.001;
    private static final double TURNS_DOWN = 0.002;
    /** What a box that is down lets through by chance, and what a flaky one does at least. */
    private static final double DOWN_SERVES = 0.02;
    /** So little was seen of a job that it counts as one that hangs. */
    private static final double UNLIKELY = 0.1;
    /** A box that is down seldom answers that it is full. */
    private static final double TURNS_AWAY = 0.2;
    /** Seconds after which an opinion that nothing confirms has gone down to a third. */
    private static final double MEMORY_SECONDS = 8;
    /** Beyond this no sign of life could outweigh what was missing. */
    private static final double MOST_RATIO = 1e6;
    /** Borrowed suspicion takes this part of a box's traffic at most. */
    private static final double MOST_BORROWED = 0.6;

    final String id;
    int zone;
    private final Health health;
    private final List<Awaited> awaited = new ArrayList<>();
    private double flaky = USUALLY_FLAKY;
    private double down = USUALLY_DOWN;
    private long believedAt;
    /** Signs that the opinion rests on, fading as it does, and when the last one came. */
    private double evidence;
    private long signAt;
    /** What peers believe; 0 if nothing is known from them. */
    private double borrowed;
    private long borrowedAt;
    /** How much more likely what is missing now is at a box that is down, and at a flaky one. */
    private double missingDown = 1;
    private double missingFlaky = 1;
    private double missingWait;
    private long missingAt = Long.MIN_VALUE;
    private final int[] lately = new int[Sign.values().length];
    /** When the latest sent of the jobs that have started was sent, and the latest started that has ended. */
    private long startedSentAt = Long.MIN_VALUE;
    private long endedStartedAt = Long.MIN_VALUE;
    private final ProcessLifetime life = new ProcessLifetime();
    private long heardAt;
    private int turnedAway;
    private long turnedAwayAt = Long.MIN_VALUE;
    private long fullUntil;
    Standing standing = Standing.FULL;
    double share = 1;
    /** The most that it may have by what is said of it elsewhere. */
    private double ceiling = 1;
    private double credit;
    private long creditAt;
    private long trialAt;
    /** Trials in a row that have brought nothing so far. */
    private int trials;
    /** Trials in a window of the fleet's, and which one that was. */
    private int tried;
    private long triedIn = Long.MIN_VALUE;
    /** The last trouble was silence. */
    private boolean quiet;

    Box(Health health, String id) {
        this.health = health;
        this.id = id;
    }

    /** A job was sent here that should start at {@code dueAt} and run for {@code run} seconds. */
    public Awaited sent(long now, long dueAt, double run, int jobClass) {
        var job = new Awaited(this, now, dueAt, run, jobClass);
        awaited.add(job);
        missingAt = Long.MIN_VALUE;
        health.sends++;
        credit -= isRationed() ? 1 : 0;
        if (standing == Standing.TRIAL) {
            job.trial = true;
            trialAt = now + pause();
            trials++;
            tried = triedIn(now) + 1;
            triedIn = TrialTurns.window(now);
        }
        return job;
    }

    /** Where it is, and the most of its ordinary traffic that it may have, from 0 to 1. */
    public void in(int newZone, double most) {
        zone = newZone;
        boolean before = isRationed();
        ceiling = most;
        if (isRationed() && !before) {
            ration();
        }
    }

    private boolean isRationed() {
        return standing == Standing.REDUCED || standing == Standing.FULL && ceiling < 1;
    }

    private void ration() {
        credit = 0;
        creditAt = health.sends;
    }

    /** A sign of life that is about no job. */
    public void heard(long now) {
        heardAt = now;
        missingAt = Long.MIN_VALUE;
    }

    public long heardAt() {
        return heardAt;
    }

    void started(Awaited job, long now) {
        health.silence.started(job, now);
        heard(now);
        life.recordAlive(job.sentAt, now);
        startedSentAt = Math.max(startedSentAt, job.sentAt);
        hasRoom();
    }

    /** A job has started or ended: whatever it turned away before, there is a place in its queue now. */
    private void hasRoom() {
        turnedAway = 0;
        fullUntil = 0;
    }

    void ended(Awaited job, Sign sign, boolean failedBefore, long now) {
        double goesOn = sign == Sign.NOTHING ? health.silence.goesOn(job, now) : 1;
        double atWell = atWell(job, goesOn);
        boolean alone = isAlone(job);
        awaited.remove(job);
        missingAt = Long.MIN_VALUE;
        age(now);
        double well = 1 - flaky - down;
        if (sign == Sign.SERVED) {
            heard(now);
            health.silence.served(job, now);
            life.recordAlive(job.sentAt, now);
            startedSentAt = Math.max(startedSentAt, job.sentAt);
            endedStartedAt = Math.max(endedStartedAt, job.begunAt());
            hasRoom();
            believe(well, flaky / 2, down * DOWN_SERVES);
        } else if (sign == Sign.NOTHING) {
            double weight = weight(job, now);
            believe(well * Math.pow(atWell, weight), flaky * Math.pow(atFlaky(goesOn), weight),
                    down * Math.pow(alone ? atWell : 1, weight));
        } else if (sign.isTrouble()) {
            double expected = health.rates.expected(sign, job.jobClass, failedBefore);
            believe(well * expected, flaky * (1 + expected) / 2, down * (1 - DOWN_SERVES));
        } else if (sign == Sign.TURNED_AWAY) {
            believe(well, flaky, down * TURNS_AWAY);
            // Jobs that were under way when it last turned one away say the same once more, and no more.
            turnedAway += job.sentAt > turnedAwayAt ? 1 : 0;
            turnedAwayAt = now;
        }
        boolean trouble = sign.isTrouble() && (sign != Sign.NOTHING || goesOn < UNLIKELY);
        lately[sign.ordinal()] += trouble ? 1 : 0;
        if (sign == Sign.SERVED || trouble) {
            evidence++;
            signAt = now;
            health.rates.count(sign, job.jobClass, health.mostSick() ? 1 : well, now);
        }
        if (sign == Sign.SERVED) {
            trials = 0;
            trialAt = now;
        } else if (trouble) {
            quiet = sign == Sign.NOTHING;
        }
        if (trouble || standing != Standing.FULL) {
            health.changed(this);
        }
    }

    /** With each trial in a row that brings nothing the next one comes later. */
    private long pause() {
        return quiet ? Math.min(Health.LONGEST_PAUSE_SILENT, Health.FIRST_PAUSE_SILENT << Math.min(8, trials))
                : Math.min(Health.LONGEST_PAUSE, Health.FIRST_PAUSE << Math.min(8, trials));
    }

    private void believe(double wellNow, double flakyNow, double downNow) {
        double sum = wellNow + flakyNow + downNow;
        double wellLeft = Math.max(TURNS_WELL, wellNow / sum);
        double flakyLeft = Math.max(TURNS_FLAKY, flakyNow / sum);
        double downLeft = Math.max(TURNS_DOWN, downNow / sum);
        flaky = flakyLeft / (wellLeft + flakyLeft + downLeft);
        down = downLeft / (wellLeft + flakyLeft + downLeft);
    }

    /** Beliefs fade towards what is usual, so that a sick box that nobody tries is tried again. */
    private void age(long now) {
        double kept = kept(now);
        flaky = USUALLY_FLAKY + (flaky - USUALLY_FLAKY) * kept;
        down = USUALLY_DOWN + (down - USUALLY_DOWN) * kept;
        evidence *= kept;
        believedAt = now;
    }

    /** Its process is new since then: nothing that was known of it holds. */
    public void startedAnew(long start) {
        life.recordStart(start);
        flaky = USUALLY_FLAKY;
        down = USUALLY_DOWN;
        turnedAway = 0;
        fullUntil = 0;
        standing = Standing.FULL;
        share = 1;
        trials = 0;
        evidence = 0;
        borrowed = 0;
        heardAt = 0;
        Arrays.fill(lately, 0);
        awaited.forEach(job -> job.lost = true);
        missingAt = Long.MIN_VALUE;
    }

    /** Whether the box goes on without this job: then what is missing is the job's matter, not the box's. */
    boolean isAlone(Awaited job) {
        boolean started = job.startedAt > 0 || !health.silence.startsTold;
        return started ? job.begunAt() < endedStartedAt : job.sentAt < startedSentAt;
    }

    boolean isUnheard(Awaited job, long now) {
        return health.silence.isUnheard(job, now);
    }

    double late(Awaited job, long now) {
        return health.silence.late(job, now, heardAt);
    }

    /** How likely so little of a job is at a box that is well: it goes on, or is one of the few that hang. */
    private double atWell(Awaited job, double goesOn) {
        double hangs = health.silence.awaitsStart(job) ? health.silence.neverStarts
                : health.rates.expected(Sign.NOTHING, job.jobClass, false);
        return goesOn + hangs * (1 - goesOn);
    }

    /** What should have come long ago tells of long ago. */
    private double weight(Awaited job, long now) {
        long since = Math.max(0, now - health.silence.missingSince(job));
        return Math.exp(-since / SECOND / MEMORY_SECONDS);
    }

    /** And at a flaky one: half of the jobs hang. */
    private static double atFlaky(double goesOn) {
        return (1 + goesOn) / 2;
    }

    /** How likely it is that nothing will come of this job, by the box's other jobs and by its own. */
    double gone(Awaited job, long now) {
        look(now);
        age(now);
        double goesOn = health.silence.goesOn(job, now);
        double atWell = atWell(job, goesOn);
        boolean alone = isAlone(job);
        double well = 1 - flaky - down;
        double isFlaky = flaky * missingFlaky * atWell / atFlaky(goesOn);
        double isDown = down * missingDown * (alone ? 1 : atWell);
        double hangs = alone ? isFlaky / 2 : isFlaky / 2 + isDown;
        double all = well + isFlaky + isDown;
        double odds = (hangs + USUALLY_HANGS * well) / Math.max(1e-12, (all - hangs) * goesOn);
        return odds / (1 + odds);
    }

    private void look(long now) {
        if (missingAt == now) {
            return;
        }
        missingAt = now;
        double ratioDown = 1;
        double ratioFlaky = 1;
        double late = 0;
        double queue = 1;
        for (int i = 0; i < awaited.size(); i++) {
            var job = awaited.get(i);
            double goesOn = job.lost ? 1 : health.silence.goesOn(job, now);
            if (goesOn < 1) {
                double atWell = atWell(job, goesOn);
                boolean queues = health.silence.queues(job);
                double weight = weight(job, now);
                ratioFlaky = Math.min(MOST_RATIO,
                        ratioFlaky * (queues ? 1 : Math.pow(atFlaky(goesOn) / atWell, weight)));
                if (!isAlone(job)) {
                    double ratio = Math.pow(1 / atWell, weight);
                    queue = Math.max(queue, queues ? ratio : 1);
                    ratioDown = Math.min(MOST_RATIO, ratioDown * (queues ? 1 : ratio));
                    late = Math.max(late, late(job, now));
                }
            }
        }
        missingDown = ratioDown * queue;
        missingFlaky = ratioFlaky;
        missingWait = late;
        if (ratioDown > 2 || ratioFlaky > 2) {
            health.changed(this);
        }
    }

    /**
     * How likely it is by now that the box is flaky or down, signs that are missing included; with what peers
     * have seen, as far as own signs are few. That alone makes a box suspect, and never sets it aside.
     */
    public double sick(long now) {
        double own = ownSick(now);
        if (borrowed <= 0) {
            return own;
        }
        double fresh = Math.exp((borrowedAt - now) / SECOND / MEMORY_SECONDS) / (1 + evidence(now));
        return Math.max(own, own + (Math.min(MOST_BORROWED, borrowed) - own) * fresh);
    }

    /** What peers tell: how likely the box is sick; 0: nothing. */
    public void borrow(double sick, long now) {
        borrowed = sick;
        borrowedAt = now;
        if (sick >= Health.SUSPECT) {
            health.changed(this);
        }
    }

    /** How many signs the opinion rests on, old ones less; what was overdue of late counts as one. */
    public double evidence(long now) {
        return evidence * kept(now) + (isOverdue() ? 1 : 0);
    }

    /** Microseconds since the last sign that a job gave; 0 while something is overdue. */
    public long sinceSign(long now) {
        return isOverdue() ? 0 : now - signAt;
    }

    /** By the last look at what is missing; where nothing is out any more, nothing is. */
    private boolean isOverdue() {
        return !awaited.isEmpty() && (missingDown > 2 || missingFlaky > 2);
    }

    private double kept(long now) {
        return Math.exp((believedAt - now) / SECOND / MEMORY_SECONDS);
    }

    /** How sick the box is by own signs up to the last look at what is missing; it changes nothing here. */
    public double toTell(long now) {
        boolean overdue = isOverdue();
        double isFlaky = (USUALLY_FLAKY + (flaky - USUALLY_FLAKY) * kept(now)) * (overdue ? missingFlaky : 1);
        double isDown = (USUALLY_DOWN + (down - USUALLY_DOWN) * kept(now)) * (overdue ? missingDown : 1);
        double well = 1 - USUALLY_FLAKY - USUALLY_DOWN
                - (flaky - USUALLY_FLAKY + down - USUALLY_DOWN) * kept(now);
        return (isFlaky + isDown) / (well + isFlaky + isDown);
    }

    private double ownSick(long now) {
        age(now);
        look(now);
        double sickNow = flaky * missingFlaky + down * missingDown;
        return sickNow / (1 - flaky - down + sickNow);
    }

    /** Seconds that a job sent now would wait because of silence or fullness, as far as it is believed. */
    public double delay(long now) {
        look(now);
        double silent = missingWait > 0 ? missingWait * sick(now) : 0;
        return Math.max(silent, Math.max(0, fullUntil - now) / SECOND);
    }

    /** It turned a job away: with each in a row, twice the time until it is expected to have room. */
    public void full(long now, double seconds) {
        double pause = Math.min(1, seconds * Math.scalb(1.0, Math.max(0, Math.min(10, turnedAway - 1))));
        fullUntil = Math.max(fullUntil, now + (long) (pause * SECOND));
    }

    public String id() {
        return id;
    }

    public Standing standing() {
        return standing;
    }

    /** Whether a job may go here by the box's standing; if not, only where no other box will do. */
    public boolean admits() {
        return isWell() || isRationed() && credit() >= 1;
    }

    /** Whether a job that must run once may go here. */
    public boolean isTrusted() {
        return isWell();
    }

    /** Whether nothing is held against it. */
    public boolean isWell() {
        return standing == Standing.FULL && ceiling >= 1;
    }

    /**
     * When the latest job was sent that started here; the least number if there is none, or if the box has
     * turned a job away since.
     */
    public long provenAt() {
        return startedSentAt > turnedAwayAt ? startedSentAt : Long.MIN_VALUE;
    }

    /** For how long it is known to be one process. */
    public ProcessLifetime life() {
        return life;
    }

    /** Whether a job that may be repeated should go here now, to see whether the box is well again. */
    public boolean trialDue(long now) {
        return standing == Standing.TRIAL && now >= trialAt && health.turns.has(id, triedIn(now), now);
    }

    private int triedIn(long now) {
        return triedIn == TrialTurns.window(now) ? tried : 0;
    }

    private double credit() {
        credit = Math.min(2, credit
                + Math.min(share, ceiling) * (health.sends - creditAt) / Math.max(1, health.listed()));
        creditAt = health.sends;
        return credit;
    }

    void stand(Standing next, double part, long now) {
        if (next == Standing.TRIAL && standing != Standing.TRIAL) {
            quiet |= missingDown > 2;
            trialAt = now + pause();
        }
        if (next == Standing.REDUCED && !isRationed()) {
            ration();
        }
        if (next == Standing.FULL && standing != Standing.FULL) {
            Arrays.fill(lately, 0);
            trials = 0;
        }
        standing = next;
        share = part;
    }

    /** What is believed now, with its reason in words. */
    public Belief belief(long now) {
        double sick = sick(now);
        double downNow = down * missingDown / (1 - flaky - down + flaky * missingFlaky + down * missingDown);
        Sign most = null;
        for (var sign : Sign.values()) {
            if (sign.isTrouble() && lately[sign.ordinal()] > 0
                    && (most == null || lately[sign.ordinal()] > lately[most.ordinal()])) {
                most = sign;
            }
        }
        var state = sick < 0.5 ? Belief.State.WELL : missingDown > 2 && downNow > sick / 2
                ? Belief.State.SILENT : downNow > sick / 2 ? Belief.State.DOWN : Belief.State.FLAKY;
        return new Belief(id, state, sick, standing, share, most, missingWait);
    }
}
