package ryemast.it;

import static ryemast.it.Platform.until;

import java.io.Closeable;
import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * One run of the packaged program under troubles that its seed draws: workers, clients and discovery that
 * misbehave, system calls that fail, signals, kills; at the end SIGTERM, and SIGKILL as early as it may come.
 */
final class SoakRun implements Closeable {

    /** Faults of system calls that a program may meet in service. */
    private record Fault(Faults.Call call, int error, int oneIn, int pauseMs) {
    }

    private static final List<Fault> FAULTS = List.of(
            new Fault(Faults.Call.ACCEPT, Faults.EMFILE, 2, 0),
            new Fault(Faults.Call.ACCEPT, Faults.ENOBUFS, 2, 0),
            new Fault(Faults.Call.ACCEPT, Faults.ECONNABORTED, 2, 0),
            new Fault(Faults.Call.CONNECT, Faults.ENETUNREACH, 2, 0),
            new Fault(Faults.Call.CONNECT, Faults.EADDRNOTAVAIL, 2, 0),
            new Fault(Faults.Call.CONNECT, Faults.ETIMEDOUT, 2, 0),
            new Fault(Faults.Call.CONNECT, Faults.ECONNREFUSED, 2, 0),
            new Fault(Faults.Call.READ, Faults.SHORT, 2, 0),
            new Fault(Faults.Call.READ, Faults.EAGAIN, 3, 0),
            new Fault(Faults.Call.READ, Faults.EINTR, 3, 0),
            new Fault(Faults.Call.WRITE, Faults.SHORT, 2, 0),
            new Fault(Faults.Call.WRITE, Faults.EAGAIN, 2, 0),
            new Fault(Faults.Call.WRITE, Faults.EINTR, 3, 0),
            new Fault(Faults.Call.PEER_READ, Faults.ECONNRESET, 5, 0),
            new Fault(Faults.Call.PEER_READ, Faults.ETIMEDOUT, 5, 0),
            new Fault(Faults.Call.PEER_READ, Faults.EIO, 5, 0),
            new Fault(Faults.Call.PEER_READ, Faults.NONE, 4, 5),
            new Fault(Faults.Call.PEER_WRITE, Faults.EPIPE, 5, 0),
            new Fault(Faults.Call.PEER_WRITE, Faults.ECONNRESET, 5, 0),
            new Fault(Faults.Call.PEER_WRITE, Faults.ENOBUFS, 5, 0),
            new Fault(Faults.Call.PEER_WRITE, Faults.EHOSTUNREACH, 5, 0),
            new Fault(Faults.Call.PEER_WRITE, Faults.NONE, 3, 5),
            new Fault(Faults.Call.SOCKET, Faults.EMFILE, 2, 0),
            new Fault(Faults.Call.SOCKET, Faults.ENOBUFS, 2, 0),
            new Fault(Faults.Call.WAKE_READ, Faults.EIO, 10, 0),
            new Fault(Faults.Call.WAKE_WRITE, Faults.EINTR, 4, 0),
            new Fault(Faults.Call.WATCH, Faults.ENOMEM, 5, 0),
            new Fault(Faults.Call.WATCH, Faults.ENOSPC, 5, 0),
            new Fault(Faults.Call.OPTION, Faults.EINVAL, 10, 0),
            new Fault(Faults.Call.LOG, Faults.ENOSPC, 2, 0),
            new Fault(Faults.Call.LOG, Faults.EIO, 2, 0));

    private static final int WORKERS = 4;
    private static final int MOST_DRAINS = 2;
    private static final int CLIENTS = 12;
    private static final int TROUBLES = 14;
    private static final long HELD_UP_MS = 100;
    /** The choice of a trouble that replaces a worker's process. */
    private static final int REPLACES = 94;
    /** A process that has died is replaced at one in so many steps at least. */
    private static final int ABSENT_STEPS = 4;
    private static final int COUNTED_DEADLINE_MS = 3_000;
    private static final int KILLED_AFTER_MS = 700;
    /** For so long after SIGTERM new connections come. */
    private static final long NEW_CONNECTIONS_MS = 300;

    private final Random random;
    private final SoakSettings settings;
    private final MachineLag lag = new MachineLag();
    private final SoakRules rules;
    private final Faults faults = new Faults();
    private final Program program = new Program();
    private final Path folder = Files.createTempDirectory("ryemast-soak");
    private final SoakDiscovery discovery = new SoakDiscovery();
    private final List<SoakWorker> workers = new ArrayList<>();
    private final List<SoakClient> clients = new ArrayList<>();
    private final List<Wire> crowd = new ArrayList<>();
    private final SoakClient.Shared shared;
    private final SoakHostileClients hostile;
    private final List<String> story = new ArrayList<>();
    private Process process;
    private int drained;
    /** The last worker's process has died, and no other has started. */
    private boolean absent;

    SoakRun(long seed) throws Exception {
        random = new Random(seed);
        settings = SoakSettings.drawn(random);
        rules = new SoakRules(settings.secondCopies(), lag);
        shared = new SoakClient.Shared(rules, lag, program::address, settings.crowd() > 0);
        faults.seed(seed);
        hostile = new SoakHostileClients(shared, settings, faults, seed);
        for (int i = 0; i < WORKERS; i++) {
            var id = "s-" + i;
            var worker = new SoakWorker(id, rules, this::callBack, () -> discovery.notifiedAt(id),
                    random.nextLong());
            workers.add(worker);
            discovery.add(worker);
        }
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(new SoakClient(shared, settings, random.nextLong()));
        }
    }

    /** Plays the run; the rules that it broke. */
    List<String> play() throws Exception {
        start();
        clients.forEach(Thread::start);
        tell("hostile clients: " + hostile.kind());
        hostile.start();
        for (int i = 0; i < settings.crowd(); i++) {
            crowd.add(Wire.to(program.address()));
        }
        for (int i = 0; i < TROUBLES; i++) {
            trouble(absent && random.nextInt(ABSENT_STEPS) == 0 ? REPLACES : random.nextInt(100));
            Thread.sleep(200 + random.nextInt(500));
            faults.none();
        }
        end();
        shared.over = true;
        for (var each : clients) {
            each.join();
        }
        hostile.interrupt();
        return List.copyOf(rules.breaches());
    }

    private void tell(String what) {
        story.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) % 1_000_000 + " " + what);
    }

    private void start() throws Exception {
        int port = program.address() == null ? 0 : program.address().getPort();
        discovery.restarts();
        process = program.start(config(port), faults.environment());
        until(() -> program.address() != null && isHealthy());
        discovery.restarted();
        tell("started");
    }

    private Path config(int port) throws IOException {
        return Files.writeString(folder.resolve("config.json"),
                settings.config(port, discovery.address(), discovery.known(), random.nextLong()));
    }

    private boolean isHealthy() throws IOException {
        try (var wire = Wire.to(program.address()).send("GET /_health HTTP/1.1\r\n\r\n")) {
            var answer = wire.read();
            return answer != null && answer.status().equals("200");
        } catch (ConnectException e) {
            return false;
        }
    }

    private boolean callBack(String body) {
        try (var wire = Wire.to(program.address())) {
            wire.patience(1_000);
            var answer = wire.send("POST /v1/job-events HTTP/1.1", "", body).read();
            return answer != null && answer.status().equals("200");
        } catch (IOException e) {
            return false;
        }
    }

    private void trouble(int choice) throws Exception {
        if (choice < 50) {
            fault(FAULTS.get(random.nextInt(FAULTS.size())));
        } else if (choice < 62 && drained < MOST_DRAINS) {
            tell("drain s-" + drained);
            discovery.drain(workers.get(drained++));
        } else if (choice < 80) {
            discovery(random.nextInt(6));
        } else if (choice < 86) {
            move();
        } else if (choice < 90) {
            tell("held up");
            holdUp();
        } else if (choice < 95) {
            replace();
        } else {
            kill();
            start();
        }
    }

    /** The last worker's process dies, or a new one takes its place. */
    private void replace() throws Exception {
        var worker = workers.get(WORKERS - 1);
        tell(worker.id + (absent ? " starts anew" : " crashes"));
        if (absent) {
            worker.startAnew();
            discovery.back(worker);
        } else {
            discovery.gone(worker);
            worker.crash();
        }
        absent = !absent;
    }

    private void holdUp() throws Exception {
        long before = System.nanoTime();
        Program.signal(process, "STOP");
        Thread.sleep(HELD_UP_MS);
        Program.signal(process, "CONT");
        lag.note(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - before) - HELD_UP_MS);
    }

    private void fault(Fault fault) {
        tell(fault.toString());
        faults.pause(fault.call(), fault.pauseMs());
        faults.failByChance(fault.call(), fault.error(), fault.oneIn());
    }

    private void discovery(int choice) throws IOException {
        tell("discovery " + choice);
        switch (choice) {
            case 0 -> discovery.silence();
            case 1 -> discovery.resetWatches();
            case 2 -> {
                discovery.silence();
                discovery.mode(SoakDiscovery.Mode.CROWDED);
            }
            case 3 -> {
                discovery.resetWatches();
                discovery.mode(SoakDiscovery.Mode.CROWDED);
            }
            case 4 -> discovery.mode(SoakDiscovery.Mode.DOWN);
            default -> discovery.mode(SoakDiscovery.Mode.ANSWERS);
        }
    }

    private void move() throws Exception {
        tell("SIGHUP");
        discovery.move();
        config(program.address().getPort());
        Program.signal(process, "HUP");
        discovery.moved();
    }

    private void kill() throws InterruptedException {
        tell("SIGKILL");
        shared.endsSince = System.nanoTime();
        destroy();
    }

    /** What is sent before the process is gone belongs to it, and what is sent meanwhile to none. */
    private void destroy() throws InterruptedException {
        shared.process++;
        process.destroyForcibly().waitFor();
        shared.process++;
    }

    /** SIGTERM, further signals, and SIGKILL as early as it may come; a worker may hang throughout. */
    private void end() throws Exception {
        tell("SIGTERM");
        shared.endsSince = System.nanoTime();
        long killedAt = shared.endsSince + TimeUnit.MILLISECONDS.toNanos(
                Math.min(COUNTED_DEADLINE_MS, settings.longestDeadlineMs()) + KILLED_AFTER_MS);
        Program.signal(process, "TERM");
        Thread.sleep(NEW_CONNECTIONS_MS);
        shared.frontClosed = true;
        for (var name : random.nextBoolean() ? List.of("HUP", "TERM") : List.of("TERM")) {
            Thread.sleep(random.nextInt(300));
            if (process.isAlive()) {
                Program.signal(process, name);
            }
        }
        boolean ended = process.waitFor(Math.max(0, killedAt - System.nanoTime()), TimeUnit.NANOSECONDS);
        if (ended && process.exitValue() != 0) {
            rules.breach("crash", "it ended with " + process.exitValue());
        }
        tell(ended ? "ended" : "SIGKILL");
        destroy();
    }

    /** What was done when, what was served, and what the program logged last. */
    String report() {
        var lines = new ArrayList<>(program.log);
        return settings + "\n" + String.join("\n", story) + "\nanswered " + shared.answered + ", served "
                + shared.served + ", attempts " + rules.attempts() + "\n"
                + String.join("\n", lines.subList(Math.max(0, lines.size() - 400), lines.size()));
    }

    int served() {
        return shared.served.get();
    }

    @Override
    public void close() throws IOException {
        shared.over = true;
        process.destroyForcibly();
        for (var each : workers) {
            each.close();
        }
        discovery.close();
        for (var each : crowd) {
            try {
                each.close();
            } catch (SocketException e) {
                // The program had ended it.
            }
        }
        faults.close();
        Files.deleteIfExists(folder.resolve("config.json"));
        Files.deleteIfExists(folder);
        lag.interrupt();
    }
}
