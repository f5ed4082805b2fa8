package ryemast.health;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Outlier detection: distinguishes slow workers from sick ones, and sets how much traffic each worker gets.
 *
 * <p>One per dispatcher. It is notified of every send and its result, reads no clock (times are passed in, in
 * microseconds) and places no jobs. A worker is blamed only for its own faults: not for a job that fails
 * elsewhere too, a class that fails everywhere, failures that all workers share, a stall of this dispatcher
 * or a job that hangs by itself; a zone that goes down is treated as a whole. At most two thirds of the
 * workers are ejected: beyond that the fault is more likely in this dispatcher. docs/health.md compares the
 * options.
 */
public final class OutlierDetector {

    /** Probes of a worker that fails at once are cheap: the job is sent elsewhere one round later. */
    static final long INITIAL_PROBE_BACKOFF = 100_000;
    static final long MAX_PROBE_BACKOFF = 1_000_000;
    /** A probe without a response delays its client until the silence is detected. */
    static final long INITIAL_SILENT_PROBE_BACKOFF = 1_000_000;
    static final long MAX_SILENT_PROBE_BACKOFF = 2_000_000;
    /** Probability of sickness from which a worker's traffic is reduced, and from which it is ejected. */
    static final double REDUCE_THRESHOLD = 0.3;
    private static final double EJECT_THRESHOLD = 0.8;
    private static final double MAX_EJECTED_SHARE = 2.0 / 3;
    /** Probability of sickness of the remaining workers of a failed zone: one more failure ejects them. */
    private static final double ZONE_SUSPICION = 0.5;
    private static final int MIN_SICK_IN_ZONE = 3;
    /** Least time between two log lines on ejections, and between two on jobs that were not served. */
    private static final long STATE_LOG_INTERVAL = 1_000_000;
    private static final long REFUSAL_LOG_INTERVAL = 10_000_000;

    final BaselineRates baseline = new BaselineRates();
    final AccrualDetector accrual;
    final ProbePermits probePermits;
    private final RetryBudget retryBudget;
    private final Refusals refusals = new Refusals();
    private final Map<String, WorkerHealth> workers = new LinkedHashMap<>();
    private final Set<WorkerHealth> suspects = new LinkedHashSet<>();
    private final Set<WorkerHealth> dirty = new LinkedHashSet<>();
    private List<WorkerHealth> listed = List.of();
    private final List<String> logLines = new ArrayList<>();
    private long nextStateLogAt;
    private long nextRefusalLogAt;
    private final long stallThreshold;
    private boolean mostWorkersSick;
    /** When this dispatcher's last stall ended, and how long it was. */
    private long stallEndedAt = Long.MIN_VALUE / 2;
    private long stallDuration;
    long sends;

    /**
     * @param startsReported    whether workers report when a job starts
     * @param progressInterval  time between progress reports of a running job, 0 if there are none
     * @param period            the length of a round, within which nothing counts as overdue
     * @param self              the dispatcher's number, from 0
     */
    public OutlierDetector(boolean startsReported, long progressInterval, long period, int self,
            int dispatchers) {
        accrual = new AccrualDetector(this, startsReported, progressInterval, period, dispatchers);
        probePermits = new ProbePermits(self, dispatchers);
        retryBudget = new RetryBudget(dispatchers);
        stallThreshold = 5 * period;
    }

    public WorkerHealth worker(String id) {
        return workers.computeIfAbsent(id, name -> new WorkerHealth(this, name));
    }

    /** Removes a worker without outstanding jobs that will not return. */
    public void forget(String id) {
        var worker = workers.remove(id);
        suspects.remove(worker);
        dirty.remove(worker);
    }

    /** Sets the workers that may get jobs now. */
    public void setListed(List<WorkerHealth> ready) {
        listed = List.copyOf(ready);
    }

    int listed() {
        return listed.size();
    }

    public RetryBudget retryBudget() {
        return retryBudget;
    }

    public Refusals refusals() {
        return refusals;
    }

    /** The shortest time seen from a send to its start; {@link Long#MAX_VALUE} before the first start. */
    public long minStartDelay() {
        return accrual.minStartDelay();
    }

    /** A timer has fired: if it is very late, this dispatcher was stalled, and no worker is blamed. */
    public void timerFired(long now, long dueAt) {
        if (now - dueAt > stallThreshold) {
            stallEndedAt = now;
            stallDuration = now - dueAt;
        }
    }

    /** Whether events handled now may have been delayed by a stall here, so that their times are useless. */
    public boolean wasStalled(long now) {
        return now <= stallEndedAt + stallThreshold;
    }

    /** Seconds since {@code from} in which this dispatcher was able to receive signs, without the stall. */
    double observableSeconds(long from, long now) {
        long stalled = from < stallEndedAt ? Math.min(stallDuration, stallEndedAt - from) : 0;
        return (now - from - stalled) / 1e6;
    }

    boolean mostWorkersSick() {
        return mostWorkersSick;
    }

    void markDirty(WorkerHealth worker) {
        dirty.add(worker);
    }

    /** Updates the traffic state of every worker with new evidence; to be called before each round. */
    public void review(long now) {
        probePermits.noteTime(now);
        suspects.addAll(dirty);
        dirty.clear();
        if (suspects.isEmpty()) {
            return;
        }
        var sick = new LinkedHashMap<WorkerHealth, Double>();
        for (var each : suspects) {
            double probability = each.sickProbability(now);
            if (probability > REDUCE_THRESHOLD / 2) {
                sick.put(each, probability);
            } else {
                setTrafficState(each, TrafficState.FULL, 1, now);
            }
        }
        suspects.retainAll(sick.keySet());
        dirty.clear();
        sick.keySet().retainAll(listed);
        suspectZones(sick);
        var ejectable = sick.keySet().stream().filter(each -> sick.get(each) >= EJECT_THRESHOLD)
                .sorted(Comparator.comparing(sick::get)).toList();
        long maxEjected = (long) (MAX_EJECTED_SHARE * listed.size());
        mostWorkersSick = ejectable.size() > Math.max(1, listed.size() / 2);
        for (var each : sick.keySet()) {
            double probability = sick.get(each);
            int rank = ejectable.indexOf(each);
            if (rank >= 0 && ejectable.size() - rank <= maxEjected) {
                setTrafficState(each, TrafficState.EJECTED, 0, now);
            } else if (probability >= REDUCE_THRESHOLD) {
                setTrafficState(each, TrafficState.REDUCED,
                        Math.max(1 - probability, rank >= 0 ? 0.5 : 0), now);
            } else {
                setTrafficState(each, TrafficState.FULL, 1, now);
            }
        }
    }

    /** Where two thirds of a zone are sick, and less than a third of another, all of the zone is suspect. */
    private void suspectZones(Map<WorkerHealth, Double> sick) {
        if (sick.size() < MIN_SICK_IN_ZONE) {
            return;
        }
        Map<Integer, int[]> zones = new LinkedHashMap<>();
        for (var each : listed) {
            var counts = zones.computeIfAbsent(each.zone, zone -> new int[2]);
            counts[0]++;
            counts[1] += sick.getOrDefault(each, 0.0) >= EJECT_THRESHOLD ? 1 : 0;
        }
        if (zones.size() < 2 || zones.values().stream().noneMatch(each -> 3 * each[1] < each[0])) {
            return;
        }
        for (var each : listed) {
            var counts = zones.get(each.zone);
            if (counts[1] >= MIN_SICK_IN_ZONE && 3 * counts[1] >= 2 * counts[0]) {
                sick.merge(each, ZONE_SUSPICION, Math::max);
                suspects.add(each);
            }
        }
    }

    /** A worker that should get a repeatable job now as a recovery probe; null if none is due. */
    public WorkerHealth recoveryProbeDue(long now) {
        if (!suspects.isEmpty()) {
            for (var each : suspects) {
                if (each.recoveryProbeDue(now)) {
                    return each;
                }
            }
        }
        return null;
    }

    private void setTrafficState(WorkerHealth worker, TrafficState trafficState, double share, long now) {
        var before = worker.trafficState;
        worker.setTrafficState(trafficState, share, now);
        boolean ejected = trafficState == TrafficState.EJECTED;
        if (ejected != (before == TrafficState.EJECTED) && now >= nextStateLogAt) {
            nextStateLogAt = now + STATE_LOG_INTERVAL;
            logLines.add(worker.belief(now).description());
        }
    }

    /** The estimates of all workers that are under suspicion. */
    public List<Belief> beliefs(long now) {
        return suspects.stream().map(each -> each.belief(now)).toList();
    }

    /** The log lines for operators since the last call. */
    public List<String> takeLogLines(long now) {
        if (now >= nextRefusalLogAt) {
            nextRefusalLogAt = now + REFUSAL_LOG_INTERVAL;
            var line = refusals.summarizeNew();
            if (!line.isEmpty()) {
                logLines.add(line);
            }
        }
        var taken = List.copyOf(logLines);
        logLines.clear();
        return taken;
    }
}
