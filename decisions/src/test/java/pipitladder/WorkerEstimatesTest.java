package pipitladder;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import pipitladder.Dispatcher.Effect;
import pipitladder.Dispatcher.KeyScope;
import pipitladder.Dispatcher.Tenant;
import pipitladder.DispatchState.Worker;
import ryemast.health.OutlierDetector;

class WorkerEstimatesTest {

    private final OutlierDetector health = new OutlierDetector(true, 0, 10_000, 0, 20);

    private Worker worker(String id, double weight) {
        var worker = new Worker(id, 0, health.worker(id));
        worker.info = new Dispatcher.WorkerInfo(id, Dispatcher.WorkerState.READY, 0, 0, 0, weight, 0);
        return worker;
    }

    private static Dispatcher.Settings settings(boolean sized, List<Tenant> tenants) {
        var plain = Rig.settings(List.of(Rig.jobClass(Effect.REPEATABLE, KeyScope.ALL)), tenants, true,
                true, 20);
        return new Dispatcher.Settings(0, 20, 0, plain.resolution(), true, sized, true, 0, plain.classes(),
                tenants, List.of(), plain.limits(), plain.rules(), plain.prices());
    }

    @Test
    void quotasOutrankTheCapacityThatWasObserved() {
        var one = worker("a", 2);
        var two = worker("b", 6);
        var rates = new WorkerEstimates(settings(true, List.of(new Tenant(16))));
        rates.setReadyWorkers(List.of(one, two));
        assertEquals(16 * 0.5 * 2 / 8, rates.capacity(one, 20, 0.5, 0, 10_000_000), 1e-9);
        var guessed = new WorkerEstimates(settings(true, List.of()));
        guessed.setReadyWorkers(List.of(one, two));
        assertEquals(guessed.speed(one), guessed.capacity(one, 20, 0.5, 0, 10_000_000), 1e-9);
    }
}
