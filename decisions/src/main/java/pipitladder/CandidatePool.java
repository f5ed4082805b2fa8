package pipitladder;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import pipitladder.Dispatcher.WorkerState;
import pipitladder.DispatchState.Worker;
import ryemast.fleet.FleetView;
import ryemast.fleet.choices.Subset;
import ryemast.fleet.choices.SubsetWidth;

/**
 * The workers that a dispatcher draws its candidates from, near and far. All ready workers are included if
 * they fit the limit or if at most three dispatchers share them. Otherwise it is this dispatcher's own
 * {@link Subset}, computed from the indexes in the settings, which widens when its workers are unhealthy or
 * full ({@link SubsetWidth}). Owned by {@link Brain}; docs/choices.md describes the cost.
 */
final class CandidatePool {

    /** Above this number of workers a subset is used: each worker's connection and statistics take memory. */
    static final int MAX_WORKERS = 200;
    /**
     * Two random choices avoid most of the herd behaviour; more are drawn where dispatchers share
     * information.
     */
    private static final int MIN_CANDIDATES = 2;
    /** Microseconds between two health checks of the subset: each check iterates over the whole list. */
    private static final long REVIEW_INTERVAL = 250_000;

    private final Dispatcher.Settings settings;
    private final double unseenFraction;
    private final int maxWorkers;
    private List<Worker> near = List.of();
    private List<Worker> far = List.of();
    private List<Worker> listed = List.of();
    private int candidateCount = MIN_CANDIDATES;
    /** Null, and their classes not loaded, if all workers are included. */
    private Subset subset;
    private SubsetWidth widening;
    private Map<String, Worker> byId = Map.of();
    private int width;
    private long nextReviewAt;

    /** {@code unseen}: the fraction of another dispatcher's jobs that this one is not notified of. */
    CandidatePool(Dispatcher.Settings settings, double unseenFraction, int maxWorkers) {
        this.settings = settings;
        this.unseenFraction = unseenFraction;
        this.maxWorkers = maxWorkers;
    }

    /** Selects the ready workers, in this dispatcher's order. */
    List<Worker> setWorkers(Collection<Worker> known) {
        listed = known.stream().filter(worker -> worker.info.state() == WorkerState.READY)
                .sorted((one, other) -> Integer.compare(one.order, other.order)).toList();
        selectPool(listed);
        return listed;
    }

    private void selectPool(List<Worker> ready) {
        if (Subset.cover(settings.dispatchers(), ready.size(), maxWorkers) >= settings.dispatchers()) {
            subset = null;
            byId = Map.of();
            setPool(ready, settings.dispatchers());
            return;
        }
        byId = new LinkedHashMap<>();
        var weights = new LinkedHashMap<String, Double>();
        for (var worker : ready) {
            byId.put(worker.id, worker);
            weights.put(worker.id, settings.weightsAreSizes() ? worker.info.weight() : 1);
        }
        if (subset == null) {
            var view = FleetView.ofSettings(settings.self(), settings.dispatchers());
            subset = Subset.select(view.self(), view.members(), weights, maxWorkers);
            widening = new SubsetWidth();
            width = 0;
        } else {
            subset = subset.reselect(weights, maxWorkers);
            width = Math.min(width, subset.maxWidth());
        }
        useSubset();
    }

    /** Called before each round: a subset that is unhealthy or full widens immediately, and narrows later. */
    void review(long now) {
        if (subset == null || now < nextReviewAt) {
            return;
        }
        nextReviewAt = now + REVIEW_INTERVAL;
        int newWidth = widening.width(now, subset, id -> byId.get(id).health.isUnrestricted());
        if (newWidth != width) {
            width = newWidth;
            useSubset();
        }
    }

    private void useSubset() {
        double sharers = Subset.cover(settings.dispatchers(), listed.size(), maxWorkers) * (1 << width);
        setPool(subset.workersAt(width).stream().map(byId::get).toList(),
                Math.min(sharers, settings.dispatchers()));
    }

    /** {@code sharers}: the number of dispatchers that use a worker, this one included. */
    private void setPool(List<Worker> used, double sharers) {
        near = used.stream().filter(this::isNear).toList();
        far = used.stream().filter(worker -> !isNear(worker)).toList();
        double spread = unseenFraction == Double.MAX_VALUE ? unseenFraction
                : Math.pow(1 + (sharers - 1) * unseenFraction, 2.0 / 3);
        candidateCount = Math.max(MIN_CANDIDATES, (int) (used.size() / spread));
    }

    boolean isNear(Worker worker) {
        return settings.prices().crossZone() == 0 || worker.info.zone() == settings.zone();
    }

    List<Worker> near() {
        return near;
    }

    List<Worker> far() {
        return far;
    }

    boolean isEmpty() {
        return near.isEmpty() && far.isEmpty();
    }

    /**
     * The number of candidates to draw: few with many dispatchers, since those with the same information
     * choose the same best worker.
     */
    int candidateCount() {
        return candidateCount;
    }

    /**
     * All ready workers, in the pool or not: throughput per worker depends on what all dispatchers send to
     * all workers.
     */
    Stream<Worker> listed() {
        return listed.stream();
    }
}
