package ryemast.lab.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import ryemast.lab.books.History;
import ryemast.lab.books.RunResult;
import ryemast.lab.consul.Written;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.sockets.EmulatedSite;
import ryemast.lab.sockets.EmulatedSite.Ending;
import ryemast.lab.sockets.EmulatedSite.Options;
import ryemast.lab.sockets.EmulatedSite.Progress;

/** Plays one trial, from the start of its processes to its result; every process it started is gone then. */
public final class FleetRun {

    private static final double MICROS = 1e6;

    private final Trial trial;
    private final String careless;
    private final Path folder;
    private final List<FleetJudge> judges = List.of(new SiteJudge(), new FireJudge(), new FenceJudge(),
            new ClaimJudge(), new ReservedJudge(), new BookJudge());
    private final RecordBook records = new RecordBook();
    private final AtomicReference<EmulatedSite> running = new AtomicReference<>();
    private volatile boolean interrupted;

    /** {@code folder}: for configurations, logs, disks and clocks; made if it is not there. */
    public FleetRun(Trial trial, Path folder) throws IOException {
        this(trial, folder, "");
    }

    /** {@code careless}: what all processes leave out that keeps them right, so that the trial must fail. */
    public FleetRun(Trial trial, Path folder, String careless) throws IOException {
        this.trial = trial;
        this.careless = careless;
        this.folder = Files.createDirectories(folder);
    }

    /** Ends the run soon, or keeps it from beginning; from any thread. */
    public void interrupt() {
        interrupted = true;
        var site = running.get();
        if (site != null) {
            site.interrupt();
        }
    }

    public FleetResult run(Consumer<Progress> each) throws IOException {
        var waiting = new Waiting();
        var fires = new FireBooks(trial.entries(), waiting::arrived);
        try (var ground = new Ground(trial, folder, careless, this::now)) {
            var options = Options.standard().withFolder(folder).withOperator(trial.operator())
                    .withOthers(fires).withBetween(ground);
            try (var site = new EmulatedSite(trial.scenario(), options);
                    var striker = new Striker(trial.plan(), site, ground, waiting,
                            folder.resolve("strikes.log"));
                    var starved = new Starved(trial.scenario().dispatchers().count(), site::pid,
                            site::now)) {
                running.set(site);
                if (interrupted) {
                    site.interrupt();
                }
                ground.beforeFirst(() -> follow(site, waiting));
                site.start();
                var ending = site.run(progress -> {
                    striker.begin(progress.elapsed());
                    each.accept(progress);
                });
                striker.close();
                starved.close();
                return result(site, ground, striker, starved, fires, ending);
            } finally {
                running.set(null);
            }
        }
    }

    /** From here on every change of the records is in the book; none was made before the first start. */
    private void follow(EmulatedSite site, Waiting waiting) {
        if (trial.scenario().discovery().through() == Scenario.Through.CONSUL) {
            site.ask(() -> {
                site.consul().api().onWrite(step -> {
                    long at = site.now();
                    var changes = step.stream().map(made -> change(at, made)).toList();
                    records.changed(changes);
                    changes.forEach(waiting::recorded);
                });
                return null;
            });
        }
    }

    private static RecordBook.Change change(long at, Written made) {
        var value = made.value() == null ? null : new String(made.value(), StandardCharsets.UTF_8);
        return new RecordBook.Change(at, made.key(), value, made.index());
    }

    private long now() {
        var site = running.get();
        return site == null ? 0 : site.now();
    }

    private FleetResult result(EmulatedSite site, Ground ground, Striker striker, Starved starved,
            FireBooks fires, Ending ending) {
        var scenario = trial.scenario();
        var written = site.books().read();
        var struck = striker.struck(written.endedAt());
        var history = Heard.of(written, ground, starved, struck, scenario.dispatchers().count());
        var books = new FleetBooks(trial, history, runs(history, fires), records.changes(), struck,
                starved, site.now() - ground.sinceBegan());
        write(books);
        var findings = new Findings();
        judges.forEach(judge -> judge.judge(books, findings));
        var doubts = new ArrayList<>(RunResult.of(scenario, history, site.stats(), false, null).doubts());
        if (site.failures() > 0) {
            findings.breach("lab", written.endedAt(), site.failures() + " steps of the emulator failed.");
        }
        if (striker.failure() != null) {
            findings.breach("lab", written.endedAt(), striker.failure());
        }
        if (ending == Ending.OVERLOADED) {
            doubts.add("jobs were still open when the last deadline had passed");
        }
        return new FleetResult(books, findings, doubts, ending == Ending.INTERRUPTED);
    }

    /** Beside the processes' logs: every change of a record, one a line, by the books' time in seconds. */
    private void write(FleetBooks books) {
        try (var out = Files.newBufferedWriter(folder.resolve("records.log"))) {
            for (var each : books.records()) {
                out.write(String.format(Locale.ROOT, "%.3f %s %s%n",
                        (each.at() - books.history().beganAt()) / MICROS, each.key(), each.value()));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static List<BoxRun> runs(History history, FireBooks fires) {
        var runs = new ArrayList<>(fires.runs());
        for (var sent : history.attempts()) {
            var attempt = sent.attempt();
            if (attempt.began()) {
                runs.add(new BoxRun(sent.story().txn(), "", sent.story().job().jobClass(), attempt.box(),
                        attempt.dispatcher(), attempt.beganAt(), attempt.end(), attempt.endedAt()));
            }
        }
        runs.sort(Comparator.comparingLong(BoxRun::beganAt));
        return List.copyOf(runs);
    }
}
