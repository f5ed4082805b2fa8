package ryemast.health;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import ryemast.membership.ProcessLifetime;

/**
 * The evidence about the health of one worker, and the estimate that follows from it.
 *
 * <p>A worker is well, flaky (half of its jobs fail) or down (all fail). The estimate is the posterior
 * probability of these three states after every sign, which is Wald's sequential probability ratio test with
 * Shiryaev's prior for a change that may occur at any time; it decays towards the prior. What a well worker
 * would show comes from the fleet ({@link BaselineRates}), so that failures which all workers share blame
 * none. Signs that are overdue now ({@link AttemptMonitor}) count while they are overdue, as in the phi
 * accrual detector of Hayashibara et al., and remain in the evidence once the attempt ends without them.
 */
public final class WorkerHealth {

    private static final double SECOND = 1e6;
    /** Prior: one worker in a hundred is down, and half as many are flaky. */
    private static final double PRIOR_DOWN = 0.01;
    private static final double PRIOR_FLAKY = 0.005;
    /** Share of jobs that hang whatever their worker. */
    private static final double PRIOR_HANGS = 0.005;
    /** Least probability of each state, as a worker may change its state from one job to the next. */
    private static final double MIN_WELL = 0.001;
    private static final double MIN_FLAKY = 0.001;
    private static final double MIN_DOWN = 0.002;
    /** Share of jobs that a worker which is down may still serve by chance. */
    private static final double DOWN_SUCCESS_RATE = 0.02;
    /** A job whose silence is less likely than this without a fault counts as hung. */
    private static final double HUNG_LIKELIHOOD = 0.1;
    /** Likelihood ratio of a rejection: a worker that is down seldom answers that it is full. */
    private static final double DOWN_REJECT_RATIO = 0.2;
    /** Time constant in seconds by which an estimate without new evidence decays (to 1/e). */
    private static final double DECAY_SECONDS = 8;
    /** Upper bound of a likelihood ratio: beyond it no later sign of life could outweigh overdue ones. */
    private static final double MAX_RATIO = 1e6;
    /** Suspicion reported by peers may take away at most this share of a worker's traffic. */
    private static final double MAX_PEER_SUSPICION = 0.6;

    final String id;
    int zone;
    private final OutlierDetector detector;
    private final List<AttemptMonitor> outstanding = new ArrayList<>();
    private double flaky = PRIOR_FLAKY;
    private double down = PRIOR_DOWN;
    private long decayedAt;
    /** Number of signs behind the estimate, decaying like it, and the time of the last one. */
    private double evidence;
    private long lastSignAt;
    /** Probability of sickness that peers report; 0 if they report nothing. */
    private double peerSuspicion;
    private long peerSuspicionAt;
    /** Likelihood ratios of the signs overdue now: down against well, and flaky against well. */
    private double overdueRatioDown = 1;
    private double overdueRatioFlaky = 1;
    private double longestOverdue;
    private long overdueEvaluatedAt = Long.MIN_VALUE;
    private final int[] failureCounts = new int[Sign.values().length];
    /** Latest send time of the jobs that have started, and latest start time of those that have ended. */
    private long lastStartedSentAt = Long.MIN_VALUE;
    private long lastEndedStartedAt = Long.MIN_VALUE;
    private final ProcessLifetime processLife = new ProcessLifetime();
    private long lastActivityAt;
    private int rejections;
    private long lastRejectedAt = Long.MIN_VALUE;
    private long fullUntil;
    TrafficState trafficState = TrafficState.FULL;
    double share = 1;
    /** Upper bound of its share of traffic as set from outside ({@link #updatePlacement}). */
    private double shareLimit = 1;
    private double credit;
    private long creditedSends;
    private long nextProbeAt;
    /** Recovery probes sent since the last job that was served. */
    private int consecutiveProbes;
    /** Recovery probes sent in a window of the fleet's permits, and the number of that window. */
    private int probesInWindow;
    private long probeWindow = Long.MIN_VALUE;
    /** Whether the last failure was a missing response. */
    private boolean lastFailureSilent;

    WorkerHealth(OutlierDetector detector, String id) {
        this.detector = detector;
        this.id = id;
    }

    /** Records a job sent here that should start at {@code dueAt} and run for {@code expectedRun} seconds. */
    public AttemptMonitor recordSend(long now, long dueAt, double expectedRun, int jobClass) {
        var job = new AttemptMonitor(this, now, dueAt, expectedRun, jobClass);
        outstanding.add(job);
        overdueEvaluatedAt = Long.MIN_VALUE;
        detector.sends++;
        credit -= isThrottled() ? 1 : 0;
        if (trafficState == TrafficState.EJECTED) {
            job.recoveryProbe = true;
            nextProbeAt = now + probeBackoff();
            consecutiveProbes++;
            probesInWindow = probesIn(now) + 1;
            probeWindow = ProbePermits.window(now);
        }
        return job;
    }

    /** Sets the worker's zone, and the largest share of its ordinary traffic that it may get, from 0 to 1. */
    public void updatePlacement(int newZone, double maxShare) {
        zone = newZone;
        boolean before = isThrottled();
        shareLimit = maxShare;
        if (isThrottled() && !before) {
            resetCredit();
        }
    }

    private boolean isThrottled() {
        return trafficState == TrafficState.REDUCED || trafficState == TrafficState.FULL && shareLimit < 1;
    }

    private void resetCredit() {
        credit = 0;
        creditedSends = detector.sends;
    }

    /** Records a sign of life that belongs to no job. */
    public void recordActivity(long now) {
        lastActivityAt = now;
        overdueEvaluatedAt = Long.MIN_VALUE;
    }

    public long lastActivityAt() {
        return lastActivityAt;
    }

    void recordStart(AttemptMonitor job, long now) {
        detector.accrual.started(job, now);
        recordActivity(now);
        processLife.recordAlive(job.sentAt, now);
        lastStartedSentAt = Math.max(lastStartedSentAt, job.sentAt);
        clearRejections();
    }

    /** A job has started or ended: despite earlier rejections, there is a free place in the queue now. */
    private void clearRejections() {
        rejections = 0;
        fullUntil = 0;
    }

    void recordEnd(AttemptMonitor job, Sign sign, boolean failedBefore, long now) {
        double aliveLikelihood = sign == Sign.NOTHING ? detector.accrual.aliveLikelihood(job, now) : 1;
        double ifWell = likelihoodIfWell(job, aliveLikelihood);
        boolean overtaken = isOvertaken(job);
        outstanding.remove(job);
        overdueEvaluatedAt = Long.MIN_VALUE;
        decay(now);
        double well = 1 - flaky - down;
        if (sign == Sign.SERVED) {
            recordActivity(now);
            detector.accrual.served(job, now);
            processLife.recordAlive(job.sentAt, now);
            lastStartedSentAt = Math.max(lastStartedSentAt, job.sentAt);
            lastEndedStartedAt = Math.max(lastEndedStartedAt, job.runningSince());
            clearRejections();
            updatePosterior(well, flaky / 2, down * DOWN_SUCCESS_RATE);
        } else if (sign == Sign.NOTHING) {
            double weight = weight(job, now);
            updatePosterior(well * Math.pow(ifWell, weight),
                    flaky * Math.pow(likelihoodIfFlaky(aliveLikelihood), weight),
                    down * Math.pow(overtaken ? ifWell : 1, weight));
        } else if (sign.isFailure()) {
            double expected = detector.baseline.expectedRate(sign, job.jobClass, failedBefore);
            updatePosterior(well * expected, flaky * (1 + expected) / 2, down * (1 - DOWN_SUCCESS_RATE));
        } else if (sign == Sign.TURNED_AWAY) {
            updatePosterior(well, flaky, down * DOWN_REJECT_RATIO);
            // A rejection of a job that was in transit at the last one has the same cause, and isn't counted.
            rejections += job.sentAt > lastRejectedAt ? 1 : 0;
            lastRejectedAt = now;
        }
        boolean failure = sign.isFailure() && (sign != Sign.NOTHING || aliveLikelihood < HUNG_LIKELIHOOD);
        failureCounts[sign.ordinal()] += failure ? 1 : 0;
        if (sign == Sign.SERVED || failure) {
            evidence++;
            lastSignAt = now;
            detector.baseline.count(sign, job.jobClass, detector.mostWorkersSick() ? 1 : well, now);
        }
        if (sign == Sign.SERVED) {
            consecutiveProbes = 0;
            nextProbeAt = now;
        } else if (failure) {
            lastFailureSilent = sign == Sign.NOTHING;
        }
        if (failure || trafficState != TrafficState.FULL) {
            detector.markDirty(this);
        }
    }

    /** Exponential backoff before the next recovery probe. */
    private long probeBackoff() {
        return lastFailureSilent
                ? Math.min(OutlierDetector.MAX_SILENT_PROBE_BACKOFF,
                        OutlierDetector.INITIAL_SILENT_PROBE_BACKOFF << Math.min(8, consecutiveProbes))
                : Math.min(OutlierDetector.MAX_PROBE_BACKOFF,
                        OutlierDetector.INITIAL_PROBE_BACKOFF << Math.min(8, consecutiveProbes));
    }

    private void updatePosterior(double wellNow, double flakyNow, double downNow) {
        double sum = wellNow + flakyNow + downNow;
        double boundedWell = Math.max(MIN_WELL, wellNow / sum);
        double boundedFlaky = Math.max(MIN_FLAKY, flakyNow / sum);
        double boundedDown = Math.max(MIN_DOWN, downNow / sum);
        flaky = boundedFlaky / (boundedWell + boundedFlaky + boundedDown);
        down = boundedDown / (boundedWell + boundedFlaky + boundedDown);
    }

    /** Decays the estimate towards the prior, so that a sick worker without traffic is used again. */
    private void decay(long now) {
        double factor = decayFactor(now);
        flaky = PRIOR_FLAKY + (flaky - PRIOR_FLAKY) * factor;
        down = PRIOR_DOWN + (down - PRIOR_DOWN) * factor;
        evidence *= factor;
        decayedAt = now;
    }

    /** The worker's process was replaced at that time: earlier evidence does not apply to the new one. */
    public void processRestarted(long start) {
        processLife.recordStart(start);
        flaky = PRIOR_FLAKY;
        down = PRIOR_DOWN;
        rejections = 0;
        fullUntil = 0;
        trafficState = TrafficState.FULL;
        share = 1;
        consecutiveProbes = 0;
        evidence = 0;
        peerSuspicion = 0;
        lastActivityAt = 0;
        Arrays.fill(failureCounts, 0);
        outstanding.forEach(job -> job.lost = true);
        overdueEvaluatedAt = Long.MIN_VALUE;
    }

    /** Whether later jobs have started or ended here: then the job itself hangs, not the worker. */
    boolean isOvertaken(AttemptMonitor job) {
        boolean started = job.startedAt > 0 || !detector.accrual.startsReported;
        return started ? job.runningSince() < lastEndedStartedAt : job.sentAt < lastStartedSentAt;
    }

    boolean isRequiredSignMissing(AttemptMonitor job, long now) {
        return detector.accrual.isRequiredSignMissing(job, now);
    }

    double overdueSeconds(AttemptMonitor job, long now) {
        return detector.accrual.overdueSeconds(job, now, lastActivityAt);
    }

    /** Likelihood of such a silence at a well worker: the job runs, or is one of the few that hang. */
    private double likelihoodIfWell(AttemptMonitor job, double aliveLikelihood) {
        double hangs = detector.accrual.awaitsStart(job) ? detector.accrual.neverStartsProbability
                : detector.baseline.expectedRate(Sign.NOTHING, job.jobClass, false);
        return aliveLikelihood + hangs * (1 - aliveLikelihood);
    }

    /** A sign that was due long ago is evidence about the past, and counts less. */
    private double weight(AttemptMonitor job, long now) {
        long since = Math.max(0, now - detector.accrual.overdueSince(job));
        return Math.exp(-since / SECOND / DECAY_SECONDS);
    }

    /** The same at a flaky worker, where half of the jobs hang. */
    private static double likelihoodIfFlaky(double aliveLikelihood) {
        return (1 + aliveLikelihood) / 2;
    }

    /** Probability that this attempt never ends, by its own signs and by those of the worker's other jobs. */
    double lossProbability(AttemptMonitor job, long now) {
        evaluateOverdue(now);
        decay(now);
        double aliveLikelihood = detector.accrual.aliveLikelihood(job, now);
        double ifWell = likelihoodIfWell(job, aliveLikelihood);
        boolean overtaken = isOvertaken(job);
        double well = 1 - flaky - down;
        double flakyWeight = flaky * overdueRatioFlaky * ifWell / likelihoodIfFlaky(aliveLikelihood);
        double downWeight = down * overdueRatioDown * (overtaken ? 1 : ifWell);
        double hangWeight = overtaken ? flakyWeight / 2 : flakyWeight / 2 + downWeight;
        double total = well + flakyWeight + downWeight;
        double odds = (hangWeight + PRIOR_HANGS * well)
                / Math.max(1e-12, (total - hangWeight) * aliveLikelihood);
        return odds / (1 + odds);
    }

    private void evaluateOverdue(long now) {
        if (overdueEvaluatedAt == now) {
            return;
        }
        overdueEvaluatedAt = now;
        double ratioDown = 1;
        double ratioFlaky = 1;
        double longest = 0;
        double queueRatio = 1;
        for (int i = 0; i < outstanding.size(); i++) {
            var job = outstanding.get(i);
            double aliveLikelihood = job.lost ? 1 : detector.accrual.aliveLikelihood(job, now);
            if (aliveLikelihood < 1) {
                double ifWell = likelihoodIfWell(job, aliveLikelihood);
                boolean queued = detector.accrual.isQueued(job);
                double weight = weight(job, now);
                ratioFlaky = Math.min(MAX_RATIO,
                        ratioFlaky * (queued ? 1
                                : Math.pow(likelihoodIfFlaky(aliveLikelihood) / ifWell, weight)));
                if (!isOvertaken(job)) {
                    double ratio = Math.pow(1 / ifWell, weight);
                    queueRatio = Math.max(queueRatio, queued ? ratio : 1);
                    ratioDown = Math.min(MAX_RATIO, ratioDown * (queued ? 1 : ratio));
                    longest = Math.max(longest, overdueSeconds(job, now));
                }
            }
        }
        overdueRatioDown = ratioDown * queueRatio;
        overdueRatioFlaky = ratioFlaky;
        longestOverdue = longest;
        if (ratioDown > 2 || ratioFlaky > 2) {
            detector.markDirty(this);
        }
    }

    /**
     * Probability that the worker is flaky or down now, overdue signs included; combined with what peers
     * report, as far as there is little local evidence. Peers' reports alone reduce a worker's traffic, and
     * never eject it.
     */
    public double sickProbability(long now) {
        double own = localSickProbability(now);
        if (peerSuspicion <= 0) {
            return own;
        }
        double peerWeight = Math.exp((peerSuspicionAt - now) / SECOND / DECAY_SECONDS) / (1 + evidence(now));
        return Math.max(own, own + (Math.min(MAX_PEER_SUSPICION, peerSuspicion) - own) * peerWeight);
    }

    /** Sets the probability of sickness that peers report; 0: none. */
    public void setPeerSuspicion(double sick, long now) {
        peerSuspicion = sick;
        peerSuspicionAt = now;
        if (sick >= OutlierDetector.REDUCE_THRESHOLD) {
            detector.markDirty(this);
        }
    }

    /** The decayed number of signs behind the estimate; signs that are overdue count as one. */
    public double evidence(long now) {
        return evidence * decayFactor(now) + (isOverdue() ? 1 : 0);
    }

    /** Microseconds since the last sign from a job; 0 while one is overdue. */
    public long sinceLastSign(long now) {
        return isOverdue() ? 0 : now - lastSignAt;
    }

    /** As of the last evaluation of overdue signs; false if no job is outstanding any more. */
    private boolean isOverdue() {
        return !outstanding.isEmpty() && (overdueRatioDown > 2 || overdueRatioFlaky > 2);
    }

    private double decayFactor(long now) {
        return Math.exp((decayedAt - now) / SECOND / DECAY_SECONDS);
    }

    /** Probability of sickness by local evidence, as of the last evaluation; does not change any state. */
    public double peekLocalSickProbability(long now) {
        boolean overdue = isOverdue();
        double flakyWeight = (PRIOR_FLAKY + (flaky - PRIOR_FLAKY) * decayFactor(now))
                * (overdue ? overdueRatioFlaky : 1);
        double downWeight = (PRIOR_DOWN + (down - PRIOR_DOWN) * decayFactor(now))
                * (overdue ? overdueRatioDown : 1);
        double well = 1 - PRIOR_FLAKY - PRIOR_DOWN
                - (flaky - PRIOR_FLAKY + down - PRIOR_DOWN) * decayFactor(now);
        return (flakyWeight + downWeight) / (well + flakyWeight + downWeight);
    }

    private double localSickProbability(long now) {
        decay(now);
        evaluateOverdue(now);
        double sickNow = flaky * overdueRatioFlaky + down * overdueRatioDown;
        return sickNow / (1 - flaky - down + sickNow);
    }

    /** Expected delay in seconds of a job sent now, because the worker is silent or full. */
    public double expectedDelay(long now) {
        evaluateOverdue(now);
        double silenceDelay = longestOverdue > 0 ? longestOverdue * sickProbability(now) : 0;
        return Math.max(silenceDelay, Math.max(0, fullUntil - now) / SECOND);
    }

    /** Records a rejection: each consecutive one doubles the time until the worker should have room. */
    public void recordFull(long now, double seconds) {
        double pause = Math.min(1, seconds * Math.scalb(1.0, Math.max(0, Math.min(10, rejections - 1))));
        fullUntil = Math.max(fullUntil, now + (long) (pause * SECOND));
    }

    public String id() {
        return id;
    }

    public TrafficState trafficState() {
        return trafficState;
    }

    /** Whether a job may be sent here; if not, it may be only where no other worker is eligible. */
    public boolean admits() {
        return isUnrestricted() || isThrottled() && credit() >= 1;
    }

    /** Whether a job that must not run twice may be sent here. */
    public boolean admitsUnsafe() {
        return isUnrestricted();
    }

    /** Whether the worker gets its full traffic. */
    public boolean isUnrestricted() {
        return trafficState == TrafficState.FULL && shareLimit >= 1;
    }

    /**
     * When the latest job was sent that started here; {@link Long#MIN_VALUE} if there is none, or if the
     * worker has rejected a job since.
     */
    public long lastAcceptedSentAt() {
        return lastStartedSentAt > lastRejectedAt ? lastStartedSentAt : Long.MIN_VALUE;
    }

    /** The time for which the worker is known to have been one process. */
    public ProcessLifetime processLife() {
        return processLife;
    }

    /** Whether a repeatable job should be sent here now as a recovery probe. */
    public boolean recoveryProbeDue(long now) {
        return trafficState == TrafficState.EJECTED && now >= nextProbeAt
                && detector.probePermits.allows(id, probesIn(now), now);
    }

    private int probesIn(long now) {
        return probeWindow == ProbePermits.window(now) ? probesInWindow : 0;
    }

    private double credit() {
        credit = Math.min(2, credit
                + Math.min(share, shareLimit) * (detector.sends - creditedSends)
                / Math.max(1, detector.listed()));
        creditedSends = detector.sends;
        return credit;
    }

    void setTrafficState(TrafficState next, double newShare, long now) {
        if (next == TrafficState.EJECTED && trafficState != TrafficState.EJECTED) {
            lastFailureSilent |= overdueRatioDown > 2;
            nextProbeAt = now + probeBackoff();
        }
        if (next == TrafficState.REDUCED && !isThrottled()) {
            resetCredit();
        }
        if (next == TrafficState.FULL && trafficState != TrafficState.FULL) {
            Arrays.fill(failureCounts, 0);
            consecutiveProbes = 0;
        }
        trafficState = next;
        share = newShare;
    }

    /** The present estimate, with the most frequent failure. */
    public Belief belief(long now) {
        double sick = sickProbability(now);
        double downNow = down * overdueRatioDown
                / (1 - flaky - down + flaky * overdueRatioFlaky + down * overdueRatioDown);
        Sign mostFrequent = null;
        for (var sign : Sign.values()) {
            if (sign.isFailure() && failureCounts[sign.ordinal()] > 0
                    && (mostFrequent == null
                    || failureCounts[sign.ordinal()] > failureCounts[mostFrequent.ordinal()])) {
                mostFrequent = sign;
            }
        }
        var state = sick < 0.5 ? Belief.State.WELL : overdueRatioDown > 2 && downNow > sick / 2
                ? Belief.State.SILENT : downNow > sick / 2 ? Belief.State.DOWN : Belief.State.FLAKY;
        return new Belief(id, state, sick, trafficState, share, mostFrequent, longestOverdue);
    }
}
