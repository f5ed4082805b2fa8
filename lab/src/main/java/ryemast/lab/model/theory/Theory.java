package ryemast.lab.model.theory;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import java.util.stream.LongStream;
import ryemast.lab.model.Spread;
import ryemast.lab.model.theory.Queue.Seen;
import ryemast.lab.scenario.Scenario;

/**
 * The model beside the formulas, queue by queue: independent replications, each from an empty queue with its
 * first tenth left out, and Student's interval over their means (Law, "Simulation Modeling and Analysis",
 * chapter 9).
 *
 * <p>The interval holds where a replication's mean is near enough to normal. For M/G/1 that asks for work
 * whose fourth moment exists: Pareto's does from a coefficient of variation below 0.36 on.
 */
public final class Theory {

    private static final double[] LOADS = {0.5, 0.8, 0.95};
    private static final int[] CORES = {1, 4, 16};
    private static final double LOGNORMAL = 1.5;
    private static final double PARETO = 0.3;

    /** Where the interval has to be narrow, and how narrow: its whole width as a part of the mean wait. */
    private static final double JUDGED = 0.8;
    private static final double NARROW = 0.03;
    /** More replications than this times what was asked for are not run. */
    private static final int MOST = 32;
    private static final long MOST_REPLICATIONS = 1_000_000;

    private Theory() {
    }

    /** A queue, what was seen of it, and how far that is from the formula. */
    public record Row(Queue queue, long jobs, Spread waits, Spread share) {

        public boolean fits() {
            return waits.holds(queue.expectedWait()) && share.holds(queue.expectedShare());
        }

        /** The whole width of the interval as a part of what the formula says. */
        public double width() {
            return 2 * waits.half() / queue.expectedWait();
        }

        public JsonObject json() {
            var json = new JsonObject();
            json.addProperty("queue", queue.name());
            json.addProperty("load", queue.load());
            json.addProperty("jobs", jobs);
            json.addProperty("replications", waits.runs());
            json.addProperty("wait_by_formula", queue.expectedWait());
            json.add("wait", waits.json());
            json.addProperty("wait_width", width());
            json.addProperty("wait_within", waits.holds(queue.expectedWait()));
            json.addProperty("waits_by_formula", queue.expectedShare());
            json.add("waits", share.json());
            json.addProperty("waits_within", share.holds(queue.expectedShare()));
            return json;
        }
    }

    public static List<Queue> queues() {
        List<Queue> all = new ArrayList<>();
        for (int cores : CORES) {
            for (double load : LOADS) {
                all.add(new Queue(cores, load, Scenario.Spread.EXPONENTIAL, 1));
            }
        }
        for (double load : LOADS) {
            all.add(new Queue(1, load, Scenario.Spread.LOGNORMAL, LOGNORMAL));
        }
        for (double load : LOADS) {
            all.add(new Queue(1, load, Scenario.Spread.PARETO, PARETO));
        }
        return all;
    }

    /**
     * Replications on all cores; what each gives depends on the seed and its number alone. At {@link #JUDGED}
     * load there are twice as many, again and again, until the interval is narrow enough.
     *
     * @param each  told of each replication that is done
     */
    public static Row run(Queue queue, long seed, int replications, long jobs, BooleanSupplier stopped,
            Runnable each) {
        List<Seen> seen = new ArrayList<>();
        Row row;
        do {
            int done = seen.size();
            seen.addAll(LongStream.range(done, done == 0 ? replications : 2L * done).parallel()
                    .mapToObj(number -> one(queue, seed, number, jobs, stopped, each))
                    .filter(one -> one != null).toList());
            row = new Row(queue, seen.stream().mapToLong(Seen::jobs).sum(),
                    Spread.of(seen.stream().mapToDouble(Seen::meanWait).toArray()),
                    Spread.of(seen.stream().mapToDouble(Seen::shareThatWaits).toArray()));
        } while (queue.load() == JUDGED && row.width() > NARROW && seen.size() < MOST * replications
                && !stopped.getAsBoolean());
        return row;
    }

    private static Seen one(Queue queue, long seed, long number, long jobs, BooleanSupplier stopped,
            Runnable each) {
        if (stopped.getAsBoolean()) {
            return null;
        }
        var seen = queue.run(seed * MOST_REPLICATIONS + number, jobs);
        each.run();
        return seen;
    }

    public static JsonArray json(List<Row> rows) {
        var json = new JsonArray();
        rows.forEach(row -> json.add(row.json()));
        return json;
    }

    /** A Markdown table; waits in units of the mean service. */
    public static String table(List<Row> rows) {
        var text = new StringBuilder("| queue | load | jobs | mean wait: formula | model, 95% | width | "
                + "share that waits: formula | model, 95% | within |\n"
                + "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
        for (var row : rows) {
            text.append(String.format(Locale.ROOT,
                    "| %s | %.2f | %.1f M | %.5f | %.5f ± %.5f | %.2f%% | %.5f | %.5f ± %.5f | %s |%n",
                    row.queue.name(), row.queue.load(), row.jobs / 1e6, row.queue.expectedWait(),
                    row.waits.mean(), row.waits.half(), 100 * row.width(), row.queue.expectedShare(),
                    row.share.mean(), row.share.half(), row.fits() ? "yes" : "no"));
        }
        return text.toString();
    }
}
