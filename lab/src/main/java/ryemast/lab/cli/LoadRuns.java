package ryemast.lab.cli;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import ryemast.core.Clock;
import ryemast.lab.books.DispatcherStats;
import ryemast.lab.books.RunResult;
import ryemast.lab.load.Interval;
import ryemast.lab.load.LoadPlan;
import ryemast.lab.load.LoadResult;
import ryemast.lab.load.Room;
import ryemast.lab.sockets.Between;
import ryemast.lab.sockets.EmulatedSite;
import ryemast.lab.sockets.EmulatedSite.Progress;

/** Carries plans out, each with a fresh dispatcher, its boxes and its clients. */
final class LoadRuns {

    private static final int CLIENT_CONNECTIONS = 4_096;
    private static final double MICROS_PER_S = 1e6;

    private final Path logs;
    private final String external;
    private final Path writeConfig;
    private final boolean quiet;
    private final Stop stop;

    /** {@code external}: the address of a dispatcher that somebody else runs, or null. */
    LoadRuns(Path logs, String external, Path writeConfig, boolean quiet, Stop stop) {
        this.logs = logs;
        this.external = external;
        this.writeConfig = writeConfig;
        this.quiet = quiet;
        this.stop = stop;
    }

    /** Whether the machine has room for it, before anything is started. */
    void check(LoadPlan plan) throws BadCall {
        boolean privileged = external != null || "root".equals(System.getProperty("user.name"));
        var refusal = plan.room().refusal(Room.Limit.own(), privileged);
        if (refusal != null) {
            throw new BadCall(refusal);
        }
    }

    LoadResult unchecked(LoadPlan plan, String what) {
        try {
            return run(plan, what);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    LoadResult run(LoadPlan plan, String what) throws IOException {
        var room = plan.room();
        var scenario = plan.scenario(room.dispatcher(), room.memoryMb());
        var clock = new Clock();
        var interval = new Interval(plan, clock::now);
        try (var live = new Live(what, quiet);
                var site = new EmulatedSite(scenario, options(plan, room))) {
            stop.running(site::interrupt);
            if (writeConfig != null) {
                ConfigFile.follow(site, writeConfig, live);
            }
            site.start();
            var ending = site.run(progress -> {
                interval.look(progress.elapsed(), site, LoadRuns::cpu);
                live.at(progress.share(), words(progress));
            });
            stop.running(null);
            interval.cutShort(site, LoadRuns::cpu);
            return result(plan, room, site, interval, ending);
        }
    }

    private EmulatedSite.Options options(LoadPlan plan, Room room) {
        var jvmArgs = room.heapMb() > Room.LEAST_HEAP_MB ? List.of("-Xmx" + room.heapMb() + "m",
                "-XX:MaxDirectMemorySize=" + room.directMb() + "m") : List.<String>of();
        return new EmulatedSite.Options(null, external, logs, external == null, jvmArgs,
                Math.max(CLIENT_CONNECTIONS, plan.connections()), 0, "", null, Between.NOTHING);
    }

    private LoadResult result(LoadPlan plan, Room room, EmulatedSite site, Interval interval,
            EmulatedSite.Ending ending) {
        var stats = site.stats();
        boolean interrupted = ending == EmulatedSite.Ending.INTERRUPTED;
        var note = site.failures() > 0 ? site.failures() + " steps of the emulator failed" : null;
        var whole = RunResult.of(site.scenario(), site.books(), stats, interrupted, note);
        var json = whole.json();
        // Thousands of equal boxes: their rows say nothing.
        json.remove("by_box");
        boolean died = ending == EmulatedSite.Ending.DISPATCHER_DIED;
        var lastLines = stats.isEmpty() ? "" : String.join("\n", stats.get(0).lastLines());
        return new LoadResult(plan, room, external != null, json, interval.measured(site.books().read()),
                stats.stream().mapToDouble(DispatcherStats::rssPeakMb).max().orElse(DispatcherStats.UNKNOWN),
                whole.emulatorLateMs(), whole.counts() && site.failures() == 0, whole.rulesBroken(), died,
                lastLines, interrupted);
    }

    private static long cpu(EmulatedSite site) {
        var stats = site.stats();
        return stats.isEmpty() ? DispatcherStats.UNKNOWN
                : stats.stream().mapToLong(DispatcherStats::cpuMicros).sum();
    }

    static String words(Progress progress) {
        return String.format(Locale.ROOT, "%.0f of %.0f s, %,d jobs asked, %,d over, %,d open",
                progress.elapsed() / MICROS_PER_S, progress.length() / MICROS_PER_S, progress.asked(),
                progress.answered(), progress.asked() - progress.answered());
    }
}
