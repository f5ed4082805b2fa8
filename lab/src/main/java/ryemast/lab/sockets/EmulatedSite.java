package ryemast.lab.sockets;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.logging.Logger;
import org.apache.commons.rng.UniformRandomProvider;
import ryemast.core.Clock;
import ryemast.lab.books.DispatcherStats;
import ryemast.lab.books.MemoryBooks;
import ryemast.lab.books.OtherJobs;
import ryemast.lab.books.SplitBooks;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.site.Box;
import ryemast.lab.site.Clients;
import ryemast.lab.site.Directory;
import ryemast.lab.site.DispatcherControl;
import ryemast.lab.site.FaultInjector;
import ryemast.lab.site.Front;
import ryemast.lab.site.Patience;
import ryemast.lab.site.Spells;
import ryemast.lab.world.Chance;
import ryemast.net.Addresses;
import ryemast.net.Transport;

/**
 * A whole site around real dispatchers: boxes, discovery and clients in this process, on loopback sockets,
 * each dispatcher as a process of its own; everything happens as the scenario says and goes into the books.
 *
 * <p>Boxes, discovery and the timetable of faults live on one shard, clients on another; the selectors'
 * threads only read, parse and write. Two shards carry more than one dispatcher on one core can; with more of
 * them, discovery would have to see the changes of boxes across threads.
 */
public final class EmulatedSite implements AutoCloseable {

    /**
     * How the site is run.
     *
     * @param command      a shell's command that starts a dispatcher as the platform does; null: {@code run}
     *                     in {@code deploy/balancer.toml}
     * @param external     the address of a dispatcher that somebody else runs, or null; its configuration is
     *                     left in the folder, and there may be only one
     * @param folder       for configurations and logs; null: a temporary one, which goes with the site
     * @param pin          whether dispatchers get processors of their own, as many as the scenario says
     * @param jvmArgs      further ones for a dispatcher's JVM
     * @param connections  the most that clients keep open
     * @param callBacks    the most connections that call-backs share to one dispatcher; 0: each box has up to
     *                     four of its own, as long as there are few boxes
     * @param operator     further lines of each dispatcher's operator file
     * @param others       jobs that reach the boxes by another way than the clients', or null
     * @param between      what a trial puts between the site and its dispatchers
     */
    public record Options(String command, String external, Path folder, boolean pin, List<String> jvmArgs,
            int connections, int callBacks, String operator, OtherJobs others, Between between) {

        public static Options standard() {
            return new Options(null, null, null, false, List.of(), Patience.CONNECTIONS, 0, "", null,
                    Between.NOTHING);
        }

        public Options withOperator(String lines) {
            return new Options(command, external, folder, pin, jvmArgs, connections, callBacks, lines,
                    others, between);
        }

        public Options withCommand(String other) {
            return new Options(other, external, folder, pin, jvmArgs, connections, callBacks, operator,
                    others, between);
        }

        public Options withExternal(String address) {
            return new Options(command, address, folder, pin, jvmArgs, connections, callBacks, operator,
                    others, between);
        }

        public Options withFolder(Path other) {
            return new Options(command, external, other, pin, jvmArgs, connections, callBacks, operator,
                    others, between);
        }

        public Options pinned() {
            return new Options(command, external, folder, true, jvmArgs, connections, callBacks, operator,
                    others, between);
        }

        public Options withOthers(OtherJobs jobs) {
            return new Options(command, external, folder, pin, jvmArgs, connections, callBacks, operator,
                    jobs, between);
        }

        public Options withJvmArgs(List<String> more) {
            return new Options(command, external, folder, pin, List.copyOf(more), connections, callBacks,
                    operator, others, between);
        }

        public Options withBetween(Between other) {
            return new Options(command, external, folder, pin, jvmArgs, connections, callBacks, operator,
                    others, other);
        }
    }

    /**
     * How far a run has come.
     *
     * @param elapsed   since its start, in microseconds
     * @param asked     jobs that have been sent at least once
     * @param answered  jobs that are over
     * @param ready     dispatchers that are
     */
    public record Progress(long elapsed, long length, long asked, long answered, int ready) {

        public double share() {
            return length == 0 ? 1 : Math.min(1, (double) elapsed / length);
        }
    }

    /** How a run ended. */
    public enum Ending {
        /** All was sent, and every job is over. */
        DONE,
        /** Jobs were still open when the last deadline had passed: there was more than could be done. */
        OVERLOADED, INTERRUPTED,
        /** A dispatcher ended though nobody had told it to. */
        DISPATCHER_DIED
    }

    private static final Logger LOG = Logger.getLogger(EmulatedSite.class.getName());
    private static final long LOOK_MS = 50;
    private static final long TELL_MS = 200;
    private static final long READY_MS = 30_000;
    private static final int BOXES_WITH_OWN = 16;
    private static final int OWN_CALL_BACKS = 4;
    private static final int SHARED_CALL_BACKS = 64;

    private final Scenario scenario;
    private final Options options;
    private final Clock clock = new Clock();
    private final MemoryBooks books = new MemoryBooks();
    private final Shard site = new Shard("site", clock, books);
    private final Shard callers = new Shard("clients", clock, books);
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final List<Box> boxes = new ArrayList<>();
    private final List<Transport> transports = new ArrayList<>();
    private final List<UniformRandomProvider> seeds = new ArrayList<>();
    private final Front front;
    private final Supervisor supervisor;
    private final Thread hook = new Thread(this::endProcesses, "end dispatchers");
    private Path folder;
    private Cores cores;
    private BoxPorts ports;
    private TablesAt tables;
    private Clients clients;
    private FaultInjector faults;
    private volatile boolean interrupted;
    private volatile Ending ending;
    private boolean closed;

    public EmulatedSite(Scenario scenario, Options options) {
        this.scenario = scenario;
        this.options = options;
        if (options.external() != null && scenario.dispatchers().count() != 1) {
            throw new IllegalArgumentException("one dispatcher is given by its address, but the scenario has "
                    + scenario.dispatchers().count());
        }
        front = new Front(scenario.dispatchers().count(), scenario.dispatchers().notice(),
                options.between().leans(), callers);
        supervisor = new Supervisor(scenario, books, callers, front, options.between());
    }

    /** Brings everything up, and returns once clients may come. What was begun is ended if that fails. */
    public void start() throws IOException {
        try {
            begin();
        } catch (IOException | RuntimeException e) {
            close();
            throw e;
        }
    }

    private void begin() throws IOException {
        Rehearsal.once(scenario);
        Runtime.getRuntime().addShutdownHook(hook);
        folder = options.folder() != null ? Files.createDirectories(options.folder())
                : Files.createTempDirectory("ryemast-site");
        site.start();
        callers.start();
        int count = scenario.dispatchers().count();
        var own = Hosts.drawn(count);
        for (int i = 0; i < count; i++) {
            addresses.add(options.external() != null ? Addresses.parse(options.external())
                    : own.ofDispatcher(i));
        }
        var chance = new Chance(scenario.seed());
        var hosts = own.ofSite();
        var outward = transport();
        var callBacks = callBacks(outward);
        var others = options.others();
        if (others != null) {
            books.tries().others(others::find);
        }
        var boxBooks = others == null ? books : new SplitBooks(books, others);
        for (var spec : scenario.boxes()) {
            boxes.add(new Box(spec, scenario.telling(), scenario.rules(), scenario.meanJob(), site, chance,
                    books.tries(), boxBooks, callBacks.of(spec.index())));
        }
        ports = new BoxPorts(site, transport(), boxes, hosts, txn -> {
            var other = others == null ? null : others.target(txn);
            return other != null ? other : ClientPool.target(txn);
        });
        ports.open();
        tables = scenario.discovery().through() == Scenario.Through.CONSUL
                ? new ConsulTables(scenario, boxes, ports, site, outward, books, hosts, folder,
                        options.operator(), options.between())
                : new PlatformTables(scenario, boxes, ports, site, outward, books, hosts, folder,
                        options.operator(), options.between());
        tables.open();
        var spells = new Spells(scenario.faults());
        faults = new FaultInjector(scenario, boxes, tables.directory(), spells, control(), site);
        var pool = new ClientPool(callers, transport(), front, addresses::get, this::isAlive,
                scenario.clients().marksRetry(), options.connections());
        clients = new Clients(scenario, callers, chance, pool, books.tries(), books, spells);
        site.ask(() -> {
            boxes.forEach(Box::begin);
            ports.begin();
            return null;
        });
        for (int i = 0; i < count; i++) {
            seeds.add(chance.stream("dispatcher", i));
        }
        if (options.external() == null) {
            startDispatchers(count);
        } else {
            awaitExternal();
        }
    }

    /** Each has a selector and a thread of its own. */
    private Transport transport() {
        var transport = new Transport();
        transports.add(transport);
        return transport;
    }

    private CallBacks callBacks(Transport transport) {
        boolean shared = options.callBacks() > 0 || scenario.boxes().size() > BOXES_WITH_OWN;
        int most = !shared ? OWN_CALL_BACKS
                : options.callBacks() > 0 ? options.callBacks() : SHARED_CALL_BACKS;
        return new CallBacks(site, transport, addresses::get, shared, most);
    }

    private void startDispatchers(int count) throws IOException {
        cores = Cores.shared(count, options.pin() ? scenario.dispatchers().cores() : 0);
        for (int i = 0; i < count; i++) {
            int number = i;
            var launch = launch(i);
            supervisor.add(new DispatcherProcess(i,
                    launch.words(cores.of(i), scenario.dispatchers().sockets()), launch.root(),
                    addresses.get(i), () -> configuration(number), folder, tables.operatorFile(i), clock,
                    supervisor));
        }
        supervisor.start(READY_MS);
    }

    private Launch launch(int dispatcher) throws IOException {
        if (options.command() != null) {
            return new Launch(Path.of("").toAbsolutePath(), options.command());
        }
        var args = new ArrayList<>(options.jvmArgs());
        args.addAll(options.between().jvmArgs(dispatcher));
        return Launch.standard(args);
    }

    private String configuration(int dispatcher) {
        return new DispatcherSettings(scenario).configuration(dispatcher,
                Addresses.text(addresses.get(dispatcher)), tables.address(dispatcher),
                seeds.get(dispatcher).nextLong(), site.ask(() -> tables.known(dispatcher))).toString();
    }

    private void awaitExternal() throws IOException {
        var file = folder.resolve("dispatcher-0.json");
        Files.writeString(file, configuration(0));
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MS);
        if (!DispatcherProcess.isHealthy(addresses.get(0))) {
            LOG.info("the dispatcher at " + options.external() + " finds its configuration in " + file);
        }
        while (!interrupted && !DispatcherProcess.isHealthy(addresses.get(0))) {
            if (System.nanoTime() > end) {
                throw new IOException("the dispatcher at " + options.external() + " does not answer"
                        + " GET /_health with 200; its configuration is in " + file);
            }
            pause(LOOK_MS);
        }
        callers.post(() -> front.ready(0, callers.now()));
    }

    /** Where the first dispatcher reaches the first box. */
    String boxAddress() {
        return ports.address(0, 0);
    }

    private boolean isAlive(int dispatcher) {
        return options.external() != null || supervisor.isAlive(dispatcher);
    }

    private DispatcherControl control() {
        return options.external() == null ? supervisor : new SomebodyElses();
    }

    /**
     * Lets the scenario happen; returns when all is sent and every job is over, or when the last deadline has
     * passed, a dispatcher has died or {@link #interrupt} was called.
     */
    public Ending run(Consumer<Progress> each) {
        long length = scenario.length();
        long deadline = Patience.longestDeadline(scenario, 0);
        supervisor.measureFromHere();
        long beganAt = clock.now();
        site.ask(() -> {
            faults.begin();
            return null;
        });
        callers.post(clients::begin);
        long tellAt = 0;
        while (ending == null) {
            pause(LOOK_MS);
            long elapsed = clock.now() - beganAt;
            if (interrupted) {
                ending = Ending.INTERRUPTED;
            } else if (supervisor.dead() >= 0) {
                ending = Ending.DISPATCHER_DIED;
            } else if (clients.quiet()) {
                ending = Ending.DONE;
            } else if (elapsed > length + deadline + Patience.AFTER_THE_LAST) {
                ending = Ending.OVERLOADED;
            }
            if (ending != null || elapsed >= tellAt) {
                tellAt = elapsed + TELL_MS * 1_000;
                each.accept(new Progress(elapsed, length, clients.asked(), clients.answered(),
                        options.external() == null ? supervisor.ready() : 1));
            }
        }
        callers.ask(() -> {
            clients.stop();
            return null;
        });
        return ending;
    }

    private synchronized void pause(long millis) {
        if (!interrupted) {
            try {
                wait(millis);
            } catch (InterruptedException e) {
                interrupted = true;
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Ends a run soon, or keeps it from beginning; from any thread. */
    public synchronized void interrupt() {
        interrupted = true;
        notifyAll();
        supervisor.interrupt();
    }

    public Scenario scenario() {
        return scenario;
    }

    public MemoryBooks books() {
        return books;
    }

    /** Null while it runs. */
    public Ending ending() {
        return ending;
    }

    /** Of the dispatchers that run here. */
    public List<DispatcherStats> stats() {
        return supervisor.stats();
    }

    /** Steps of the emulator that failed by its own fault; a run with any is worth nothing. */
    public long failures() {
        return site.failures() + callers.failures();
    }

    /** What tells the dispatchers of boxes; to be used within {@link #ask}. */
    public Directory directory() {
        return tables.directory();
    }

    /** What tells the dispatchers of boxes, where that is a stand-in for Consul. */
    public ConsulTables consul() {
        return (ConsulTables) tables;
    }

    /** Has something done where the boxes and what tells of them live, and waits for it. */
    public <T> T ask(Supplier<T> what) {
        return site.ask(what);
    }

    /** SIGSTOP to a dispatcher, as by the timetable. */
    public void pause(int dispatcher) {
        supervisor.pause(dispatcher);
    }

    public void resume(int dispatcher) {
        supervisor.resume(dispatcher);
    }

    /** SIGKILL to a dispatcher; it stays down until {@link #restart}. */
    public void kill(int dispatcher) {
        supervisor.kill(dispatcher);
    }

    /** Starts one that is down, or will be. */
    public void restart(int dispatcher) {
        supervisor.restart(dispatcher);
    }

    /** SIGTERM to a dispatcher, which starts anew once it has ended. */
    public void end(int dispatcher) {
        supervisor.end(dispatcher);
    }

    /** SIGTERM to a dispatcher, which stays down until {@link #restart}. */
    public void stop(int dispatcher) {
        supervisor.stop(dispatcher);
    }

    /** Its process; 0 while there is none. */
    public long pid(int dispatcher) {
        return supervisor.pid(dispatcher);
    }

    /** SIGHUP to a dispatcher; when it was sent, on the clock of the books. */
    public long reload(int dispatcher) {
        return supervisor.reload(dispatcher);
    }

    /** Where clients and call-backs reach a dispatcher. */
    public InetSocketAddress dispatcher(int number) {
        return addresses.get(number);
    }

    /** The clock of the books. */
    public long now() {
        return clock.now();
    }

    /** Where configurations and logs are. */
    public Path folder() {
        return folder;
    }

    private void endProcesses() {
        supervisor.close();
    }

    @Override
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        endProcesses();
        if (ports != null) {
            ports.close();
        }
        if (tables != null) {
            tables.close();
        }
        transports.forEach(each -> each.processor().dispose());
        site.close();
        callers.close();
        if (cores != null) {
            cores.close();
        }
        if (options.folder() == null && folder != null) {
            Folders.delete(folder);
        }
        try {
            Runtime.getRuntime().removeShutdownHook(hook);
        } catch (IllegalStateException e) {
            // The program is ending.
        }
    }
}
