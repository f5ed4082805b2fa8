package pipitladder;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import pipitladder.Dispatcher.Tenant;
import pipitladder.DispatchState.Attempt;
import pipitladder.DispatchState.DecayingMean;
import pipitladder.DispatchState.DecayingRate;
import pipitladder.DispatchState.Worker;
import ryemast.fleet.signals.LocalEstimate;
import ryemast.fleet.signals.WorkerReport;
import ryemast.limits.QuotaCapacity;

/**
 * Estimates learned from job starts and completions: the workers' speed and slots, and the usual waits. A
 * worker without measurements starts from its kind, then the fleet, then the listed weights. Owned by
 * {@link Brain}, which decides when to update them and from what.
 */
final class WorkerEstimates {

    /** Decay per sample: a change of a worker's speed shows within about thirty jobs. */
    static final double DECAY = 0.97;
    /** A hint errs by about 0.7, speeds of a kind by 0.2: (0.7 / 0.2)^2 samples weigh as much as the kind. */
    private static final double PRIOR_SAMPLES = 12;
    /** Initial slots of a kind, until jobs show more or fewer; too high a value shows as waits at once. */
    private static final double INITIAL_SLOTS = 4;
    /**
     * Decay per start: waits change within seconds, in which one dispatcher of many sees about ten starts.
     */
    private static final double WAIT_DECAY = 0.9;
    /** Minimum evidence for reporting a worker to peers. */
    private static final double MIN_EVIDENCE = 0.1;

    private final boolean weightsAreSizes;
    private final Map<Integer, DecayingMean> kindSpeed = new LinkedHashMap<>();
    private final Map<Integer, Double> kindSlots = new LinkedHashMap<>();
    private final Map<Integer, Double> provenSlots = new LinkedHashMap<>();
    /** The recent throughput of each kind at warm workers, and the number of these workers. */
    private final Map<Integer, DecayingRate> warmThroughput = new LinkedHashMap<>();
    private final Map<Integer, Integer> warmWorkers = new LinkedHashMap<>();
    private final DecayingMean fleetSpeed = new DecayingMean();
    private final DecayingMean warmWait = new DecayingMean();
    private final DecayingMean slowStartWait = new DecayingMean();
    /** The mean weight of the workers listed as ready. */
    double meanWeight = 1;

    private final QuotaCapacity quotaCapacity;

    WorkerEstimates(Dispatcher.Settings settings) {
        weightsAreSizes = settings.weightsAreSizes();
        quotaCapacity = new QuotaCapacity(settings.tenants().stream().map(Tenant::quotaPerSecond).toList(),
                weightsAreSizes);
    }

    /** Whether the workers' capacity follows from the tenants' quotas; otherwise it is estimated. */
    boolean isCapacityKnown() {
        return quotaCapacity.isKnown();
    }

    /** {@code ready}: all workers that are ready. */
    void setReadyWorkers(List<Worker> ready) {
        double sum = ready.stream().mapToDouble(worker -> worker.info.weight()).sum();
        meanWeight = ready.isEmpty() ? 1 : sum / ready.size();
        quotaCapacity.recordTotalSize(sum);
    }

    double speed(Worker worker) {
        double fleet = fleetSpeed.mean
                + (weightsAreSizes ? Math.log(worker.info.weight() / meanWeight) : 0);
        double kind = speedOfKind(worker).withPrior(fleet, PRIOR_SAMPLES);
        return Math.exp(worker.logSpeed.withPrior(kind, PRIOR_SAMPLES));
    }

    /**
     * The speed combined with peers' evidence, weighted by its samples; used for placement, never for the
     * slow-start budget.
     */
    double speedWithPeers(Worker worker, long now) {
        double own = speed(worker);
        var peers = worker.peerEvidence;
        if (peers == null || peers.samples() <= 0) {
            return own;
        }
        double peerWeight = peers.samples() * peers.estimateDecay(now);
        double ownWeight = worker.logSpeed.samples + PRIOR_SAMPLES;
        return Math.exp((Math.log(own) * ownWeight + peers.logSpeed() * peerWeight)
                / (ownWeight + peerWeight));
    }

    /** The evidence about a worker that may be sent to peers; without details if none is left. */
    LocalEstimate ownEvidence(Worker worker, long now) {
        var box = worker.health;
        double evidence = box.evidence(now);
        boolean seen = worker.usedSlots > 0 || evidence >= MIN_EVIDENCE;
        var tale = !seen ? null
                : new WorkerReport(WorkerReport.nameHash(worker.id),
                worker.usedSlots, Math.max(0, worker.work),
                worker.logSpeed.samples > 0 ? Math.exp(worker.logSpeed.mean) : 0, worker.logSpeed.samples,
                box.peekLocalSickProbability(now), evidence, box.sinceLastSign(now));
        return new LocalEstimate(worker.id, worker.info.startedAt(), slots(worker), speed(worker), tale);
    }

    private DecayingMean speedOfKind(Worker worker) {
        return kindSpeed.computeIfAbsent(worker.info.kind(), kind -> new DecayingMean());
    }

    /** A job of this standard run time took so many seconds there. */
    private void recordRunTime(Worker worker, double length, double seconds) {
        double sample = Math.log(length / seconds);
        worker.logSpeed.add(sample, DECAY);
        speedOfKind(worker).add(sample, DECAY);
        fleetSpeed.add(sample, DECAY);
    }

    /** Whether any completed job has shown how long jobs take. */
    boolean hasRunTimes() {
        return fleetSpeed.samples > 0;
    }

    double slots(Worker worker) {
        return Math.max(worker.observedSlots, kindSlots.getOrDefault(worker.info.kind(), INITIAL_SLOTS));
    }

    /** Sets the workers that are ready and warm; to be called before each round. */
    void setWarmWorkers(Stream<Worker> ready) {
        warmWorkers.clear();
        ready.forEach(worker -> warmWorkers.merge(worker.info.kind(), 1, Integer::sum));
    }

    /** A warm worker completed the attempt; {@code timed}: whether the time of its end is known. */
    void recordServed(Attempt attempt, boolean timed, long now) {
        var worker = attempt.worker;
        warmThroughput.computeIfAbsent(worker.info.kind(), kind -> new DecayingRate())
                .add(now, attempt.job.work);
        if (timed) {
            boolean startReported = attempt.startedAt > 0;
            double seconds = Math.max(1, now - (startReported ? attempt.startedAt : attempt.sentAt))
                    / DispatchState.SECOND;
            recordRunTime(worker, startReported ? attempt.job.standardRunTime()
                    : attempt.job.work + attempt.workAhead, seconds);
        }
    }

    /**
     * The work that a worker clears per second: as given by the tenants' quotas. Otherwise estimated from the
     * slots observed in use at its kind, or from the throughput of its warm workers from all dispatchers,
     * assuming that each sends as much as this one; limited by the number of slots assumed for it.
     */
    double capacity(Worker worker, int dispatchers, double meanJob, long since, long now) {
        if (quotaCapacity.isKnown()) {
            return quotaCapacity.jobsPerSecondFor(worker.info.weight()) * meanJob;
        }
        int kind = worker.info.kind();
        double speed = speed(worker);
        double observed = Math.max(worker.observedSlots, provenSlots.getOrDefault(kind, 1.0)) * speed;
        var throughput = warmThroughput.get(kind);
        double workerThroughput = throughput == null ? 0
                : throughput.perSecond(now, since) * dispatchers
                / warmWorkers.getOrDefault(kind, Integer.MAX_VALUE);
        return Math.max(observed, Math.min(slots(worker) * speed, workerThroughput));
    }

    /** A job started there with so many slots in use; {@code prompt}: immediately on arrival. */
    void recordStart(Worker worker, double used, boolean prompt) {
        provenSlots.merge(worker.info.kind(), worker.runningSlots, Math::max);
        double slots = slots(worker);
        if (prompt == used > slots) {
            kindSlots.put(worker.info.kind(), slots + (used - slots) / (prompt ? 4 : 8));
        }
    }

    /** A job waited this many seconds, or longer, beyond what own work explains. */
    void recordWait(boolean inSlowStart, double seconds) {
        (inSlowStart ? slowStartWait : warmWait).add(seconds, WAIT_DECAY);
    }

    /** The expected wait, in seconds, at a worker without recent observations. */
    double usualWait(boolean inSlowStart) {
        return (inSlowStart ? slowStartWait : warmWait).mean;
    }
}
