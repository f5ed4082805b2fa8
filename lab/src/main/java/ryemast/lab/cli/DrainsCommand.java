package ryemast.lab.cli;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicInteger;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import ryemast.lab.books.RunResult;
import ryemast.lab.load.LoadPlan;
import ryemast.lab.load.Table;
import ryemast.lab.members.Drain;
import ryemast.lab.members.Drains;
import ryemast.lab.members.Way;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.scenario.ScenarioBuilder;
import ryemast.lab.sockets.EmulatedSite;
import ryemast.lab.sockets.EmulatedSite.Ending;

/** {@code lab drains}: how soon after its mark a drained box gets nothing new. */
@Command(name = "drains",
        description = {"Drains boxes that a stand-in for Consul lists, one after the other under load,",
    "and measures the time from each mark to the last new request; prints a Markdown table."})
final class DrainsCommand implements Callable<Integer> {

    private static final double MS = 1e3;
    /** What the rule allows, and what the rules allow beyond it on sockets. */
    private static final double LIMIT_MS = 500;

    @Option(names = "--ways", split = ",", paramLabel = "WAY",
            defaultValue = "maintenance,critical,deregistration,operator",
            description = "How: maintenance, critical, deregistration, operator (${DEFAULT-VALUE}).")
    private List<String> ways;

    @Option(names = "--count", paramLabel = "N", defaultValue = "300",
            description = "Drains by each way (${DEFAULT-VALUE}).")
    private int count;

    @Option(names = "--boxes", paramLabel = "N", defaultValue = "20",
            description = "Boxes (${DEFAULT-VALUE}).")
    private int boxes;

    @Option(names = "--rate", paramLabel = "R", defaultValue = "200",
            description = "Jobs a second (${DEFAULT-VALUE}).")
    private double rate;

    @Option(names = "--work-ms", paramLabel = "MS", defaultValue = "250",
            description = "What each job takes on one core of a box (${DEFAULT-VALUE}).")
    private double workMs;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1",
            description = "What all chance is drawn from (${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--json", paramLabel = "FILE", description = "Where the result goes as JSON.")
    private Path json;

    @Option(names = "--logs", paramLabel = "DIR",
            description = "Where the dispatchers' logs go; else nowhere.")
    private Path logs;

    @Option(names = "--quiet", description = "Shows no progress.")
    private boolean quiet;

    /** What came of one way. */
    private record Measured(Way way, List<Drain> drains, RunResult result, Ending ending) {

        /** In microseconds, ascending: of drains that found their box in use. */
        long[] lasts() {
            return drains.stream().filter(Drain::inUse).mapToLong(Drain::lastAfter).sorted().toArray();
        }

        boolean fine() {
            return result.rulesBroken() == 0 && result.counts() && ending == Ending.DONE
                    && Arrays.stream(lasts()).allMatch(each -> each <= LIMIT_MS * MS);
        }
    }

    @Override
    public Integer call() throws IOException {
        try {
            return measured();
        } catch (BadCall e) {
            return Exit.badCall(e);
        }
    }

    private int measured() throws BadCall, IOException {
        LoadOptions.within("--count", count, 1, 100_000);
        LoadOptions.within("--boxes", boxes, 2, 1_000);
        LoadOptions.within("--rate", rate, 1, 10_000);
        LoadOptions.within("--work-ms", workMs, 0.001, 60_000);
        var wanted = new ArrayList<Way>();
        for (var each : ways) {
            wanted.add(Arrays.stream(Way.values()).filter(way -> way.word().equals(each)).findFirst()
                    .orElseThrow(() -> new BadCall("--ways: " + each
                            + ": expected maintenance, critical, deregistration or operator")));
        }
        var file = new JsonFile(json);
        var stop = Stop.onSignals();
        var found = new ArrayList<Measured>();
        for (var way : wanted) {
            if (!stop.asked()) {
                found.add(run(way, stop));
            }
        }
        file.write(json(found));
        System.out.println(table(found));
        return found.size() == wanted.size()
                && found.stream().allMatch(Measured::fine) ? Exit.DONE : Exit.FAILED;
    }

    private Scenario scenario() {
        var plan = new LoadPlan(boxes, 1, rate, Drains.length(count) / 1e6, 0, workMs, 4, 0, 0, 0, 0, 0.2,
                true, seed);
        var room = plan.room();
        var plain = plan.scenario(room.dispatcher(), room.memoryMb());
        var usual = plain.discovery();
        return ScenarioBuilder.from(plain).name("drains").discovery(new Scenario.Discovery(usual.notice(),
                usual.silentNotice(), usual.add(), usual.callTime(), usual.timeout(), usual.beat(),
                Scenario.Through.CONSUL)).build();
    }

    private Measured run(Way way, Stop stop) throws IOException {
        var scenario = scenario();
        var options = EmulatedSite.Options.standard()
                .withFolder(logs == null ? null : logs.resolve(way.word())).pinned();
        try (var live = new Live("drains by " + way.word(), quiet); var site =
                new EmulatedSite(scenario, options)) {
            stop.running(site::interrupt);
            site.start();
            var done = new AtomicInteger();
            var drains = new Drains(site, way, count);
            var hand = new Thread(() -> drains.run(done::set), "drains");
            hand.setDaemon(true);
            hand.start();
            var ending =
                    site.run(progress -> live.at(progress.share(), done.get() + " of " + count + " drains"));
            hand.interrupt();
            hand.join();
            stop.running(null);
            var result = RunResult.of(scenario, site.books(), site.stats(), ending == Ending.INTERRUPTED,
                    site.failures() > 0 ? site.failures() + " steps of the emulator failed" : null);
            return new Measured(way, drains.read(site.books().read()), result, ending);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    private static double at(long[] ascending, double share) {
        return ascending.length == 0 ? 0
                : ascending[(int) Math.min(ascending.length - 1,
                Math.ceil(share * ascending.length) - 1)] / MS;
    }

    private static String ms(double value) {
        return String.format(Locale.ROOT, "%.1f", value);
    }

    private static Table table(List<Measured> found) {
        var table =
                new Table("way", "drains", "box in use", "median ms", "p99 ms", "largest ms", "served",
                "rules broken",
                "note");
        for (var each : found) {
            var lasts = each.lasts();
            table.row(each.way.word(), Integer.toString(each.drains.size()), Integer.toString(lasts.length),
                    ms(at(lasts, 0.5)), ms(at(lasts, 0.99)), ms(at(lasts, 1)),
                    each.result.served() + " of " + each.result.asked(),
                    Long.toString(each.result.rulesBroken()),
                    each.result.counts() ? each.ending == Ending.DONE ? "" : each.ending.toString()
                            : "the emulator was late");
        }
        return table;
    }

    private static JsonObject json(List<Measured> found) {
        var ways = new JsonArray();
        for (var each : found) {
            var lasts = each.lasts();
            var way = new JsonObject();
            way.addProperty("way", each.way.word());
            way.addProperty("drains", each.drains.size());
            way.addProperty("in_use", lasts.length);
            way.addProperty("median_ms", at(lasts, 0.5));
            way.addProperty("p99_ms", at(lasts, 0.99));
            way.addProperty("largest_ms", at(lasts, 1));
            way.add("run", each.result.json());
            ways.add(way);
        }
        var all = new JsonObject();
        all.add("ways", ways);
        return all;
    }
}
