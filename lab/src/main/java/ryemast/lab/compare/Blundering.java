package ryemast.lab.compare;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import pipitladder.Dispatcher;

/**
 * A module some of whose picks are replaced by any worker that is ready, drawn by chance: a change whose size
 * is
 * known, to see how small a one a comparison finds. It follows the list itself, so that it sends to none that
 * drains.
 */
final class Blundering implements Dispatcher {

    private final Dispatcher module;
    private final double share;
    private final SplittableRandom random;
    private final List<String> ready = new ArrayList<>();

    Blundering(Dispatcher module, double share, long seed) {
        this.module = module;
        this.share = share;
        // Not the module's own stream: its draws stay what they are without blunders.
        random = new SplittableRandom(seed ^ 0x9e3779b97f4a7c15L);
    }

    @Override
    public void handle(long now, Event event, Consumer<? super Action> out) {
        if (event instanceof WorkerList list && !list.kind().isFailure()) {
            follow(list);
        }
        module.handle(now, event, action -> out.accept(action instanceof Send send ? perhaps(send) : action));
    }

    private void follow(WorkerList list) {
        if (list.kind().isWhole()) {
            ready.clear();
        }
        for (var worker : list.workers()) {
            ready.remove(worker.id());
            if (worker.state() == WorkerState.READY) {
                ready.add(worker.id());
            }
        }
    }

    private Send perhaps(Send send) {
        return random.nextDouble() >= share || ready.isEmpty() ? send
                : new Send(send.request(), ready.get(random.nextInt(ready.size())), send.timeOut());
    }
}
