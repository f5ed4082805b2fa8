package ryemast.lab.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import pipitladder.Dispatcher;
import pipitladder.Dispatcher.AttemptEnded;
import pipitladder.Dispatcher.Send;
import ryemast.config.Tuning;
import ryemast.lab.books.History;
import ryemast.lab.books.JobStory;
import ryemast.lab.books.MemoryBooks;
import ryemast.lab.model.policy.Policies;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.scenario.Scenario.BoxSpec;
import ryemast.lab.scenario.Scenario.Fault;
import ryemast.lab.scenario.Scenario.FaultKind;
import ryemast.lab.scenario.ScenarioBuilder;

/** A small site in virtual time with every delay known, and what its dispatchers sent and were told. */
final class Bench {

    static final long MS = 1_000;
    static final long ONE_WAY = MS;

    /** Sends and ends of attempts, with milliseconds since the run's first job. */
    final List<String> log = new ArrayList<>();
    final MemoryBooks books = new MemoryBooks();
    private final ScenarioBuilder builder;
    private long beganAt = -1;

    /** One box of two cores, jobs of 10 ms, one client that sends one after the other. */
    Bench() {
        var plain = ScenarioBuilder.uniform(1, 2, 1, 10).build();
        var b = plain.boxes().get(0);
        var box = new BoxSpec(0, "box", 0, 0, 0, 2, 1, 2, 10, 0.5, 1_000 * MS, b.warmBy(), false, 0,
                b.cancel(), b.dropsExpired(), false, 2, 100, 5_000 * MS, 500, 0);
        builder = ScenarioBuilder.from(plain).seed(3).boxes(List.of(box)).connections(1).length(100 * MS)
                .classes(List.of(ScenarioBuilder.jobs("job", 10 * MS, 500 * MS, 1_000 * MS)))
                .clients(new Scenario.Clients(0, Scenario.Backoff.NONE, 0, 0, 0, false, 1))
                .model(new Scenario.Model(ONE_WAY, 0, 100 * MS, 0, 0));
    }

    Bench with(Consumer<ScenarioBuilder> change) {
        change.accept(builder);
        return this;
    }

    Bench fault(FaultKind kind, long atMs, long lastsMs) {
        builder.faults(List.of(new Fault(kind, atMs * MS, lastsMs * MS, List.of(0), -1, 1, 0, 0, 0)));
        return this;
    }

    Scenario scenario() {
        return builder.build();
    }

    /** Runs with a policy of the textbooks; returns the books, put together. */
    History run() {
        var plain = Policies.named("random");
        var heard = new Policy("heard", "", (settings, seed, truth) ->
                hearing(plain.module(settings, seed, truth)));
        new ModelSite(scenario(), heard, Tuning.DEFAULT, books.tries(), books).run(() -> false);
        return books.read();
    }

    private Dispatcher hearing(Dispatcher module) {
        return (now, event, out) -> {
            if (event instanceof Dispatcher.Request && beganAt < 0) {
                beganAt = now;
            }
            if (event instanceof AttemptEnded ended) {
                note(now, ended.outcome().toString());
            }
            module.handle(now, event, action -> {
                if (action instanceof Send) {
                    note(now, "send");
                }
                out.accept(action);
            });
        };
    }

    private void note(long now, String what) {
        log.add(String.format(Locale.ROOT, "%.1f %s", (now - beganAt) / 1e3, what));
    }

    /** In milliseconds, of a job that was served. */
    static double latency(JobStory job) {
        return (job.servedAt() - job.job().askedAt()) / 1e3;
    }
}
