package ryemast;

import java.io.IOException;
import java.util.Map;
import java.util.logging.Logger;
import pipitladder.Brain;
import pipitladder.Dispatcher.Effect;
import ryemast.batch.BatchFront;
import ryemast.config.Config;
import ryemast.config.ConfigException;
import ryemast.config.Tuning;
import ryemast.consul.ConsulTable;
import ryemast.core.AttemptCounts;
import ryemast.core.Clock;
import ryemast.core.Exchange;
import ryemast.core.Loop;
import ryemast.core.Members;
import ryemast.core.Note;
import ryemast.core.StartTimes;
import ryemast.membership.Membership;
import ryemast.net.Addresses;
import ryemast.net.Routes;
import ryemast.net.Transport;
import ryemast.net.client.ClientServer;
import ryemast.net.client.JobReader;
import ryemast.net.discovery.DiscoveryWatch;
import ryemast.net.worker.WorkerConnectionPool;
import ryemast.peers.Peers;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** Puts the parts together, and ends the program in order. */
final class Service {

    private static final Logger LOG = Logger.getLogger(Service.class.getName());
    /** Guards the build against a rehearsal that fails: the command of that name ends without one. */
    private static final long LONGEST_REHEARSAL = 2_000_000;

    /** The first line of the log reads the time zones, which takes 20 ms: the first clients go before it. */
    private static final long FIRST_LINE = 100_000;
    /** Batch jobs' and fires' names must not push clients' names out of those that are remembered. */
    private static final int NAMES_FOR_EACH = 64;
    /** Of the least that the end takes: from then on clients that go on coming don't put it off. */
    private static final int PATIENCE = 2;
    /** The platform kills no sooner than this after the longest deadline that began at SIGTERM. */
    private static final long KILLED_AFTER = 700_000;
    /** Where the longest deadline is longer, the platform takes this for it. */
    private static final long LONGEST_COUNTED_DEADLINE = 3_000_000;
    /** What a last answer may take on its way, and what the platform's clock may be ahead of ours. */
    private static final long TO_ANSWER = 300_000;
    /** Made in every start, that of the build's archive among them, which would not hold it otherwise. */
    private static final Runnable NOTHING = () -> { };

    private final Config config;
    private final Loop loop;
    private final Brain brain;
    private final Exchange exchange;
    private final Transport transport;
    private final ClientServer terminals;
    private final Members members;
    private final DiscoveryWatch table;
    /** Null where the workers come from the platform's discovery. */
    private final ConsulTable catalogue;
    /** Null where there is no batch submission. */
    private final BatchFront batch;
    /** Null where this dispatcher agrees with no other. */
    private final Coordinating coordinating;
    /** Null where nothing needs one. */
    private final FleetPlace place;
    /** Null where nothing is reserved. */
    private final Reserved reserved;
    /** Null where there is no timetable. */
    private final Timetabling timetabling;
    /** Null where dispatchers tell each other nothing. */
    private final Peers peers;
    /** Ends what looks on, if anything does. */
    private AutoCloseable recording = () -> { };
    private long drainingSince;
    /** The catalogue has been asked to take us off. */
    private boolean left;
    /** Nobody can come any more. */
    private boolean stopped;

    /** A {@link ConfigException} names a file of the operator's that can't be used. */
    Service(Config config) throws ConfigException {
        this.config = config;
        var settings = config.settings();
        var clock = new Clock();
        loop = new Loop(clock::now, settings.resolution());
        var tuning = config.tuning();
        var room = config.room();
        brain = new Brain(settings, config.seed());
        reserved = tuning.reservations() == null ? null : Reserved.round(brain, config, loop);
        exchange = new Exchange(loop, reserved == null ? brain : reserved.front(), room.jobs(),
                settings.limits().maxAttempts(), config.grace(), tuning.limits().namesRemembered()
                + (tuning.batch() == null ? 0 : NAMES_FOR_EACH * tuning.batch().mostOut())
                + (tuning.timetable() == null ? 0 : NAMES_FOR_EACH * Config.MOST_FIRES));
        exchange.observe(new AttemptCounts(loop));
        if (settings.limits().cancel()) {
            exchange.recallUncertain(number -> settings.classes().get(number).effect() != Effect.UNSAFE);
        }
        transport = new Transport();
        members = new Members(loop, exchange, new Membership(tuning.members()),
                new StartTimes(clock::now, () -> System.currentTimeMillis() * Clock.MICROS_PER_MS));
        table = new DiscoveryWatch(loop, members, transport, config.discovery(), config.listReader(),
                tuning.table());
        var pool = new WorkerConnectionPool(loop, exchange, transport, new Routes(members::address),
                config.connectLimit(), config.connIdle(), room.regions(), tuning.regions());
        batch = tuning.batch() == null ? null : Batching.of(config, loop, exchange, pool);
        var called = batch == null ? pool : batch;
        coordinating = tuning.coordination() == null ? null : Coordinating.of(config, loop, transport);
        if (tuning.timetable() != null && coordinating == null) {
            throw new ConfigException("timetable.file: is set, and coordination.kind is none; expected"
                    + " \"consul\", or \"embedded\" on a site with one dispatcher, as what has run must be"
                    + " recorded");
        }
        place = tuning.timetable() == null && reserved == null ? null
                : FleetPlace.of(config, loop, coordinating.records(),
                tuning.timetable() == null ? "reservations.file" : "timetable.file");
        if (reserved != null) {
            reserved.join(coordinating.records(), place);
        }
        timetabling = tuning.timetable() == null ? null
                : Timetabling.of(config, loop, exchange, called, coordinating.records(), place);
        peers = tuning.peers() == null ? null : Peering.of(config, loop, exchange, brain);
        var workers = timetabling == null ? called : timetabling.front();
        terminals = new ClientServer(loop, exchange, transport,
                new JobReader(config.lanes(), config.orgs()), room.terminals(), tuning.terminals());
        catalogue = tuning.consul() == null ? null : Catalogue.of(config, loop, transport, members);
        if (catalogue == null) {
            exchange.connect(workers, table);
        } else {
            exchange.connect(workers, catalogue);
            exchange.tellVitals(members);
        }
        if (tuning.drained() != null) {
            members.drain(drained());
        }
    }

    private Map<String, String> drained() throws ConfigException {
        try {
            return Drained.read(config.tuning().drained());
        } catch (IOException e) {
            throw new ConfigException("membership.drained_file: " + e.getMessage());
        }
    }

    /** Serves until a signal ends it, or only until it could let clients in. */
    void start(boolean onlyUntilReady) throws IOException {
        // Not a shutdown hook: the log's own hook would run beside it, and the last lines would be lost.
        on("TERM", () -> loop.post(this::drain));
        on("INT", () -> loop.post(this::drain));
        boolean deafToReload = on("HUP", this::reload);
        if (config.tuning().recording() != null && !onlyUntilReady) {
            recording = Recording.begin(config, exchange, loop);
        }
        loop.post(catalogue != null ? catalogue::begin
                : () -> table.begin(config.known(), config.settings().listPushed()));
        var address = terminals.listen(config.listen());
        // Clients may come at once: a restart leaves them without a dispatcher, and that a first job waits
        // for the classes on its way costs it less than the rehearsal would cost all who find nobody.
        loop.post(() -> {
            terminals.ready();
            loop.at(loop.now() + FIRST_LINE, () -> {
                Note.info(LOG, "{name} listens at {address}",
                        "name", config.name(), "address", Addresses.text(address));
                if (deafToReload) {
                    LOG.warning("SIGHUP was ignored when the program began, as under nohup, and has no"
                            + " effect: a new configuration is followed after a restart only; start the"
                            + " program without nohup");
                }
            });
        });
        if (batch != null && !onlyUntilReady) {
            batch.begin();
        }
        if (timetabling != null && !onlyUntilReady) {
            loop.post(timetabling::begin);
        }
        if (reserved != null && !onlyUntilReady) {
            loop.post(reserved::begin);
        }
        if (place != null && !onlyUntilReady) {
            loop.post(place::begin);
        }
        if (peers != null && !onlyUntilReady) {
            loop.post(peers::begin);
        }
        Runnable rehearsed = onlyUntilReady ? this::drain : NOTHING;
        loop.post(() -> {
            loop.at(loop.now() + LONGEST_REHEARSAL, rehearsed);
            new Rehearsal(config, loop, transport, address, rehearsed);
        });
        loop.run();
        if (batch != null) {
            batch.close();
        }
        if (timetabling != null) {
            timetabling.close();
        }
        if (reserved != null) {
            reserved.close();
        }
        if (place != null) {
            place.close();
        }
        if (peers != null) {
            peers.close();
        }
        if (coordinating != null) {
            coordinating.close();
        }
        endRecording();
        Logs.end();
        System.exit(0);
    }

    /** Whether the signal was ignored when the program began: Java leaves it so. */
    private static boolean on(String name, Runnable step) {
        return Signal.handle(new Signal(name), signal -> step.run()) == SignalHandler.SIG_IGN;
    }

    /**
     * Follows the file as it is now; a signal's own thread reads it, as the loop must not wait for a disk.
     * Guards the program against a file that can't be used: it goes on as it was. One at a time, so that the
     * file read last is also the one followed.
     */
    private synchronized void reload() {
        if (config.tuning().drained() != null) {
            reload("the file of drained workers", () -> {
                var drained = drained();
                loop.post(() -> members.drain(drained));
            });
        }
        if (batch != null) {
            reload("the batch keys", () -> {
                try {
                    batch.reload();
                } catch (IOException e) {
                    throw new ConfigException("batch.keys_folder: " + e.getMessage());
                }
            });
        }
        if (coordinating != null) {
            reload("the token for coordination", () -> {
                var token = Coordinating.token(config);
                loop.post(() -> coordinating.token(token));
            });
        }
        if (timetabling != null) {
            reload("the new timetable", timetabling::reload);
        }
        if (reserved != null) {
            reload("the new reservations", reserved::reload);
        }
        if (catalogue != null) {
            reload("the token", () -> {
                var token = Catalogue.token(config);
                loop.post(() -> catalogue.token(token));
            });
        } else {
            reload("the new configuration", () -> {
                var next = Config.readAgain(System.getenv(), config.tuning());
                loop.post(() -> table.moveTo(next.discovery()));
            });
        }
    }

    private interface Reload {
        void run() throws ConfigException;
    }

    private static void reload(String what, Reload reload) {
        try {
            reload.run();
        } catch (ConfigException | RuntimeException e) {
            LOG.warning(what + " is not used: " + e.getMessage());
        }
    }

    private void endRecording() {
        try {
            recording.close();
        } catch (Exception e) {
            LOG.warning("the recording could not be ended: " + e);
        }
    }

    private void drain() {
        if (drainingSince == 0) {
            Note.info(LOG, "ending: {open} transactions to answer", "open", exchange.open());
            drainingSince = loop.now();
            exchange.endBy(drainingSince + answersFor());
            terminals.drain();
            if (batch != null) {
                batch.drain();
            }
            if (timetabling != null) {
                timetabling.drain();
            }
            if (catalogue != null) {
                catalogue.drain();
            }
            endWhenQuiet();
        }
    }

    /** For how long after SIGTERM there is surely time to answer what comes, in microseconds. */
    private long answersFor() {
        long longest = 0;
        for (var each : config.settings().classes()) {
            longest = Math.max(longest, each.deadline());
        }
        return Math.min(LONGEST_COUNTED_DEADLINE, longest) + KILLED_AFTER - TO_ANSWER;
    }

    private void endWhenQuiet() {
        long since = loop.now() - drainingSince;
        var ending = config.tuning().ending();
        if (since >= ending.clientsCome()) {
            terminals.closeResting(ending.rest());
        }
        if (since >= Math.min(PATIENCE * ending.least(), answersFor())) {
            terminals.refuse();
        }
        if (since >= ending.least() && exchange.open() == 0 && (batch == null || batch.isQuiet())
                && (terminals.isQuiet() || !stopped && since >= PATIENCE * ending.least())
                && (timetabling == null || timetabling.isOver()) && (place == null || place.leave())) {
            if (catalogue != null && !left) {
                // Jobs may come meanwhile: it is quiet only if it still is once the catalogue has been told.
                left = true;
                catalogue.leave(this::endWhenQuiet);
                return;
            }
            if (stopped) {
                // Told every 10 s otherwise: those of the last seconds would be missing.
                var unserved = brain.health().refusals().summarizeNew();
                if (!unserved.isEmpty()) {
                    LOG.info(unserved);
                }
                LOG.info("ended: all is answered");
                loop.end();
                return;
            }
            // Who has come until here is answered too, and only then it is over.
            stopped = true;
            terminals.stop();
        }
        loop.at(loop.now() + Tuning.Ending.CHECK, this::endWhenQuiet);
    }
}
