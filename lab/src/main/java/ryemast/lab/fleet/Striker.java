package ryemast.lab.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import ryemast.lab.fleet.FleetBooks.Struck;
import ryemast.lab.fleet.ProxyLink.Way;
import ryemast.lab.sockets.EmulatedSite;

/**
 * Does what a plan says when it says so, takes it back in time, and writes down what was done when. One
 * thread; a strike that fails makes the trial worthless, and is told as a breach of the lab's own.
 */
final class Striker implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger(Striker.class.getName());
    private static final long NOT_YET = Long.MAX_VALUE;
    private static final int PATIENCE_S = 10;
    private static final long MICROS_PER_MS = 1_000;
    private static final long MICROS_PER_S = 1_000_000;
    private static final double PERCENT = 100;
    /** So often it is looked whether a strike's moment has come. */
    private static final long LOOK = 5_000;

    private interface Deed {
        void run() throws IOException, InterruptedException;
    }

    private final Plan plan;
    private final EmulatedSite site;
    private final Ground ground;
    private final Waiting waiting;
    private final Path log;
    private final ScheduledExecutorService hand = new ScheduledThreadPoolExecutor(1, work -> {
        var thread = new Thread(work, "striker");
        thread.setDaemon(true);
        return thread;
    });
    private final List<Struck> struck = new ArrayList<>();
    private String failure;
    private boolean begun;
    private volatile long beganAt;

    Striker(Plan plan, EmulatedSite site, Ground ground, Waiting waiting, Path log) {
        this.plan = plan;
        this.site = site;
        this.ground = ground;
        this.waiting = waiting;
        this.log = log;
    }

    /** The run began so many microseconds ago. Only the first call counts. */
    void begin(long elapsed) {
        if (begun) {
            return;
        }
        begun = true;
        beganAt = site.now() - elapsed;
        for (var strike : plan.strikes()) {
            if (strike.disk() == Strike.Disk.OLD) {
                at(strike.copiedAt() - elapsed, strike, () -> ground.copyDisk(strike));
            }
            at(strike.at() - elapsed, strike, () -> aim(strike, site.now() + strike.kind().aims()));
        }
    }

    /** Waits for its moment, if it is of a kind that has one, and strikes. */
    private void aim(Strike strike, long until) throws IOException, InterruptedException {
        if (site.now() < until && !waiting.inside(strike.target(), site.now())) {
            at(LOOK, strike, () -> aim(strike, until));
            return;
        }
        strike(strike);
        done(strike);
    }

    private void at(long delay, Strike strike, Deed deed) {
        hand.schedule(() -> {
            try {
                deed.run();
            } catch (IOException | RuntimeException e) {
                LOG.log(Level.SEVERE, strike + " failed", e);
                failed(strike + " failed: " + e.getMessage());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, Math.max(0, delay), TimeUnit.MICROSECONDS);
    }

    private synchronized void failed(String what) {
        failure = failure == null ? what : failure;
    }

    private void done(Strike strike) throws IOException {
        synchronized (this) {
            struck.add(new Struck(strike, site.now(), NOT_YET));
        }
        note(strike.toString());
        if (strike.lasts() > 0) {
            at(strike.lasts(), strike, () -> {
                lift(strike);
                lifted(strike);
            });
        }
    }

    private void lifted(Strike strike) throws IOException {
        synchronized (this) {
            struck.replaceAll(each -> each.strike() == strike
                    ? new Struck(strike, each.at(), site.now()) : each);
        }
        note(String.format(Locale.ROOT, "%.3f s: over: %s", (site.now() - beganAt) / 1e6, strike));
    }

    private void note(String line) throws IOException {
        Files.writeString(log, line + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    }

    private void strike(Strike strike) throws IOException, InterruptedException {
        int target = strike.target();
        switch (strike.kind()) {
            case KILL -> {
                ground.diskAtStart(strike);
                site.kill(target);
            }
            case STOP -> site.stop(target);
            case START -> site.restart(target);
            case RESTART -> site.end(target);
            case PAUSE, PAUSE_WAITING -> site.pause(target);
            case REVISE -> revise(target, true);
            case CUT -> cut(target, EnumSet.allOf(Way.class));
            case CUT_UP -> cut(target, EnumSet.of(Way.UP));
            case CUT_DOWN -> cut(target, EnumSet.of(Way.DOWN));
            case SLOW -> ground.links(target)
                    .forEach(each -> each.delay(Math.round(strike.size() * MICROS_PER_MS)));
            case RESET -> ground.links(target).forEach(ProxyLink::reset);
            case ANSWERS_LOST -> ground.links(target)
                    .forEach(each -> each.loseAnswers((int) Math.round(strike.size()), "PUT"));
            case CLOCK_STEP -> ground.wall(target, Math.round(strike.size() * MICROS_PER_S), 0);
            case CLOCK_DRIFT -> ground.wall(target, 0, Math.round(strike.size()));
            case DISK_FULL -> fileSize(target, "0");
            case AGENT_AWAY -> onSite(() -> site.directory().goDown());
            case AGENT_SILENT -> onSite(() -> site.directory().stall());
            case PEERS_CUT, PEERS_CUT_UP, PEERS_CUT_DOWN, PEERS_SLOW, PEERS_LOST, PEERS_TWICE, PEERS_AGAIN ->
                    harm(strike, true);
            case AGENT_OLD -> onSite(() -> site.consul().api().faults().set("old", "", 0, strike.lasts(), 0));
        }
    }

    private void lift(Strike strike) throws IOException, InterruptedException {
        int target = strike.target();
        switch (strike.kind()) {
            case KILL -> site.restart(target);
            case PAUSE, PAUSE_WAITING -> site.resume(target);
            case REVISE -> {
                for (int other = 0; other < ground.processes(); other++) {
                    revise(other, false);
                }
            }
            case CUT, CUT_UP, CUT_DOWN -> ground.links(target).forEach(ProxyLink::heal);
            case SLOW -> ground.links(target).forEach(each -> each.delay(0));
            case CLOCK_STEP, CLOCK_DRIFT -> ground.wall(target, 0, 0);
            case DISK_FULL -> fileSize(target, "unlimited");
            case AGENT_AWAY -> onSite(() -> site.directory().comeUp());
            case AGENT_SILENT -> onSite(() -> site.directory().goOn());
            case PEERS_CUT, PEERS_CUT_UP, PEERS_CUT_DOWN, PEERS_SLOW, PEERS_LOST, PEERS_TWICE, PEERS_AGAIN ->
                    harm(strike, false);
            default -> { }
        }
    }

    /** Its timetable is the next one, or the one that was the next one last. */
    private void revise(int process, boolean next) throws IOException {
        if (ground.revise(process, next)) {
            site.reload(process);
        }
    }

    private void cut(int process, EnumSet<Way> ways) {
        ground.links(process).forEach(each -> each.cut(ways));
    }

    /** Of its datagrams; a trial whose processes have none is not harmed. */
    private void harm(Strike strike, boolean on) {
        var harm = ground.peers(strike.target());
        if (harm == null) {
            return;
        }
        double size = on ? strike.size() : 0;
        switch (strike.kind()) {
            case PEERS_CUT -> {
                harm.saysNothing = on;
                harm.hearsNothing = on;
            }
            case PEERS_CUT_UP -> harm.saysNothing = on;
            case PEERS_CUT_DOWN -> harm.hearsNothing = on;
            case PEERS_SLOW -> harm.late = size;
            case PEERS_LOST -> harm.lost = size / PERCENT;
            case PEERS_TWICE -> harm.twice = on;
            default -> harm.again = size;
        }
    }

    private void onSite(Runnable step) {
        site.ask(() -> {
            step.run();
            return null;
        });
    }

    /** Beyond this no file of the process grows; of a running one, by util-linux' prlimit. */
    private void fileSize(int process, String most) throws IOException, InterruptedException {
        long pid = site.pid(process);
        if (pid == 0) {
            return;
        }
        var call = new ProcessBuilder("prlimit", "--pid", Long.toString(pid), "--fsize=" + most + ":")
                .redirectErrorStream(true).start();
        var said = new String(call.getInputStream().readAllBytes());
        if (!call.waitFor(PATIENCE_S, TimeUnit.SECONDS) || call.exitValue() != 0) {
            throw new IOException("prlimit said " + said.strip());
        }
    }

    /** What was done so far; what was not taken back lasts until {@code end}. */
    synchronized List<Struck> struck(long end) {
        return struck.stream().map(each -> each.untilAt() != NOT_YET ? each : new Struck(each.strike(),
                each.at(), each.strike().lasts() == 0 ? each.at() : end)).toList();
    }

    /** What went wrong with a strike, null: nothing. */
    synchronized String failure() {
        return failure;
    }

    @Override
    public void close() {
        hand.shutdownNow();
    }
}
