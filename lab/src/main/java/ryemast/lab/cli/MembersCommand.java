package ryemast.lab.cli;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import ryemast.lab.load.LoadPlan;
import ryemast.lab.load.Room;
import ryemast.lab.load.Table;
import ryemast.lab.members.MassChange;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.scenario.ScenarioBuilder;
import ryemast.lab.sockets.EmulatedSite;
import ryemast.lab.sockets.EmulatedSite.Ending;

/** {@code lab members}: what it costs a dispatcher when every box on Consul's list changes at once. */
@Command(name = "members",
        description = {"Lets all boxes that a stand-in for Consul lists change at once, and measures the",
    "dispatcher's processor time, the longest answer of its loop, and its memory; prints a Markdown table."})
final class MembersCommand implements Callable<Integer> {

    @Option(names = "--boxes", paramLabel = "N", defaultValue = "5000",
            description = "Boxes (${DEFAULT-VALUE}).")
    private int boxes;

    @Option(names = "--rate", paramLabel = "R", defaultValue = "50",
            description = "Jobs a second (${DEFAULT-VALUE}).")
    private double rate;

    @Option(names = "--json", paramLabel = "FILE", description = "Where the result goes as JSON.")
    private Path json;

    @Option(names = "--logs", paramLabel = "DIR",
            description = "Where the dispatcher's log goes; else nowhere.")
    private Path logs;

    @Option(names = "--quiet", description = "Shows no progress.")
    private boolean quiet;

    @Override
    public Integer call() throws IOException {
        try {
            return measured();
        } catch (BadCall e) {
            return Exit.badCall(e);
        }
    }

    private int measured() throws BadCall, IOException {
        LoadOptions.within("--boxes", boxes, 1, 20_000);
        LoadOptions.within("--rate", rate, 1, 10_000);
        var file = new JsonFile(json);
        var plan = new LoadPlan(boxes, 1, rate, MassChange.length() / 1e6, 0, 5, 4, 0, 0, 0, 0, 0, true, 1);
        var room = plan.room();
        var refusal = room.refusal(Room.Limit.own(), "root".equals(System.getProperty("user.name")));
        if (refusal != null) {
            throw new BadCall(refusal);
        }
        var stop = Stop.onSignals();
        var plain = plan.scenario(room.dispatcher(), room.memoryMb());
        var usual = plain.discovery();
        var scenario = ScenarioBuilder.from(plain).name("members")
                .discovery(new Scenario.Discovery(usual.notice(),
                usual.silentNotice(), usual.add(), usual.callTime(), usual.timeout(), usual.beat(),
                Scenario.Through.CONSUL)).build();
        var jvmArgs = List.of("-Xmx" + Math.max(room.heapMb(), 160) + "m",
                "-XX:MaxDirectMemorySize=" + Math.max(64, room.directMb()) + "m");
        var options = EmulatedSite.Options.standard().withFolder(logs).pinned().withJvmArgs(jvmArgs);
        try (var live = new Live(boxes + " boxes", quiet); var site = new EmulatedSite(scenario, options)) {
            stop.running(site::interrupt);
            site.start();
            var changes = new MassChange(site);
            var hand = new Thread(() -> changes.run(what -> live.say("changed: " + what)), "changes");
            hand.setDaemon(true);
            hand.start();
            var ending = site.run(progress -> live.at(progress.share(), LoadRuns.words(progress)));
            hand.interrupt();
            hand.join();
            stop.running(null);
            double rss = site.stats().get(0).rssPeakMb();
            file.write(json(changes.costs(), rss));
            System.out.println(table(changes.costs(), rss));
            return ending == Ending.DONE && site.failures() == 0 ? Exit.DONE : Exit.FAILED;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    private static Table table(List<MassChange.Cost> costs, double rss) {
        var table = new Table("all change at once", "rounds", "longest answer, ms (median, largest)",
                "processor ms (median)", "memory MB");
        var byWhat = costs.stream().collect(Collectors.groupingBy(MassChange.Cost::what, LinkedHashMap::new,
                Collectors.toList()));
        byWhat.forEach((what, all) -> table.row(what, Integer.toString(all.size()),
                String.format(Locale.ROOT, "%.1f, %.1f",
                median(all.stream().mapToDouble(MassChange.Cost::longestMs)
                        .sorted().toArray()),
                        all.stream().mapToDouble(MassChange.Cost::longestMs).max().orElse(0)),
                String.format(Locale.ROOT, "%.0f",
                median(all.stream().mapToDouble(MassChange.Cost::cpuMs).sorted()
                        .toArray())), String.format(Locale.ROOT, "%.0f", rss)));
        return table;
    }

    private static double median(double[] ascending) {
        return ascending.length == 0 ? 0 : ascending[ascending.length / 2];
    }

    private static JsonObject json(List<MassChange.Cost> costs, double rss) {
        var all = new JsonArray();
        costs.forEach(each -> {
            var cost = new JsonObject();
            cost.addProperty("what", each.what());
            cost.addProperty("longest_ms", each.longestMs());
            cost.addProperty("cpu_ms", each.cpuMs());
            all.add(cost);
        });
        var whole = new JsonObject();
        whole.add("costs", all);
        whole.addProperty("rss_mb", rss);
        return whole;
    }
}
