package ryemast.lab.sockets;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import ryemast.core.Clock;
import ryemast.lab.books.Books.DispatcherState;
import ryemast.lab.books.DispatcherStats;
import ryemast.net.Addresses;

/**
 * One dispatcher as a process of its own, at an address that stays the same over all its starts: starts it,
 * sees when it is ready, sends it signals, keeps its log and its figures, and notices when it ends though
 * nobody has told it to. Any thread may use it; the observer is called on any.
 */
final class DispatcherProcess implements AutoCloseable {

    /** Told of each change, in order. */
    interface Observer {
        void changed(int dispatcher, DispatcherState state, long at);

        /** A process starts next; what fails here keeps it from starting. */
        void starting(int dispatcher) throws IOException;
    }

    /** One of its starts. */
    private record Running(Process process, ProcFigures figures) {
    }

    private static final int LINES = 30;
    private static final long CHECK_MS = 5;
    private static final int ANSWER_MS = 2_000;
    private static final long PATIENCE_S = 5;
    private static final int OK_LENGTH = "HTTP/1.1 200".length();

    private final int number;
    private final List<String> command;
    private final Path root;
    private final InetSocketAddress address;
    private final Supplier<String> configuration;
    private final Path folder;
    private final Path operator;
    private final Clock clock;
    private final Observer observer;
    private final Deque<String> lastLines = new ArrayDeque<>();
    private volatile Running current;
    /** Set before its connections can end, as those who see them end ask. */
    private volatile Running killed;
    private long cpuOfFormer;
    private double rssOfFormer;
    private long cpuBefore;
    private long readyMicros = DispatcherStats.UNKNOWN;
    private long readyCpuMicros = DispatcherStats.UNKNOWN;
    private Integer exitCode;
    private int starts;
    private boolean ordered;
    private boolean died;
    private volatile boolean closed;

    /** {@code configuration}: made anew for each start; {@code operator}: its operator file, or null. */
    DispatcherProcess(int number, List<String> command, Path root, InetSocketAddress address,
            Supplier<String> configuration, Path folder, Path operator, Clock clock, Observer observer) {
        this.number = number;
        this.command = command;
        this.root = root;
        this.address = address;
        this.configuration = configuration;
        this.folder = folder;
        this.operator = operator;
        this.clock = clock;
        this.observer = observer;
    }

    /** Starts it if it does not run; it is ready some time later. */
    synchronized void start() throws IOException {
        if (closed || isAlive()) {
            return;
        }
        observer.starting(number);
        var config = folder.resolve("dispatcher-" + number + ".json");
        Files.writeString(config, configuration.get());
        var builder = new ProcessBuilder(command).directory(root.toFile()).redirectErrorStream(true);
        builder.environment().put("BALANCER_NAME", "n" + number);
        builder.environment().put("BALANCER_CONFIG", config.toAbsolutePath().toString());
        builder.environment().put("BALANCER_LISTEN", Addresses.text(address));
        builder.environment().remove("BALANCER_DISCOVERY");
        if (operator != null) {
            builder.environment().put("RYEMAST_OPERATOR", operator.toAbsolutePath().toString());
        }
        ordered = false;
        starts++;
        long startedAt = clock.now();
        var started = builder.start();
        var running = new Running(started, new ProcFigures(started.pid()));
        current = running;
        changed(DispatcherState.STARTED, startedAt);
        daemon("dispatcher " + number + " log", () -> follow(started.inputReader(StandardCharsets.UTF_8)));
        daemon("dispatcher " + number + " health", () -> awaitReady(running, startedAt));
        started.onExit().thenRun(() -> exited(running));
    }

    private static void daemon(String name, Runnable what) {
        var thread = new Thread(what, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void changed(DispatcherState state, long at) {
        if (!closed) {
            observer.changed(number, state, at);
        }
    }

    private void follow(BufferedReader output) {
        var log = folder.resolve("dispatcher-" + number + ".log");
        try (output; var file = Files.newBufferedWriter(log, StandardOpenOption.CREATE,
                StandardOpenOption.APPEND)) {
            for (var line = output.readLine(); line != null; line = output.readLine()) {
                synchronized (lastLines) {
                    lastLines.addLast(line);
                    if (lastLines.size() > LINES) {
                        lastLines.removeFirst();
                    }
                }
                file.write(line);
                file.newLine();
                file.flush();
            }
        } catch (IOException | UncheckedIOException e) {
            // The process is gone, and its pipe with it.
        }
    }

    /** Asks until the health check says 200, or that process has ended. */
    private void awaitReady(Running running, long startedAt) {
        while (running.process.isAlive() && !closed) {
            if (isHealthy(address)) {
                synchronized (this) {
                    if (current != running || !running.process.isAlive()) {
                        return;
                    }
                    long now = clock.now();
                    running.figures.read();
                    if (readyMicros == DispatcherStats.UNKNOWN) {
                        readyMicros = now - startedAt;
                        readyCpuMicros = running.figures.cpuMicros();
                    }
                    changed(DispatcherState.READY, now);
                }
                return;
            }
            try {
                Thread.sleep(CHECK_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    static boolean isHealthy(InetSocketAddress address) {
        try (var socket = new Socket()) {
            socket.connect(address, ANSWER_MS);
            socket.setSoTimeout(ANSWER_MS);
            socket.getOutputStream().write(("GET /_health HTTP/1.1\r\nHost: " + Addresses.text(address)
                    + "\r\nConnection: close\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            var start = socket.getInputStream().readNBytes(OK_LENGTH);
            return new String(start, StandardCharsets.ISO_8859_1).endsWith(" 200");
        } catch (IOException e) {
            return false;
        }
    }

    private void exited(Running ended) {
        long now = clock.now();
        synchronized (this) {
            cpuOfFormer += ended.figures.cpuMicros();
            rssOfFormer = Math.max(rssOfFormer, ended.figures.rssPeakMb());
            exitCode = ended.process.exitValue();
            if (current == ended) {
                current = null;
            }
            died |= !ordered && !closed;
            changed(ordered ? DispatcherState.ENDED : DispatcherState.DIED, now);
        }
        try {
            // Its watcher goes with the pipe.
            ended.process.getOutputStream().close();
        } catch (IOException e) {
            // Gone already.
        }
    }

    boolean isAlive() {
        var running = current;
        return running != null && running.process.isAlive();
    }

    /**
     * Whether it runs and has not been killed: a process that is killed counts as running until it has been
     * reaped, which takes a while on a machine with much else to do.
     */
    boolean lives() {
        var running = current;
        return running != null && running != killed && running.process.isAlive();
    }

    /** 0 while there is none. */
    long pid() {
        var running = current;
        return running == null ? 0 : running.process.pid();
    }

    /** How often it has been started. */
    synchronized int starts() {
        return starts;
    }

    /** SIGKILL. */
    synchronized void kill() {
        if (isAlive()) {
            current.figures.read();
            ordered = true;
            killed = current;
            changed(DispatcherState.KILLED, clock.now());
            current.process.destroyForcibly();
        }
    }

    /** SIGTERM. */
    synchronized void end() {
        if (isAlive()) {
            ordered = true;
            changed(DispatcherState.TOLD_TO_END, clock.now());
            // By the handle: the process itself would close its pipes, too, and its watcher would kill it.
            current.process.toHandle().destroy();
        }
    }

    /** SIGSTOP; to be called where waiting is allowed, as is {@link #resume}. */
    void pause() {
        signal("STOP", DispatcherState.PAUSED);
    }

    /** SIGCONT. */
    void resume() {
        signal("CONT", DispatcherState.RESUMED);
    }

    /** SIGHUP: its operator's files have changed; when it was sent, on the site's clock. */
    synchronized long reload() {
        long at = clock.now();
        signal("HUP");
        return at;
    }

    private synchronized void signal(String name, DispatcherState state) {
        if (isAlive()) {
            changed(state, clock.now());
            signal(name);
        }
    }

    private void signal(String name) {
        if (!isAlive()) {
            return;
        }
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(current.process.pid())).start()
                    .waitFor(PATIENCE_S, TimeUnit.SECONDS);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot send SIG" + name, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reads the kernel's figures while there are any. */
    synchronized void sample() {
        if (isAlive()) {
            current.figures.read();
        }
    }

    /** Over all starts. */
    private long cpuMicros() {
        return cpuOfFormer + (current == null ? 0 : current.figures.cpuMicros());
    }

    /** Processor time counts from here on. */
    synchronized void measureFromHere() {
        sample();
        cpuBefore = cpuMicros();
    }

    synchronized DispatcherStats stats() {
        sample();
        double rss = Math.max(rssOfFormer, current == null ? 0 : current.figures.rssPeakMb());
        return new DispatcherStats(number, cpuMicros() - cpuBefore, rss, readyMicros, readyCpuMicros,
                isAlive(), died, exitCode, lastLines());
    }

    List<String> lastLines() {
        synchronized (lastLines) {
            return List.copyOf(lastLines);
        }
    }

    /** Ends it outright; nobody hears of it any more. */
    @Override
    public void close() {
        Running last;
        synchronized (this) {
            closed = true;
            last = current;
        }
        if (last != null) {
            last.process.destroyForcibly();
            try {
                last.process.waitFor(PATIENCE_S, TimeUnit.SECONDS);
                last.process.getOutputStream().close();
            } catch (IOException e) {
                // Gone already.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
