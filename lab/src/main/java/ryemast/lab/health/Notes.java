package ryemast.lab.health;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import pipitladder.Brain;
import pipitladder.Dispatcher;
import ryemast.health.Belief;
import ryemast.lab.model.Policy;
import ryemast.lab.scenario.Scenario;

/**
 * What the modules of one run sent and believed, noted between them and the program; owned by the run's
 * thread.
 *
 * <p>Sends are noted here and not at the boxes, as what is sent to a box that is gone arrives nowhere.
 * Beliefs are read every {@link #EVERY}, from modules that have any, when something next happens to the
 * module.
 */
final class Notes {

    /** Between two looks at what a module believes, in microseconds. */
    static final long EVERY = 100_000;

    /** An attempt leaves a dispatcher. */
    record Sent(long at, int dispatcher, int box) {
    }

    /** What a dispatcher believes of boxes, by box; it takes all others to be well. */
    record Glance(long at, int dispatcher, Map<Integer, Belief> beliefs) {
    }

    private final Map<String, Integer> numbers = new HashMap<>();
    private final List<Sent> sent = new ArrayList<>();
    private final List<Glance> glances = new ArrayList<>();

    Notes(Scenario scenario) {
        scenario.boxes().forEach(box -> numbers.put(box.id(), box.index()));
    }

    List<Sent> sent() {
        return sent;
    }

    List<Glance> glances() {
        return glances;
    }

    /** The policy, with all that its modules do noted. */
    Policy on(Policy policy) {
        return new Policy(policy.name(), policy.words(), (settings, seed, truth) ->
                new Noted(policy.maker().module(settings, seed, truth), settings.self()));
    }

    private final class Noted implements Dispatcher {
        private final Dispatcher module;
        private final int self;
        private long lookAt;

        Noted(Dispatcher module, int self) {
            this.module = module;
            this.self = self;
        }

        @Override
        public void handle(long now, Event event, Consumer<? super Action> out) {
            module.handle(now, event, action -> {
                if (action instanceof Send send) {
                    sent.add(new Sent(now, self, numbers.get(send.worker())));
                }
                out.accept(action);
            });
            if (now >= lookAt && module instanceof Brain brain) {
                lookAt = now + EVERY;
                var beliefs = new HashMap<Integer, Belief>();
                brain.health().beliefs(now).forEach(each -> beliefs.put(numbers.get(each.worker()), each));
                glances.add(new Glance(now, self, beliefs));
            }
        }
    }
}
