package ryemast.lab.model.policy;

import java.util.List;
import java.util.function.Supplier;
import pipitladder.Brain;
import ryemast.lab.model.Policy;
import ryemast.lab.model.policy.Reference.Choice;

/** All policies that a model's dispatchers may follow, by name. */
public final class Policies {

    /** The decision module of the program, as it is. */
    public static final Policy MODULE = new Policy("module", "the program's decision module, unmodified",
            (settings, seed, truth) -> new Brain(settings, seed));

    private static final List<Policy> ALL = List.of(MODULE,
            plain("random", "any worker, by chance", Choices::random),
            plain("round-robin", "workers in turn", Choices::roundRobin),
            plain("weighted-round-robin", "in turn, as often as the listed weight says (nginx's smooth one)",
                    Choices::weightedRoundRobin),
            plain("least-outstanding", "where the fewest own jobs are out", Choices::leastOutstanding),
            plain("power-of-two", "the one of two drawn by chance where fewer own jobs are out",
                    Choices::powerOfTwo),
            plain("peak-ewma", "of two drawn by chance, the least latency times own jobs out (Finagle)",
                    PeakEwma::new),
            new Policy("oracle",
                    "where it is done first; sees the true state of all boxes, as no program can",
                    (settings, seed, truth) -> new Reference(settings, seed, new Oracle(truth))));

    private Policies() {
    }

    private static Policy plain(String name, String words, Supplier<Choice> choice) {
        return new Policy(name, words,
                (settings, seed, truth) -> new Reference(settings, seed, choice.get()));
    }

    public static List<Policy> all() {
        return ALL;
    }

    /** Null if there is none of that name; {@code signals@...} is the module with signals of that kind. */
    public static Policy named(String name) {
        return ALL.stream().filter(policy -> policy.name().equals(name)).findFirst()
                .orElseGet(() -> MODULE.talking(name));
    }

    public static List<String> names() {
        return ALL.stream().map(Policy::name).toList();
    }
}
