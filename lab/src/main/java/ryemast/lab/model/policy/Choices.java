package ryemast.lab.model.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;
import pipitladder.Dispatcher.Request;
import ryemast.lab.model.policy.Reference.Choice;
import ryemast.lab.model.policy.Reference.Server;

/** The picks of the textbooks that look at nothing but a worker's own figures. */
public final class Choices {

    private Choices() {
    }

    public static Choice random() {
        return (from, request, now, random) -> from.get(random.nextInt(from.size()));
    }

    /** In turn; the turn goes on where it was, whichever workers may not be picked meanwhile. */
    public static Choice roundRobin() {
        return new Choice() {
            private String last = "";

            @Override
            public Server pick(List<Server> from, Request request, long now, SplittableRandom random) {
                var next = from.stream().filter(server -> server.id.compareTo(last) > 0)
                        .min((a, b) -> a.id.compareTo(b.id))
                        .orElseGet(() -> from.stream().min((a, b) -> a.id.compareTo(b.id)).orElseThrow());
                last = next.id;
                return next;
            }
        };
    }

    /** In turn, each as often as its listed weight says: nginx's smooth weighted round robin. */
    public static Choice weightedRoundRobin() {
        return (from, request, now, random) -> {
            double sum = 0;
            Server best = null;
            for (var server : from) {
                double credit = credit(server) + server.weight();
                server.notes = credit;
                sum += server.weight();
                if (best == null || credit > credit(best)) {
                    best = server;
                }
            }
            best.notes = credit(best) - sum;
            return best;
        };
    }

    private static double credit(Server server) {
        return server.notes == null ? 0 : (Double) server.notes;
    }

    /** Where the fewest own jobs are out, by chance among equals. */
    public static Choice leastOutstanding() {
        return (from, request, now, random) -> least(from, server -> server.out, random);
    }

    /** The better of two drawn by chance (Mitzenmacher, IEEE TPDS 12(10), 2001), by own jobs out. */
    public static Choice powerOfTwo() {
        return (from, request, now, random) -> {
            var pair = two(from, random);
            return pair.get(1).out < pair.get(0).out ? pair.get(1) : pair.get(0);
        };
    }

    /** Two different ones, or the only one twice. */
    static List<Server> two(List<Server> from, SplittableRandom random) {
        int first = random.nextInt(from.size());
        int second = from.size() == 1 ? first : random.nextInt(from.size() - 1);
        return List.of(from.get(first), from.get(second >= first && from.size() > 1 ? second + 1 : second));
    }

    /** The one with the least figure, by chance among equals. */
    static Server least(List<Server> from, ToDoubleFunction<Server> figure, SplittableRandom random) {
        double least = Double.POSITIVE_INFINITY;
        var equals = new ArrayList<Server>();
        for (var server : from) {
            double its = figure.applyAsDouble(server);
            if (its < least) {
                least = its;
                equals.clear();
            }
            if (its == least) {
                equals.add(server);
            }
        }
        return equals.get(random.nextInt(equals.size()));
    }
}
