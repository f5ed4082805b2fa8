package ryemast.lab.model;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.BooleanSupplier;
import ryemast.config.Config;
import ryemast.config.ConfigException;
import ryemast.config.Tuning;
import ryemast.lab.books.Books;
import ryemast.lab.books.Tries;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.site.Box;
import ryemast.lab.site.Catalogue;
import ryemast.lab.site.Clients;
import ryemast.lab.site.DispatcherControl;
import ryemast.lab.site.FaultInjector;
import ryemast.lab.site.Front;
import ryemast.lab.site.Patience;
import ryemast.lab.site.Spells;
import ryemast.lab.sockets.DispatcherSettings;
import ryemast.lab.world.Chance;
import ryemast.lab.world.VirtualTime;

/**
 * A whole site in virtual time, for one run of one scenario with one policy. It is put together as the
 * emulated site is, of the same behaviours and the same streams of chance, and the run goes the same way: all
 * dispatchers come up, then faults and clients begin, and it ends when every job is over.
 *
 * <p>Same scenario, seed and policy: the same run, to the last entry in the books. Owned by one thread; many
 * may run beside one another, as they share nothing.
 */
public final class ModelSite {

    /** How a run ended. */
    public enum Ending {
        /** All was sent, and every job is over. */
        DONE,
        /** Jobs were still open when the last deadline had passed: there was more than could be done. */
        OVERLOADED,
        INTERRUPTED
    }

    /** Any time would do; this one shows in logs as what it is, a day of 2023. */
    private static final long BEGINS = 1_700_000_000_000_000L;
    private static final String NOTHING_KNOWN = "{\"version\":0,\"full\":true,\"servers\":[]}";
    /** So many events between two looks at whether somebody wants the run to end. */
    private static final int LOOK = 4_096;

    private final Scenario scenario;
    private final VirtualTime time = new VirtualTime(BEGINS);
    private final List<Box> boxes = new ArrayList<>();
    private final List<Host> hosts = new ArrayList<>();
    private final Clients clients;
    private final FaultInjector faults;
    private long events;

    /** {@code tries}: where clients note what they send, and boxes look up what it costs. */
    public ModelSite(Scenario scenario, Policy policy, Tuning tuning, Tries tries, Books books) {
        this.scenario = scenario;
        var chance = new Chance(scenario.seed());
        var net = new ModelNet(scenario.model(), time, chance);
        int count = scenario.dispatchers().count();
        var front = new Front(count, scenario.dispatchers().notice(), time);
        for (int i = 0; i < count; i++) {
            hosts.add(new Host(i, time, books, front, scenario));
        }
        var mouth = new ModelMouth(time, hosts, net);
        Map<String, Box> byId = new LinkedHashMap<>();
        for (var spec : scenario.boxes()) {
            var box = new Box(spec, scenario.telling(), scenario.rules(), scenario.meanJob(), time, chance,
                    tries, books, mouth.of(spec.index()));
            boxes.add(box);
            byId.put(spec.id(), box);
        }
        var catalogue = new Catalogue(scenario, boxes, ModelSite::address, time, books);
        var site = new Site(scenario, time, net, byId, catalogue,
                new Lists(scenario.zones(), scenario.kinds()), new Truth(byId), hosts);
        for (var host : hosts) {
            var draw = chance.stream("dispatcher", host.number());
            host.equip(over -> instance(host, site, draw.nextLong(), policy, tuning, over),
                    number -> mouth.died(hosts.get(number)));
        }
        var spells = new Spells(scenario.faults());
        faults = new FaultInjector(scenario, boxes, catalogue, spells, control(), time);
        clients = new Clients(scenario, time, chance, new ModelClients(time, front, hosts, net), tries, books,
                spells);
    }

    /** All dispatchers are told the same one, so that a list for many is made once. */
    private static String address(int dispatcher, int box) {
        return String.format(Locale.ROOT, "10.%d.%d.%d:3000", box >> 16 & 0xff, box >> 8 & 0xff, box & 0xff);
    }

    private static Instance instance(Host host, Site site, long seed, Policy policy, Tuning tuning,
            Runnable over) {
        try {
            var file = new DispatcherSettings(site.scenario()).configuration(host.number(), "127.0.0.1:1",
                    "127.0.0.1:2", seed, NOTHING_KNOWN);
            var instance = new Instance(host.number(), site, Config.of(file, tuning), policy, over);
            instance.begin(site.lists().read(site.catalogue().known(host.number())));
            return instance;
        } catch (ConfigException | IOException e) {
            throw new IllegalStateException("a dispatcher's own settings can't be read: " + e.getMessage(),
                    e);
        }
    }

    private DispatcherControl control() {
        return new DispatcherControl() {
            @Override
            public void kill(int dispatcher) {
                hosts.get(dispatcher).kill();
            }

            @Override
            public void restart(int dispatcher) {
                hosts.get(dispatcher).start();
            }

            @Override
            public void end(int dispatcher) {
                hosts.get(dispatcher).end();
            }

            @Override
            public void pause(int dispatcher) {
                hosts.get(dispatcher).pause();
            }

            @Override
            public void resume(int dispatcher) {
                hosts.get(dispatcher).resume();
            }
        };
    }

    /** Lets the scenario happen; {@code stopped} is asked now and then. */
    public Ending run(BooleanSupplier stopped) {
        boxes.forEach(Box::begin);
        hosts.forEach(Host::start);
        time.runUntil(() -> count() && hosts.stream().allMatch(Host::isReady), Long.MAX_VALUE);
        long beganAt = time.now();
        faults.begin();
        clients.begin();
        long last = beganAt + scenario.length() + Patience.longestDeadline(scenario, 0)
                + Patience.AFTER_THE_LAST;
        boolean quiet = time.runUntil(() -> count() && clients.quiet() || events % LOOK == 0
                && stopped.getAsBoolean(), last) && clients.quiet();
        clients.stop();
        if (quiet) {
            return Ending.DONE;
        }
        return time.now() < last && time.waiting() > 0 && stopped.getAsBoolean() ? Ending.INTERRUPTED
                : Ending.OVERLOADED;
    }

    private boolean count() {
        events++;
        return true;
    }

    /** Steps that the run has taken so far. */
    public long events() {
        return events;
    }

    /** How much of the run's length is over; any thread may ask, and is told about right. */
    public double share() {
        return Math.min(1, Math.max(0, (double) (time.now() - BEGINS) / Math.max(1, scenario.length())));
    }
}
