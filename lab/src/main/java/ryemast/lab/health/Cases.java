package ryemast.lab.health;

import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import ryemast.config.Tuning;
import ryemast.lab.books.MemoryBooks;
import ryemast.lab.model.ModelSite;
import ryemast.lab.model.Policy;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.scenario.ScenarioFile;

/**
 * Plays every case with every policy over many seeds, on as many threads as wanted. What a run gives depends
 * on its case, policy and seed alone; runs that were stopped have no row.
 */
public final class Cases {

    /** {@code first}: the first seed; the others follow. */
    public record Plan(List<ScenarioFile> cases, List<Policy> policies, long first, int seeds) {
        int runs() {
            return cases.size() * policies.size() * seeds;
        }
    }

    /** What is played, and its rows by seed. */
    public record Played(ScenarioFile file, Policy policy, Map<Long, JsonObject> rows) {
    }

    /** Told on the calling thread, some times a second. */
    public interface Watcher {
        void at(int done, int of);
    }

    private static final long LOOK_MS = 100;

    private final List<Played> played = new ArrayList<>();
    private final Plan plan;
    private final BooleanSupplier stopped;
    private final AtomicInteger done = new AtomicInteger();

    public Cases(Plan plan, BooleanSupplier stopped) {
        this.plan = plan;
        this.stopped = stopped;
        for (var file : plan.cases()) {
            plan.policies().forEach(policy -> played.add(new Played(file, policy,
                    new ConcurrentHashMap<>())));
        }
    }

    /** What there is by now; any thread may ask. */
    public List<Played> played() {
        return played.stream().map(each -> new Played(each.file(), each.policy(), new TreeMap<>(each.rows())))
                .toList();
    }

    /** True if all were played. */
    public boolean play(int threads, Watcher watcher) {
        var pool = Executors.newFixedThreadPool(threads, work -> {
            var thread = new Thread(work, "case");
            thread.setDaemon(true);
            return thread;
        });
        try {
            List<Future<?>> futures = new ArrayList<>();
            for (long seed = plan.first(); seed < plan.first() + plan.seeds(); seed++) {
                long one = seed;
                played.forEach(each -> futures.add(pool.submit(() -> one(each, one))));
            }
            while (futures.stream().anyMatch(future -> !future.isDone())) {
                Thread.sleep(LOOK_MS);
                watcher.at(done.get(), plan.runs());
            }
            for (var future : futures) {
                future.get();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException e) {
            throw e.getCause() instanceof RuntimeException cause ? cause
                    : new IllegalStateException(e.getCause());
        } finally {
            pool.shutdownNow();
        }
        return done.get() == plan.runs();
    }

    private void one(Played each, long seed) {
        if (stopped.getAsBoolean()) {
            return;
        }
        try {
            var row = run(each.file().draw(seed), each.policy(), stopped);
            if (row != null) {
                each.rows().put(seed, row);
                done.incrementAndGet();
            }
        } catch (RuntimeException e) {
            throw new IllegalStateException("the run of " + each.file().name() + " with seed " + seed
                    + " and policy " + each.policy().name() + " failed: " + e, e);
        }
    }

    /** The row of one run; null if it was stopped. */
    static JsonObject run(Scenario scenario, Policy policy, BooleanSupplier stopped) {
        var books = new MemoryBooks();
        var notes = new Notes(scenario);
        var site = new ModelSite(scenario, notes.on(policy), Tuning.DEFAULT, books.tries(), books);
        if (site.run(stopped) == ModelSite.Ending.INTERRUPTED) {
            return null;
        }
        return Figures.of(scenario, books.read(), notes).json(scenario.seed());
    }
}
