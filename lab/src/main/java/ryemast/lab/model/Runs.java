package ryemast.lab.model;

import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.LongFunction;
import ryemast.config.Tuning;
import ryemast.lab.books.MemoryBooks;
import ryemast.lab.books.RunResult;
import ryemast.lab.scenario.Scenario;

/**
 * Many runs of one scenario, each from a seed of its own, on as many threads as wanted. What a run gives
 * depends on its seed alone, so neither the number of threads nor the order of their work shows in the rows.
 */
public final class Runs {

    /**
     * What to run.
     *
     * @param draw   one site by its seed
     * @param first  the first seed; the others follow
     */
    public record Plan(LongFunction<Scenario> draw, Policy policy, Tuning tuning, long first, int count) {
    }

    /** Told on the calling thread, some times a second. */
    public interface Watcher {
        /** {@code share}: of all the work that is over, runs in progress included. */
        void at(int done, double share, Map<Long, JsonObject> rows);
    }

    private static final long LOOK_MS = 100;

    private final Plan plan;
    private final BooleanSupplier stopped;
    private final Map<Long, JsonObject> rows;
    private final Map<Long, ModelSite> running = new ConcurrentHashMap<>();
    private final AtomicLong events = new AtomicLong();

    private Runs(Plan plan, Map<Long, JsonObject> known, BooleanSupplier stopped) {
        this.plan = plan;
        this.stopped = stopped;
        rows = new ConcurrentHashMap<>(known);
    }

    /** What came of it; runs that were stopped have no row. */
    public record Done(Map<Long, JsonObject> rows, boolean interrupted, long events) {
    }

    /**
     * Runs what is not known yet.
     *
     * @param known  rows by seed, from an earlier call that was stopped
     */
    public static Done run(Plan plan, int threads, Map<Long, JsonObject> known, BooleanSupplier stopped,
            Watcher watcher) {
        var runs = new Runs(plan, known, stopped);
        var pool = Executors.newFixedThreadPool(threads, work -> {
            var thread = new Thread(work, "model");
            thread.setDaemon(true);
            return thread;
        });
        try {
            runs.all(pool, watcher);
        } finally {
            pool.shutdownNow();
        }
        var rows = new TreeMap<>(runs.rows);
        return new Done(rows, rows.size() < plan.count(), runs.events.get());
    }

    private void all(ExecutorService pool, Watcher watcher) {
        List<Future<?>> futures = new ArrayList<>();
        for (long seed = plan.first(); seed < plan.first() + plan.count(); seed++) {
            if (!rows.containsKey(seed)) {
                long one = seed;
                futures.add(pool.submit(() -> one(one)));
            }
        }
        try {
            while (futures.stream().anyMatch(future -> !future.isDone())) {
                Thread.sleep(LOOK_MS);
                double partly = running.values().stream().mapToDouble(ModelSite::share).sum();
                watcher.at(rows.size(), (rows.size() + partly) / plan.count(), new TreeMap<>(rows));
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

    private void one(long seed) {
        if (stopped.getAsBoolean()) {
            return;
        }
        var scenario = plan.draw().apply(seed);
        var books = new MemoryBooks();
        var site = new ModelSite(scenario, plan.policy(), plan.tuning(), books.tries(), books);
        running.put(seed, site);
        try {
            var ending = site.run(stopped);
            events.addAndGet(site.events());
            if (ending != ModelSite.Ending.INTERRUPTED) {
                var result = RunResult.of(scenario, books, List.of(), false, null);
                rows.put(seed, Simulated.row(scenario, result, ending, site.events()));
            }
        } catch (RuntimeException e) {
            throw new IllegalStateException("the run of " + scenario.name() + " with seed " + seed
                    + " and policy " + plan.policy().name() + " failed: " + e, e);
        } finally {
            running.remove(seed);
        }
    }
}
