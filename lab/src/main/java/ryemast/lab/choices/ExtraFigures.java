package ryemast.lab.choices;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import pipitladder.Brain;
import pipitladder.Dispatcher;
import ryemast.config.Tuning;
import ryemast.health.TrafficState;
import ryemast.lab.books.MemoryBooks;
import ryemast.lab.load.Table;
import ryemast.lab.model.ModelSite;
import ryemast.lab.model.Policy;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.scenario.ScenarioFile;
import ryemast.toml.FaultyFileException;

/**
 * What whole fleets send beyond first sends, by their size, while a third of their boxes is gone and others
 * fail jobs: trials at one sick box, and what first sends' purses pay for. Seen between the modules and the
 * program, as what is sent to a box that is gone arrives nowhere.
 */
public final class ExtraFigures {

    private static final int[] MEMBERS = {1, 2, 3, 14, 100, 300};
    private static final String STORY = "fleet-zone";
    private static final long SECOND = 1_000_000;

    private ExtraFigures() {
    }

    /** One run's counts, over all dispatchers. */
    private static final class Count {
        private final Map<Long, Double> paid = new HashMap<>();
        /** By box, second by second. */
        private final Map<String, Map<Long, Integer>> trials = new HashMap<>();
        private double first;
        private double again;
        private double beside;
        private long from = Long.MAX_VALUE;
        private long until;

        Policy policy() {
            return new Policy("counted", "the module, counted",
                    (settings, seed, truth) -> new Counted(new Brain(settings, seed), this));
        }

        double seconds() {
            return (double) (until - from) / SECOND;
        }
    }

    /** Knows of each of its jobs how many attempts there were and how many are out. */
    private static final class Counted implements Dispatcher {
        private final Brain brain;
        private final Count into;
        private final Map<Long, Integer> out = new HashMap<>();
        private final Set<Long> begun = new HashSet<>();

        Counted(Brain brain, Count into) {
            this.brain = brain;
            this.into = into;
        }

        @Override
        public void handle(long now, Event event, Consumer<? super Action> actions) {
            if (event instanceof AttemptEnded ended) {
                out.merge(ended.request(), -1, Integer::sum);
            } else if (event instanceof Request) {
                into.from = Math.min(into.from, now);
                into.until = Math.max(into.until, now);
            }
            double before = brain.health().retryBudget().spent();
            brain.handle(now, event, action -> {
                if (action instanceof Send send) {
                    note(send, now);
                }
                actions.accept(action);
            });
            into.paid.merge(now / SECOND, brain.health().retryBudget().spent() - before, Double::sum);
        }

        private void note(Send send, long now) {
            boolean others = out.merge(send.request(), 1, Integer::sum) > 1;
            if (brain.health().worker(send.worker()).trafficState() == TrafficState.EJECTED) {
                into.trials.computeIfAbsent(send.worker(), box -> new HashMap<>())
                        .merge(now / SECOND, 1, Integer::sum);
            } else if (others) {
                into.beside++;
            }
            boolean isFirst = begun.add(send.request());
            into.first += isFirst ? 1 : 0;
            into.again += isFirst || others ? 0 : 1;
        }
    }

    /** {@code runs}: seeds from 1 on; the means over them, and the most of any. */
    public static Table table(int runs, JsonArray json) throws FaultyFileException {
        var file = ScenarioFile.named(STORY);
        var table = new Table("dispatchers", "first sends a second", "trials at one box: most in a second",
                "mean of tried seconds", "paid of first sends, %", "most in a second", "repeats, %",
                "copies and second queues, %");
        for (int members : MEMBERS) {
            var counts = IntStream.rangeClosed(1, runs).parallel()
                    .mapToObj(seed -> count(file.draw(seed), members)).toList();
            double first = counts.stream().mapToDouble(each -> each.first).sum();
            double seconds = counts.stream().mapToDouble(Count::seconds).sum();
            var tried = counts.stream().flatMap(each -> each.trials.values().stream())
                    .flatMap(each -> each.values().stream()).mapToInt(each -> each).summaryStatistics();
            var paid = counts.stream().flatMap(each -> each.paid.values().stream())
                    .mapToDouble(each -> each).summaryStatistics();
            double again = counts.stream().mapToDouble(each -> each.again).sum();
            double beside = counts.stream().mapToDouble(each -> each.beside).sum();
            var figures = new double[] {members, first / seconds, Math.max(0, tried.getMax()),
                tried.getAverage(), 100 * paid.getSum() / first, paid.getMax(), 100 * again / first,
                100 * beside / first};
            var names = new String[] {"members", "first_per_s", "trials_most", "trials_mean", "paid_percent",
                "paid_most", "repeats_percent", "beside_percent"};
            var row = new JsonObject();
            var cells = new Object[figures.length];
            for (int i = 0; i < cells.length; i++) {
                row.addProperty(names[i], figures[i]);
                cells[i] = SubsetFigures.words(i == 0 || i == 2 ? "%.0f" : "%.1f", figures[i]);
            }
            table.row(cells);
            json.add(row);
        }
        return table;
    }

    private static Count count(Scenario scenario, int members) {
        var count = new Count();
        var books = new MemoryBooks();
        new ModelSite(with(scenario, members), count.policy(), Tuning.DEFAULT, books.tries(), books)
                .run(() -> false);
        return count;
    }

    private static Scenario with(Scenario s, int members) {
        var d = s.dispatchers();
        var others = new Scenario.Dispatchers(members, d.cores(), d.memoryMb(), d.sockets(), d.notice());
        return new Scenario(s.name(), s.title(), s.seed(), s.length(), s.resolution(), s.zones(), s.kinds(),
                s.boxes(), s.classes(), s.tenants(), s.load(), s.clients(), others, s.discovery(),
                s.telling(), s.rules(), s.goal(), s.faults(), s.model());
    }
}
