package ryemast.lab.compare;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.LongFunction;
import ryemast.lab.scenario.Scenario;

/**
 * Runs two arms on the same seeds, look by look, until it is settled which is better, all runs are done, or
 * somebody stops it. A seed draws one site, one set of jobs and all other chance for both arms, so that what
 * is common to both falls out of their difference (common random numbers; Law, "Simulation Modeling and
 * Analysis", 11.2). Results depend on seeds alone, not on threads or on the order of work.
 */
public final class Comparison {

    /**
     * What to do.
     *
     * @param draw     one site by its seed
     * @param first    the first seed; the others follow
     * @param margin   a difference in service below this does not matter
     * @param early    whether to stop as soon as it is settled
     */
    public record Plan(LongFunction<Scenario> draw, Arm a, Arm b, long first, int runs, double margin,
            boolean early) {
    }

    /** Told on the calling thread, some times a second. */
    public interface Watcher {
        /** {@code done}: runs, of both arms together. */
        void at(int done, Rows rows);
    }

    /** Rows by seed, of seeds that both arms have run or not yet. */
    public record Rows(Map<Long, JsonObject> a, Map<Long, JsonObject> b) {

        /** Seeds that both have run. */
        public List<Long> seeds() {
            return a.keySet().stream().filter(b::containsKey).toList();
        }

        /** A less B, where both are known. */
        public double[] differences(Function<JsonObject, JsonElement> figure) {
            return seeds().stream().map(seed -> new JsonElement[] {figure.apply(a.get(seed)),
                    figure.apply(b.get(seed))}).filter(pair -> known(pair[0]) && known(pair[1]))
                    .mapToDouble(pair -> pair[0].getAsDouble() - pair[1].getAsDouble()).toArray();
        }

        private static boolean known(JsonElement value) {
            return value != null && !value.isJsonNull();
        }
    }

    /** What came of it. */
    public record Done(Rows rows, Verdict verdict, int look, int looks, double nominal, boolean interrupted) {
    }

    private static final long LOOK_MS = 100;

    private final Plan plan;
    private final BooleanSupplier stopped;
    private final Rows rows = new Rows(new ConcurrentSkipListMap<>(), new ConcurrentSkipListMap<>());

    private Comparison(Plan plan, BooleanSupplier stopped) {
        this.plan = plan;
        this.stopped = stopped;
    }

    /** {@code known}: rows of an earlier call that was stopped. */
    public static Done run(Plan plan, int threads, Rows known, BooleanSupplier stopped, Watcher watcher) {
        var comparison = new Comparison(plan, stopped);
        comparison.rows.a().putAll(known.a());
        comparison.rows.b().putAll(known.b());
        return comparison.run(threads, watcher);
    }

    private Done run(int threads, Watcher watcher) {
        var looks = new Looks(plan.runs);
        var pool = Executors.newFixedThreadPool(threads, work -> {
            var thread = new Thread(work, "compare");
            thread.setDaemon(true);
            return thread;
        });
        try {
            int look = plan.early ? 0 : looks.runs().size() - 1;
            while (true) {
                int count = looks.runs().get(look);
                upTo(count, pool, watcher);
                var taken = firstOf(count);
                boolean whole = taken.seeds().size() == count;
                var service = Paired.of(taken.differences(row -> row.get("service")));
                var verdict = Verdict.of(service, whole ? looks.quantile(look, count)
                        : looks.quantile(look, Math.max(2, service.runs())), plan.margin);
                if (!whole || verdict.settled() || look + 1 == looks.runs().size()) {
                    return new Done(taken, verdict, look + 1, looks.runs().size(), looks.nominal(look),
                            !whole);
                }
                look++;
            }
        } finally {
            pool.shutdownNow();
        }
    }

    /** Rows of the first so many seeds, whatever was done beyond them. */
    private Rows firstOf(int count) {
        long end = plan.first + count;
        return new Rows(within(rows.a(), end), within(rows.b(), end));
    }

    private Map<Long, JsonObject> within(Map<Long, JsonObject> of, long end) {
        var found = new TreeMap<Long, JsonObject>();
        of.forEach((seed, row) -> {
            if (seed >= plan.first && seed < end) {
                found.put(seed, row);
            }
        });
        return found;
    }

    private void upTo(int count, ExecutorService pool, Watcher watcher) {
        var futures = new ArrayList<Future<?>>();
        for (long seed = plan.first; seed < plan.first + count; seed++) {
            long one = seed;
            // Both arms of a seed one after the other, so that what is done when somebody stops is mostly
            // pairs.
            futures.add(pool.submit(() -> {
                one(one, plan.a, rows.a());
                one(one, plan.b, rows.b());
            }));
        }
        try {
            while (futures.stream().anyMatch(future -> !future.isDone())) {
                Thread.sleep(LOOK_MS);
                watcher.at(rows.a().size() + rows.b().size(), rows);
            }
            for (var future : futures) {
                future.get();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException e) {
            throw e.getCause() instanceof RuntimeException cause ? cause
                    : new IllegalStateException(e.getCause());
        }
    }

    private void one(long seed, Arm arm, Map<Long, JsonObject> into) {
        if (stopped.getAsBoolean() || into.containsKey(seed)) {
            return;
        }
        try {
            var row = Trial.run(plan.draw.apply(seed), arm, stopped);
            if (row != null) {
                into.put(seed, row);
            }
        } catch (RuntimeException e) {
            throw new IllegalStateException("the run of seed " + seed + " with " + arm.spec() + " failed: "
                    + e.getMessage(), e);
        }
    }
}
