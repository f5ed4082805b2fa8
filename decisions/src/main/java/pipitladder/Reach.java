package pipitladder;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import pipitladder.Dispatcher.WorkerState;
import pipitladder.Ledger.Worker;
import ryemast.fleet.FleetView;
import ryemast.fleet.choices.Subset;
import ryemast.fleet.choices.SubsetWidth;

/**
 * The workers that a dispatcher draws its candidates from, near and far ones. All that are ready, wherever
 * they fit in the room or three dispatchers at most share them: then it has no effect at all. Else this
 * dispatcher's own {@link Subset}, by the numbers of the settings, which widens itself where the workers in
 * it are ill or full ({@link SubsetWidth}). Owned by {@link Brain}; docs/choices.md has what that costs.
 */
final class Reach {

    /** Of a longer list a subset is used: each worker's connection and statistics cost memory. */
    static final int ROOM = 200;
    /** The second of two random choices takes most of the crowding off; more follow what all know. */
    private static final int CANDIDATES = 2;
    /** Microseconds from one look at the subset's health to the next: a look goes through the whole list. */
    private static final long LOOK_EVERY = 250_000;

    private final Dispatcher.Settings settings;
    private final double unseen;
    private final int room;
    private List<Worker> near = List.of();
    private List<Worker> far = List.of();
    private List<Worker> listed = List.of();
    private int candidates = CANDIDATES;
    /** Where all fit there is none of these, and their classes are not loaded. */
    private Subset subset;
    private SubsetWidth widening;
    private Map<String, Worker> byId = Map.of();
    private int width;
    private long lookAt;

    /** {@code unseen}: the part of another dispatcher's jobs that this one doesn't hear of. */
    Reach(Dispatcher.Settings settings, double unseen, int room) {
        this.settings = settings;
        this.unseen = unseen;
        this.room = room;
    }

    /** Of all that are known those that are ready, in this dispatcher's order. */
    List<Worker> list(Collection<Worker> known) {
        listed = known.stream().filter(worker -> worker.info.state() == WorkerState.READY)
                .sorted((one, other) -> Integer.compare(one.order, other.order)).toList();
        fit(listed);
        return listed;
    }

    private void fit(List<Worker> ready) {
        if (Subset.cover(settings.dispatchers(), ready.size(), room) >= settings.dispatchers()) {
            subset = null;
            byId = Map.of();
            use(ready, settings.dispatchers());
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
            subset = Subset.select(view.self(), view.members(), weights, room);
            widening = new SubsetWidth();
            width = 0;
        } else {
            subset = subset.reselect(weights, room);
            width = Math.min(width, subset.maxWidth());
        }
        useSubset();
    }

    /** To be called before each round: a subset that is ill or full widens at once, and narrows later. */
    void review(long now) {
        if (subset == null || now < lookAt) {
            return;
        }
        lookAt = now + LOOK_EVERY;
        int wide = widening.width(now, subset, id -> byId.get(id).health.isUnrestricted());
        if (wide != width) {
            width = wide;
            useSubset();
        }
    }

    private void useSubset() {
        double sharers = Subset.cover(settings.dispatchers(), listed.size(), room) * (1 << width);
        use(subset.workersAt(width).stream().map(byId::get).toList(),
                Math.min(sharers, settings.dispatchers()));
    }

    /** {@code sharers}: dispatchers that use a worker, this one included. */
    private void use(List<Worker> used, double sharers) {
        near = used.stream().filter(this::isNear).toList();
        far = used.stream().filter(worker -> !isNear(worker)).toList();
        double spread = unseen == Double.MAX_VALUE ? unseen : Math.pow(1 + (sharers - 1) * unseen, 2.0 / 3);
        candidates = Math.max(CANDIDATES, (int) (used.size() / spread));
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

    /** How many to draw: few beside many dispatchers, as all that know the same take the same best. */
    int candidates() {
        return candidates;
    }

    /** All that are ready, used or not: what each bears follows from what all dispatchers send to all. */
    Stream<Worker> listed() {
        return listed.stream();
    }
}
