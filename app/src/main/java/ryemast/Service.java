package ryemast;

import java.io.IOException;
import java.util.logging.Logger;
import pipitladder.Brain;
import ryemast.config.Config;
import ryemast.config.ConfigException;
import ryemast.config.Tuning;
import ryemast.core.Clock;
import ryemast.core.Exchange;
import ryemast.core.Loop;
import ryemast.core.Note;
import ryemast.net.Addresses;
import ryemast.net.Transport;
import ryemast.net.region.RegionPool;
import ryemast.net.servicetable.TableWatch;
import ryemast.net.terminal.JobReader;
import ryemast.net.terminal.TerminalServer;
import sun.misc.Signal;

/** Puts the parts together, and ends the program in order. */
final class Service {

    private static final Logger LOG = Logger.getLogger(Service.class.getName());
    /** Guards the build against a rehearsal that fails: the command of that name ends without one. */
    private static final long LONGEST_REHEARSAL = 2_000_000;

    /** The first line of the log reads the time zones, which takes 20 ms: the first clients go before it. */
    private static final long FIRST_LINE = 100_000;
    /** Made in every start, that of the build's archive among them, which would not hold it otherwise. */
    private static final Runnable NOTHING = () -> { };

    private final Config config;
    private final Loop loop;
    private final Exchange exchange;
    private final Transport transport;
    private final TerminalServer terminals;
    private final TableWatch table;
    /** Ends what looks on, if anything does. */
    private AutoCloseable recording = () -> { };
    private long drainingSince;

    Service(Config config) {
        this.config = config;
        var settings = config.settings();
        loop = new Loop(new Clock()::now, settings.resolution());
        var tuning = config.tuning();
        var room = config.room();
        exchange = new Exchange(loop, new Brain(settings, config.seed()), room.jobs(),
                settings.limits().maxAttempts(), config.grace(), tuning.limits().namesRemembered());
        transport = new Transport();
        table = new TableWatch(loop, exchange, transport, config.discovery(), config.tableReader(),
                tuning.table());
        var pool = new RegionPool(loop, exchange, transport, table::address,
                config.connectLimit(), config.connIdle(), room.regions(), tuning.regions());
        terminals = new TerminalServer(loop, exchange, transport,
                new JobReader(config.lanes(), config.orgs()), room.terminals(), tuning.terminals());
        exchange.connect(pool, table);
    }

    /** Serves until a signal ends it, or only until it could let clients in. */
    void start(boolean onlyUntilReady) throws IOException {
        // Not a shutdown hook: the log's own hook would run beside it, and the last lines would be lost.
        Signal.handle(new Signal("TERM"), signal -> loop.post(this::drain));
        Signal.handle(new Signal("INT"), signal -> loop.post(this::drain));
        Signal.handle(new Signal("HUP"), signal -> reload());
        if (config.tuning().recording() != null && !onlyUntilReady) {
            recording = Recording.begin(config, exchange, loop);
        }
        loop.post(() -> table.begin(config.known()));
        var address = terminals.listen(config.listen());
        // Clients may come at once: a restart leaves them without a dispatcher, and that a first job waits
        // for the classes on its way costs it less than the rehearsal would cost all who find nobody.
        loop.post(() -> {
            terminals.ready();
            loop.at(loop.now() + FIRST_LINE, () -> Note.info(LOG, "{name} listens at {address}",
                    "name", config.name(), "address", Addresses.text(address)));
        });
        Runnable rehearsed = onlyUntilReady ? this::drain : NOTHING;
        loop.post(() -> {
            loop.at(loop.now() + LONGEST_REHEARSAL, rehearsed);
            new Rehearsal(config, loop, transport, address, rehearsed);
        });
        loop.run();
        terminals.stop();
        endRecording();
        Logs.end();
        System.exit(0);
    }

    /**
     * Follows the file as it is now; a signal's own thread reads it, as the loop must not wait for a disk.
     * Guards the program against a file that can't be used: it goes on as it was. One at a time, so that the
     * file read last is also the one followed.
     */
    private synchronized void reload() {
        try {
            var next = Config.readAgain(System.getenv(), config.tuning());
            loop.post(() -> table.moveTo(next.discovery()));
        } catch (ConfigException | RuntimeException e) {
            LOG.warning("the new configuration is not used: " + e.getMessage());
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
            terminals.drain();
            endWhenQuiet();
        }
    }

    private void endWhenQuiet() {
        long since = loop.now() - drainingSince;
        var ending = config.tuning().ending();
        if (since >= ending.clientsCome()) {
            terminals.closeResting(ending.rest());
        }
        if (since >= ending.least() && exchange.open() == 0 && terminals.isQuiet()) {
            LOG.info("ended: all is answered");
            loop.end();
            return;
        }
        loop.at(loop.now() + Tuning.Ending.CHECK, this::endWhenQuiet);
    }
}
