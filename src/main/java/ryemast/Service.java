package ryemast;

import java.io.IOException;
import java.util.logging.Logger;
import pipitladder.Brain;
import ryemast.config.Config;
import ryemast.core.Clock;
import ryemast.core.Exchange;
import ryemast.core.Loop;
import ryemast.net.Transport;
import ryemast.net.region.RegionPool;
import ryemast.net.servicetable.TableWatch;
import ryemast.net.terminal.TerminalServer;
import sun.misc.Signal;

/** Puts the parts together, and ends the program in order. */
final class Service {

    private static final Logger LOG = Logger.getLogger(Service.class.getName());
    /** Descriptors for all that is no connection: jar, standard streams, selectors, discovery. */
    private static final int RESERVED_SOCKETS = 48;
    private static final int REGIONS_SHARE = 3;
    /** After SIGTERM, clients still open connections for a while. */
    private static final long LEAST_DRAIN = 700_000;
    private static final long DRAIN_CHECK = 20_000;

    private final Config config;
    private final Clock clock = new Clock();
    private final Loop loop;
    private final Exchange exchange;
    private final TerminalServer terminals;
    private final TableWatch table;
    private long drainingSince;

    Service(Config config) {
        this.config = config;
        var settings = config.settings();
        loop = new Loop(clock, config.tick());
        exchange = new Exchange(loop, new Brain(settings, config.seed()), config.maxOpen(),
                settings.limits().maxAttempts(), config.grace());
        var transport = new Transport();
        int sockets = config.sockets() - RESERVED_SOCKETS;
        int regions = sockets / REGIONS_SHARE;
        table = new TableWatch(loop, exchange, transport, config.discovery(), config.tableReader());
        var pool = new RegionPool(loop, exchange, transport, table::address,
                settings.limits().connectTimeout(), config.connIdle(), regions);
        terminals = new TerminalServer(loop, exchange, transport, clock, config.lanes(), config.orgs(),
                sockets - regions);
        exchange.connect(pool, table);
    }

    /** Serves until a signal ends it. */
    void start() throws IOException {
        Signal.handle(new Signal("TERM"), signal -> loop.post(this::drain));
        Signal.handle(new Signal("INT"), signal -> loop.post(this::drain));
        loop.post(() -> table.begin(config.known()));
        terminals.listen(config.listen());
        loop.post(terminals::ready);
        LOG.info(config.name() + " listens at " + config.listen());
        loop.run();
        terminals.stop();
        System.exit(0);
    }

    private void drain() {
        if (drainingSince == 0) {
            LOG.info("ending: " + exchange.open() + " transactions to answer");
            drainingSince = loop.now();
            terminals.drain();
            endWhenQuiet();
        }
    }

    private void endWhenQuiet() {
        if (loop.now() - drainingSince >= LEAST_DRAIN) {
            terminals.closeResting();
            if (exchange.open() == 0 && terminals.isQuiet()) {
                loop.end();
                return;
            }
        }
        loop.at(loop.now() + DRAIN_CHECK, this::endWhenQuiet);
    }
}
