package ryemast.lab.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import ryemast.lab.scenario.Scenario.BoxSpec;
import ryemast.lab.scenario.Scenario.Fault;
import ryemast.lab.scenario.Scenario.FaultKind;

/** What a scenario file's text becomes. */
class ScenarioFileTest {

    private static final double CLOSE = 1e-9;

    @TempDir
    Path folder;

    private ScenarioFile file(String text) throws Exception {
        return ScenarioFile.read(Files.writeString(folder.resolve("s.toml"), text));
    }

    @Test
    void aFewLinesAreEnough() throws Exception {
        var drawn = file("[[kind]]\nname = 'a'\ncount = 3").draw(1);
        assertEquals(List.of("box-0000-a", "box-0001-a", "box-0002-a"),
                drawn.boxes().stream().map(BoxSpec::id).toList());
        // Three boxes of two cores do 60 jobs of 100 ms a second; half of that is asked for.
        assertEquals(30, drawn.load().ratePerSecond(), CLOSE);
        assertEquals(List.of("s", "s", 30_000_000L), List.of(drawn.name(), drawn.title(), drawn.length()));
        assertEquals(0.25, drawn.rules().startCapacity(), CLOSE);
    }

    @Test
    void figuresAreCarriedOverInMicroseconds() throws Exception {
        var drawn = file("""
                length_s = 12.5
                zones = ['x', 'y']
                [dispatchers]
                count = 2
                notice_s = 0.5
                [load]
                connections = 7
                quota_of_capacity = 0.5
                [[kind]]
                name = 'k'
                count = 4
                cores = 3
                speed = 2
                slots_per_core = 1.5
                queue_per_core = 4
                cold_from = 0.1
                cold_s = 8
                cell_size = 2
                [[class]]
                name = 'c'
                share = 0.75
                work_ms = 10
                [[class]]
                name = 'd'
                share = 0.25
                work_ms = 30
                effect = 'single-shot'
                slots = 2
                [[tenant]]
                name = 't'
                share = 0.2
                usage = 2
                [[tenant]]
                name = 'u'
                share = 0.8
                [[fault]]
                kind = 'rolling-release'
                at_s = 3
                every_s = 1.5
                [[fault]]
                kind = 'heavy'
                at_s = 1
                class = 'd'
                size = [5, 28]
                """).draw(3);
        assertEquals(12_500_000, drawn.length());
        assertEquals(500_000, drawn.dispatchers().notice());
        assertEquals(7, drawn.load().connections());
        assertEquals(0, drawn.load().ratePerSecond());
        var box = drawn.boxes().get(0);
        assertEquals(List.of(3, 5, 12), List.of(box.cores(), box.slots(), box.queue()));
        assertEquals(8_000_000, box.coldFor());
        assertEquals(6, box.capacity(), CLOSE);
        // Two zones in turn, cells of two: one cell in each.
        assertEquals(Set.of(0, 1), new HashSet<>(drawn.boxes().stream().map(BoxSpec::cell).toList()));
        assertTrue(drawn.boxes().stream().allMatch(each -> each.cell() == each.zone()));
        // 24 cores' worth for 7.5 ms and 2 slots for 7.5 ms: 22.5 ms a job, 1,066.7 a second.
        assertEquals(0.5 * 0.2 * 24_000 / 22.5, drawn.tenants().get(0).quotaPerSecond(), 1e-6);
        assertEquals(0.4 / 1.2, drawn.tenants().get(0).usage(), CLOSE);
        assertEquals(new Fault(FaultKind.HEAVY, 1_000_000, 15_000_000, List.of(), 1, 0.02, 5, 28, 0),
                drawn.faults().get(0));
        var release = drawn.faults().get(1);
        assertEquals(Set.of(0, 1, 2, 3), new HashSet<>(release.targets()));
        assertEquals(List.of(3_000_000L, 1_500_000L), List.of(release.at(), release.every()));
    }

    @Test
    void whatIsDrawnDependsOnSeedAndKeyAlone() throws Exception {
        var text = "length_s = [10, 20]\n[clients]\nbackoff_ms = [1, 50]\n[[kind]]\nname = 'a'\ncount = 9\n"
                + "speed_cv = 0.3\n";
        var plain = file(text);
        assertEquals(plain.draw(5), plain.draw(5));
        assertNotEquals(plain.draw(5).length(), plain.draw(6).length());
        var more = file(text.replace("[1, 50]", "[2, 90]") + "[[kind]]\nname = 'b'\ncount = 3\n").draw(5);
        assertEquals(plain.draw(5).length(), more.length());
        assertEquals(speeds(plain.draw(5), 0), speeds(more, 0));
        assertNotEquals(plain.draw(5).clients(), more.clients());
    }

    private static Set<Double> speeds(Scenario drawn, int kind) {
        return new TreeSet<>(drawn.boxes().stream().filter(each -> each.kind() == kind).map(BoxSpec::speed)
                .toList());
    }

    @Test
    void rangesAndWordsAreDrawnEvenly() throws Exception {
        var read = file("[clients]\nretries = [0, 2]\nbackoff = ['none', 'fixed']\n[[kind]]\nname = 'a'\n"
                + "speed = [1, 3]");
        var retries = new int[3];
        int none = 0;
        double speeds = 0;
        for (int seed = 0; seed < 3_000; seed++) {
            var drawn = read.draw(seed);
            retries[drawn.clients().retries()]++;
            none += drawn.clients().backoff() == Scenario.Backoff.NONE ? 1 : 0;
            speeds += drawn.boxes().get(0).speed();
        }
        for (int count : retries) {
            assertEquals(1_000, count, 100);
        }
        assertEquals(1_500, none, 120);
        assertEquals(2, speeds / 3_000, 0.05);
    }

    @Test
    void faultsAtRandomComeAtTheirRate() throws Exception {
        var read = file("length_s = 600\n[[kind]]\nname = 'a'\ncount = 5\n[[random_fault]]\n"
                + "kinds = ['crash', 'slow']\nper_minute = 30\nfrom_s = 100\nuntil_s = 500\nboxes = 2\n"
                + "size = [2, 4]\nfor_s = [1, 2]");
        var faults = read.draw(9).faults();
        // Mean 200, standard deviation 14.
        assertEquals(200, faults.size(), 45);
        for (var fault : faults) {
            assertTrue(fault.at() >= 100_000_000 && fault.at() < 500_000_000);
            assertTrue(fault.lasts() >= 1_000_000 && fault.lasts() <= 2_000_000);
            assertEquals(2, new HashSet<>(fault.targets()).size());
            boolean slow = fault.kind() == FaultKind.SLOW;
            assertTrue(slow ? fault.size() >= 2 && fault.size() <= 4 : fault.size() == 0);
        }
        assertTrue(faults.stream().map(Fault::size).distinct().count() > 50);
    }

    static List<String> names() {
        return ScenarioFile.names();
    }

    @ParameterizedTest
    @MethodSource("names")
    void everyScenarioThatComesWithTheProgramCanBeDrawn(String name) throws Exception {
        var read = ScenarioFile.named(name);
        for (int seed = 0; seed < 20; seed++) {
            var drawn = read.draw(seed);
            assertTrue(drawn.boxes().stream().allMatch(each -> each.id().length() < 64), name);
            assertTrue(drawn.faults().stream().allMatch(each -> each.at() < drawn.length()), name);
        }
    }

    @Test
    void theSmallSiteIsASmallSite() throws Exception {
        var read = ScenarioFile.named("small-site");
        double rates = 0;
        for (int seed = 0; seed < 200; seed++) {
            var drawn = read.draw(seed);
            assertTrue(drawn.boxes().size() >= 8 && drawn.boxes().size() <= 10);
            rates += drawn.load().ratePerSecond();
        }
        assertEquals(27, rates / 200, 1.5);
    }

    @Test
    void theReferenceKnowsEveryKey() throws Exception {
        var page = Files.readString(Path.of("docs", "scenarios.md"));
        var read = file("[[kind]]\nname = 'a'\n[[class]]\nname = 'c'\n[[tenant]]\nname = 't'\n[[fault]]\n"
                + "kind = 'crash'\n[[random_fault]]\nkinds = 'crash'");
        var missing = new TreeSet<String>();
        for (var key : read.known()) {
            int dot = key.indexOf('.');
            var table = dot < 0 ? "the whole" : key.substring(0, dot);
            int from = page.indexOf("\n## `" + table);
            int to = from < 0 ? -1 : page.indexOf("\n## ", from + 1);
            if (from < 0 || !page.substring(from, to < 0 ? page.length() : to)
                    .contains("\n| `" + key.substring(dot + 1) + "` |")) {
                missing.add(key);
            }
        }
        assertEquals(Set.of(), missing);
        assertTrue(read.known().size() > 90, "the reader notes its keys");
    }

    @Test
    void aScenarioCanBeMadeWithoutAFile() {
        var builder = ScenarioBuilder.uniform(10, 2, 1, 4)
                .classes(List.of(ScenarioBuilder.jobs("short", 5_000, 50_000, 1_000_000)));
        assertEquals(4_000, builder.capacity(), CLOSE);
        var made = builder.connections(16).seed(4).build();
        assertEquals(16, made.load().connections());
        assertEquals(made, ScenarioBuilder.from(made).build());
        assertEquals(200, ScenarioBuilder.from(made).rate(200).build().load().ratePerSecond(), CLOSE);
    }
}
