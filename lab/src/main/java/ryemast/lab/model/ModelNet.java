package ryemast.lab.model;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.world.Chance;
import ryemast.lab.world.VirtualTime;

/**
 * The network between all parts of a site. A message takes a fixed time plus, where the scenario says so, an
 * exponentially distributed one; on one connection messages stay in order, as TCP keeps them. Each party
 * draws from a stream of its own, so that what one sends leaves the others' delays alone. Nothing is lost:
 * what a vanished machine does not hear, its own door keeps out.
 */
final class ModelNet {

    private final VirtualTime time;
    private final Chance chance;
    private final long oneWay;
    private final long jitter;

    ModelNet(Scenario.Model model, VirtualTime time, Chance chance) {
        this.time = time;
        this.chance = chance;
        oneWay = model.oneWay();
        jitter = model.jitter();
    }

    /** The delays of one party; one of these for each name and number. */
    Party party(String name, long number) {
        return new Party(jitter > 0 ? chance.stream("network " + name, number) : null);
    }

    /** Where messages' delays are drawn. */
    final class Party {
        private final ZigguratSampler.Exponential longer;

        private Party(UniformRandomProvider draw) {
            longer = draw == null ? null : ZigguratSampler.Exponential.of(draw, jitter);
        }

        private long delay() {
            return longer == null ? oneWay : oneWay + (long) longer.sample();
        }

        /** One direction of one connection. */
        Way way() {
            return new Way(this);
        }

        /** A message on a connection that carries nothing else meanwhile. */
        void send(long leavesAt, Runnable arrives) {
            time.at(Math.max(time.now(), leavesAt) + delay(), arrives);
        }
    }

    /** One direction of one connection: what leaves first arrives first. */
    final class Way {
        private final Party party;
        private long last;

        private Way(Party party) {
            this.party = party;
        }

        void send(long leavesAt, Runnable arrives) {
            last = Math.max(last, Math.max(time.now(), leavesAt) + party.delay());
            time.at(last, arrives);
        }
    }
}
