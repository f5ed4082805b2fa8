package ryemast.reserving;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import pipitladder.Dispatcher;

/**
 * Passes everything on, and knows the weight of all workers that are listed as ready: what a site clears
 * grows and shrinks with it. It knows nothing of kinds, nor of workers that are listed and ill; the margin of
 * the book is for that.
 */
public final class Weighing implements Dispatcher {

    private final Dispatcher inner;
    private final Map<String, Double> ready = new HashMap<>();

    public Weighing(Dispatcher inner) {
        this.inner = inner;
    }

    /** 0: none is ready, as far as is known. */
    public double weight() {
        return ready.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    @Override
    public void handle(long now, Event event, Consumer<? super Action> out) {
        inner.handle(now, event, out);
        if (event instanceof WorkerList list && list.kind() != ListKind.FAILED
                && list.kind() != ListKind.FORGOTTEN) {
            if (list.kind() == ListKind.COMPLETE) {
                ready.clear();
            }
            for (var each : list.workers()) {
                if (each.state() == WorkerState.READY) {
                    ready.put(each.id(), each.weight() * each.share());
                } else {
                    ready.remove(each.id());
                }
            }
        }
    }
}
