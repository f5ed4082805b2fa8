package ryemast.lab.model.policy;

import java.util.List;
import java.util.SplittableRandom;
import pipitladder.Dispatcher.Outcome;
import pipitladder.Dispatcher.Request;
import ryemast.lab.model.policy.Reference.Choice;
import ryemast.lab.model.policy.Reference.Server;

/**
 * Finagle's peak EWMA: of two drawn by chance, the one with the smaller product of its latency and its own
 * jobs out, this one counted. The latency is a mean that fades by a time constant of 10 s, but leaps at once
 * to any that is higher, so that it is cautious; whoever has jobs out and no latency yet counts as very slow.
 */
final class PeakEwma implements Choice {

    private static final double DECAY = 10e6;
    /** Finagle's Int.MaxValue / 2: more than any latency. */
    private static final double PENALTY = Integer.MAX_VALUE / 2.0;

    /** The moving figure of one worker. */
    private static final class Cost {
        private double mean;
        private long at;

        void observe(double latency, long now) {
            double weight = Math.exp(-Math.max(0, now - at) / DECAY);
            mean = latency > mean ? latency : mean * weight + latency * (1 - weight);
            at = now;
        }
    }

    @Override
    public Server pick(List<Server> from, Request request, long now, SplittableRandom random) {
        var pair = Choices.two(from, random);
        return load(pair.get(1), now) < load(pair.get(0), now) ? pair.get(1) : pair.get(0);
    }

    @Override
    public void ended(Server server, Outcome outcome, long took, long now) {
        cost(server, now).observe(took, now);
    }

    private static double load(Server server, long now) {
        var cost = cost(server, now);
        // Reading it fades it too, so that a worker that was slow once is tried again.
        cost.observe(0, now);
        return cost.mean < 1 && server.out > 0 ? PENALTY + server.out : cost.mean * (server.out + 1);
    }

    private static Cost cost(Server server, long now) {
        if (server.notes == null) {
            var cost = new Cost();
            cost.at = now;
            server.notes = cost;
        }
        return (Cost) server.notes;
    }
}
