package ryemast.lab.fit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pipitladder.Dispatcher.ListKind;
import pipitladder.Dispatcher.Outcome;
import pipitladder.Dispatcher.WorkerState;
import ryemast.core.Observer.Answer;
import ryemast.core.Submission;
import ryemast.config.Tuning;
import ryemast.lab.books.JobStory;
import ryemast.lab.books.MemoryBooks;
import ryemast.lab.model.ModelSite;
import ryemast.lab.model.policy.Policies;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.scenario.ScenarioFile;
import ryemast.lab.site.Arrivals;
import ryemast.lab.world.Chance;

class FitterTest {

    @TempDir
    private Path folder;

    private Fitted fit(MadeUp site, long seed) throws IOException {
        return Fitter.fit(List.of(site.record(folder, seed)), false);
    }

    private static Figure figure(Fitted fitted, String table, String key) {
        for (var each : fitted.tables()) {
            for (var line : each.lines) {
                if (each.name.equals(table) && line.key().equals(key)) {
                    return line.figure();
                }
            }
        }
        return null;
    }

    private static void count(Map<String, int[]> counts, String what, double truth, Figure figure) {
        assertNotNull(figure, what);
        boolean within = truth >= figure.low() && truth <= figure.high();
        var count = counts.computeIfAbsent(what, w -> new int[2]);
        count[0] += within ? 1 : 0;
        count[1]++;
    }

    /** Of 100 recordings, the stated intervals of 95% must hold the truth in about so many. */
    @Test
    void intervalsHoldTheTruthAsOftenAsTheySay() throws IOException {
        var counts = new TreeMap<String, int[]>();
        for (int seed = 1; seed <= 100; seed++) {
            var site = new MadeUp();
            site.patience = 2_000_000;
            var seen = Collector.collect(List.of(site.record(folder, seed)));
            var fitted = Fitter.fit(seen, false);
            var runs = Runs.of(seen, true);
            var speeds = new Speeds(seen, runs, 0);
            for (int box = 0; box < 4; box++) {
                count(counts, "speed", site.speeds[box], speeds.of(seen.boxes().get(box)));
            }
            count(counts, "rate", 12, figure(fitted, "load", "rate_per_s"));
            count(counts, "sigma", 0.4, figure(fitted, "load", "hint_sigma"));
            count(counts, "share", 0.3, figure(fitted, "class long", "share"));
            count(counts, "work", 100, figure(fitted, "class short", "work_ms"));
            count(counts, "work", 300, figure(fitted, "class long", "work_ms"));
            count(counts, "cv", 1, figure(fitted, "class short", "cv"));
        }
        for (var each : counts.entrySet()) {
            double part = (double) each.getValue()[0] / each.getValue()[1];
            System.out.printf("coverage of %s: %.3f of %d%n", each.getKey(), part, each.getValue()[1]);
            assertTrue(part >= 0.90, each.getKey() + ": " + Arrays.toString(each.getValue()));
        }
    }

    @Test
    void wavesAndLeapsAreToldApartWithHonestIntervals() throws IOException {
        for (var shape : List.of(Scenario.Shape.WAVE, Scenario.Shape.BURSTY, Scenario.Shape.STEADY)) {
            int right = 0;
            int swings = 0;
            int periods = 0;
            for (int seed = 1; seed <= 20; seed++) {
                var chance = new Chance(seed);
                var load = new Scenario.Load(30, 0, shape, 0.4, 12_000_000, Scenario.Hints.NONE, 0, 0);
                var arrivals = new Arrivals(load, 120_000_000, chance);
                var at = LongStream.generate(arrivals::next).takeWhile(each -> each >= 0)
                        .mapToDouble(each -> each / 1e6).toArray();
                var fitted = Shapes.fit(at, 120);
                right += fitted.shape() == shape ? 1 : 0;
                if (fitted.shape() == shape && shape != Scenario.Shape.STEADY) {
                    swings += fitted.swing().low() <= 0.4 && fitted.swing().high() >= 0.4 ? 1 : 0;
                    periods += fitted.periodS().low() <= 12 && fitted.periodS().high() >= 12 ? 1 : 0;
                }
            }
            System.out.println(shape + " right " + right + " swings " + swings + " periods " + periods);
            assertTrue(right >= 18, shape + ": " + right);
            assertTrue(shape == Scenario.Shape.STEADY || swings >= right - 3 && periods >= right - 3,
                    shape + ": " + swings + ", " + periods + " of " + right);
        }
    }

    @Test
    void aBoxThatChangedItsSpeedMidwayIsFound() throws IOException {
        var site = new MadeUp();
        site.slowness = (box, at) -> box == 1 && at >= 20 && at < 40 ? 3 : 1;
        var fitted = fit(site, 5);
        assertEquals(1, fitted.mishaps().size(), fitted.found().toString());
        var slow = fitted.mishaps().get(0);
        assertEquals("slow 1", slow.kind() + " " + slow.box().number);
        assertTrue(slow.atS().low() <= 20.1 && slow.atS().high() >= 19.9, slow.atS().toString());
        assertTrue(slow.size().low() <= 3 && slow.size().high() >= 3, slow.size().toString());
        assertTrue(slow.forS().low() <= 20 && slow.forS().high() >= 20, slow.forS().toString());
    }

    @Test
    void aHeavySpellAndAPoisonedOneAreFoundWithClassAndTime() throws IOException {
        var site = new MadeUp();
        site.rate = 40;
        site.works = List.of(MadeUp.lognormal(30_000, 1), MadeUp.lognormal(90_000, 1));
        site.extra = (jobClass, at, draw) -> jobClass == 1 && at >= 15 && at < 35 && draw.nextDouble() < 0.15
                ? 5 + 23 * draw.nextDouble() : 1;
        site.bad = (jobClass, box, at, draw) -> jobClass == 0 && at >= 30 && at < 50
                && draw.nextDouble() < 0.2;
        var fitted = fit(site, 3);
        var kinds = fitted.mishaps().stream().map(each -> each.kind() + " " + each.jobClass()).toList();
        assertEquals(List.of("heavy 1", "poisoned 0"), kinds, fitted.found().toString());
        var heavy = fitted.mishaps().get(0);
        assertTrue(heavy.share().low() <= 0.15 && heavy.share().high() >= 0.1, heavy.share().toString());
        var poisoned = fitted.mishaps().get(1);
        assertTrue(poisoned.atS().low() <= 30 && poisoned.atS().high() >= 30, poisoned.atS().toString());
        assertTrue(poisoned.share().low() <= 0.2 && poisoned.share().high() >= 0.2, poisoned.share()
                .toString());
        var work = figure(fitted, "class long", "work_ms");
        assertTrue(work.low() <= 90 && work.high() >= 90, "spells are left out of the work: " + work);
    }

    @Test
    void nothingIsFoundWhereNothingHappened() throws IOException {
        int found = 0;
        for (int seed = 200; seed < 240; seed++) {
            found += fit(new MadeUp(), seed).mishaps().size();
        }
        assertTrue(found <= 2, found + " found");
    }

    /**
     * Runs that are given up after 0.4 s leave only the light ones done: their mean alone would be far too
     * low.
     */
    @Test
    void whatWasCutShortCountsAsHavingCostMore() throws IOException {
        var site = new MadeUp();
        site.works = List.of(draw -> -100_000 * Math.log(draw.nextDouble()), MadeUp.lognormal(300_000, 1));
        site.patience = 400_000;
        var fitted = fit(site, 7);
        var work = figure(fitted, "class long", "work_ms");
        assertTrue(work.low() <= 300 && work.high() >= 300, work.toString());
        assertTrue(fitted.untold().stream().anyMatch(each -> each.contains("never came to their own end")));
    }

    @Test
    void cutShortRecordingsAreFittedWithAWarningAndScenariosCanBeRead() throws Exception {
        var recording = new MadeUp().record(folder, 1);
        Path file;
        try (var all = Files.list(recording)) {
            file = all.findFirst().orElseThrow();
        }
        var bytes = Files.readAllBytes(file);
        Files.write(file, Arrays.copyOf(bytes, bytes.length * 2 / 3));
        var fitted = Fitter.fit(List.of(recording), true);
        assertTrue(fitted.warnings().stream().anyMatch(each -> each.contains("cut short")), fitted.warnings()
                .toString());
        var scenario = folder.resolve("fitted.toml");
        fitted.replay().write(folder.resolve("fitted.jobs"), fitted.classNames(), fitted.tenantNames());
        Files.writeString(scenario, ScenarioText.toml(fitted, List.of("x"), "fitted.jobs"));
        var drawn = ScenarioFile.read(scenario).draw(1);
        assertEquals(fitted.replay().jobs().size(), drawn.load().replay().jobs().size());
        assertEquals(4, drawn.boxes().size());
        assertEquals(2, drawn.boxes().get(0).cores());
        var books = new MemoryBooks();
        new ModelSite(drawn, Policies.MODULE, Tuning.DEFAULT, books.tries(), books).run(() -> false);
        var played = books.read().jobs().stream().map(JobStory::job).toList();
        assertEquals(fitted.replay().jobs().size(), played.size());
        for (int i = 0; i < played.size(); i++) {
            var job = drawn.load().replay().jobs().get(i);
            assertEquals(job.hint() + " " + job.work() + " " + job.jobClass() + " " + job.tenant(),
                    played.get(i).hint() + " " + played.get(i).work() + " " + played.get(i).jobClass() + " "
                    + played.get(i).tenant());
        }
        Files.write(file, Arrays.copyOf(bytes, 5));
        assertThrows(IOException.class, () -> Fitter.fit(List.of(recording), false));
    }

    @Test
    void livesOfBoxesComeFromDiscoveryAndRetriesFromWhatTriesShare() throws IOException {
        var site = new MadeUp();
        var recording = Files.createTempDirectory(folder, "lives");
        var recorder = site.recorder(recording);
        site.jobs(recorder, 2);
        long at = MadeUp.BEGAN;
        recorder.listed(ListKind.CHANGES, List.of(MadeUp.worker(2, WorkerState.DRAINING, 0)), at
                + 20_000_000);
        recorder.listed(ListKind.CHANGES, List.of(MadeUp.worker(2, WorkerState.READY, 25)), at + 26_000_000);
        recorder.listed(ListKind.CHANGES, List.of(MadeUp.worker(3, WorkerState.READY, 33)), at + 34_500_000);
        for (int i = 0; i < 30; i++) {
            long asked = at + 40_000_000 + i * 10_000;
            for (int tried = 0; tried < 2; tried++) {
                long number = 90_000 + i * 2 + tried;
                long now = asked + tried * 250_000;
                recorder.taken(number, new Submission("r" + number, 0, 0, 1, 0, 7_000 + i, asked + 5_000_000,
                        "/",
                        new byte[0]), now);
                recorder.answered(number, tried == 0 ? Answer.REFUSED : Answer.SERVED, tried == 0 ? 250_000
                        : 0, now);
            }
        }
        recorder.sent(90_001, 0, MadeUp.name(3), at + 41_000_000, at + 32_000_000);
        recorder.ended(90_001, 0, Outcome.RESET, at + 32_900_000);
        recorder.close();
        var fitted = Fitter.fit(List.of(recording), false);
        var words = fitted.mishaps().stream().map(each -> each.kind() + " " + each.box().number + " "
                + each.atS().value()).toList();
        assertEquals(List.of("drain 2 20.0", "crash 3 32.9"), words, fitted.found().toString());
        assertEquals(5, fitted.mishaps().get(0).forS().value(), 1e-6);
        var honour = figure(fitted, "clients", "honour");
        assertEquals("1.0 30", honour.value() + " " + honour.samples());
        assertTrue(figure(fitted, "discovery", "add_s").value() >= 1);
    }
}
