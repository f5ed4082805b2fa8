package pipitladder;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import pipitladder.Dispatcher.Tenant;
import pipitladder.Ledger.Attempt;
import pipitladder.Ledger.Estimate;
import pipitladder.Ledger.Flow;
import pipitladder.Ledger.Worker;
import ryemast.fleet.signals.LocalEstimate;
import ryemast.fleet.signals.WorkerReport;
import ryemast.limits.PromisedCapacity;

/**
 * What starts and completions have taught of workers: their speed and slots, and how long jobs usually wait.
 * A worker that is not measured yet starts from its kind, then the fleet, then the listed weights. Owned by
 * {@link Brain}, which says when and from what to learn.
 */
final class Rates {

    /** Old samples fade so that a worker that changes its speed is seen within some thirty jobs. */
    static final double MEMORY = 0.97;
    /** A hint errs by about 0.7, speeds of a kind by 0.2: (0.7 / 0.2)^2 samples weigh as much as the kind. */
    private static final double PRIOR_SAMPLES = 12;
    /** Slots that a kind is given until jobs show more or fewer; too many are seen as waits at once. */
    private static final double FIRST_SLOTS = 4;
    /** Waits change within seconds: some ten starts count, as one dispatcher of many sees in that time. */
    private static final double MEMORY_OF_WAITS = 0.9;
    /** So little evidence of a worker is told of to peers. */
    private static final double LEAST_EVIDENCE = 0.1;

    private final boolean weightsAreSizes;
    private final Map<Integer, Estimate> kindSpeed = new LinkedHashMap<>();
    private final Map<Integer, Double> kindSlots = new LinkedHashMap<>();
    private final Map<Integer, Double> provenSlots = new LinkedHashMap<>();
    /** What each kind has served lately at warm workers, and how many of these there are. */
    private final Map<Integer, Flow> borne = new LinkedHashMap<>();
    private final Map<Integer, Integer> bearers = new LinkedHashMap<>();
    private final Estimate fleetSpeed = new Estimate();
    private final Estimate warmWait = new Estimate();
    private final Estimate coldWait = new Estimate();
    /** The mean weight of the workers that are listed as ready. */
    double meanWeight = 1;

    private final PromisedCapacity promised;

    Rates(Dispatcher.Settings settings) {
        weightsAreSizes = settings.weightsAreSizes();
        promised = new PromisedCapacity(settings.tenants().stream().map(Tenant::quotaPerSecond).toList(),
                weightsAreSizes);
    }

    /** Whether what workers clear is promised; else it is a guess. */
    boolean knowsCapacity() {
        return promised.isKnown();
    }

    /** All that are ready. */
    void list(List<Worker> ready) {
        double sum = ready.stream().mapToDouble(worker -> worker.info.weight()).sum();
        meanWeight = ready.isEmpty() ? 1 : sum / ready.size();
        promised.listed(sum);
    }

    double speed(Worker worker) {
        double fleet = fleetSpeed.mean
                + (weightsAreSizes ? Math.log(worker.info.weight() / meanWeight) : 0);
        double kind = ofKind(worker).towards(fleet, PRIOR_SAMPLES);
        return Math.exp(worker.logSpeed.towards(kind, PRIOR_SAMPLES));
    }

    /** The same with what peers tell, as so many more samples; for choices, never for the cold budget. */
    double believed(Worker worker, long now) {
        double own = speed(worker);
        var from = worker.borrowed;
        if (from == null || from.samples() <= 0) {
            return own;
        }
        double others = from.samples() * from.estimateDecay(now);
        double ours = worker.logSpeed.samples + PRIOR_SAMPLES;
        return Math.exp((Math.log(own) * ours + from.logSpeed() * others) / (ours + others));
    }

    /** What we may tell of a worker; without a tale if there is no evidence left. */
    LocalEstimate own(Worker worker, long now) {
        var box = worker.health;
        double evidence = box.evidence(now);
        boolean seen = worker.usedSlots > 0 || evidence >= LEAST_EVIDENCE;
        var tale = !seen ? null
                : new WorkerReport(WorkerReport.nameHash(worker.id),
                worker.usedSlots, Math.max(0, worker.work),
                worker.logSpeed.samples > 0 ? Math.exp(worker.logSpeed.mean) : 0, worker.logSpeed.samples,
                box.toTell(now), evidence, box.sinceSign(now));
        return new LocalEstimate(worker.id, worker.info.startedAt(), slots(worker), speed(worker), tale);
    }

    private Estimate ofKind(Worker worker) {
        return kindSpeed.computeIfAbsent(worker.info.kind(), kind -> new Estimate());
    }

    /** A job of this length has taken so many seconds there. */
    private void ran(Worker worker, double length, double seconds) {
        double sample = Math.log(length / seconds);
        worker.logSpeed.learn(sample, MEMORY);
        ofKind(worker).learn(sample, MEMORY);
        fleetSpeed.learn(sample, MEMORY);
    }

    /** Whether any job's end has shown how long jobs take. */
    boolean anySeen() {
        return fleetSpeed.samples > 0;
    }

    double slots(Worker worker) {
        return Math.max(worker.slotsSeen, kindSlots.getOrDefault(worker.info.kind(), FIRST_SLOTS));
    }

    /** Which workers are ready and warm; to be called before each round. */
    void warm(Stream<Worker> ready) {
        bearers.clear();
        ready.forEach(worker -> bearers.merge(worker.info.kind(), 1, Integer::sum));
    }

    /** A warm worker has served the attempt; {@code timed}: whether the time of its end is known. */
    void served(Attempt attempt, boolean timed, long now) {
        var worker = attempt.worker;
        borne.computeIfAbsent(worker.info.kind(), kind -> new Flow()).add(now, attempt.job.work);
        if (timed) {
            boolean startTold = attempt.startedAt > 0;
            double took = Math.max(1, now - (startTold ? attempt.startedAt : attempt.sentAt)) / Ledger.SECOND;
            ran(worker, startTold ? attempt.job.length() : attempt.job.work + attempt.workAhead, took);
        }
    }

    /**
     * What a worker clears in a second: what is promised. Else by the slots seen used at its kind, or by what
     * warm ones of its kind bear from all dispatchers, if each sends as much as this one; up to the slots it
     * is given.
     */
    double capacity(Worker worker, int dispatchers, double meanJob, long since, long now) {
        if (promised.isKnown()) {
            return promised.of(worker.info.weight()) * meanJob;
        }
        int kind = worker.info.kind();
        double speed = speed(worker);
        double proven = Math.max(worker.slotsSeen, provenSlots.getOrDefault(kind, 1.0)) * speed;
        var flow = borne.get(kind);
        double bears = flow == null ? 0
                : flow.perSecond(now, since) * dispatchers / bearers.getOrDefault(kind, Integer.MAX_VALUE);
        return Math.max(proven, Math.min(slots(worker) * speed, bears));
    }

    /** A job has started there with so many slots in use; {@code prompt}: as soon as it had come. */
    void started(Worker worker, double used, boolean prompt) {
        provenSlots.merge(worker.info.kind(), worker.runningSlots, Math::max);
        double slots = slots(worker);
        if (prompt == used > slots) {
            kindSlots.put(worker.info.kind(), slots + (used - slots) / (prompt ? 4 : 8));
        }
    }

    /** A job has waited so many seconds, or longer, beyond what own work explains. */
    void waited(boolean cold, double seconds) {
        (cold ? coldWait : warmWait).learn(seconds, MEMORY_OF_WAITS);
    }

    /** Seconds that a job is to wait at a worker of which nothing has been seen lately. */
    double usualWait(boolean cold) {
        return (cold ? coldWait : warmWait).mean;
    }
}
