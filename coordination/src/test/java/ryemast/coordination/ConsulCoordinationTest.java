package ryemast.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import ryemast.consul.ConsulCalls;
import ryemast.consul.ConsulSettings;
import ryemast.coordination.Coordination.Entry;
import ryemast.coordination.Coordination.Fate;
import ryemast.coordination.Coordination.Watcher;
import ryemast.net.Transport;
import ryemast.pacing.PollingPolicy;

class ConsulCoordinationTest extends Contract {

    /** Quick, as the test waits for each thing that a watch tells. */
    private static final PollingPolicy PACE = new PollingPolicy(10_000_000, 1_000_000, 1_000, 1_000, 2_000,
            20_000, 20_000, 30_000_000);

    private final Transport transport = new Transport();
    private KvStandIn consul;

    @AfterEach
    void endConsul() {
        consul.close();
        transport.processor().dispose();
    }

    @Override
    void fresh() throws IOException {
        if (consul != null) {
            consul.close();
        }
        consul = new KvStandIn();
    }

    @Override
    Coordination open() throws IOException {
        return open(List.of(consul.address()), 10_000_000);
    }

    private Coordination open(List<InetSocketAddress> agents, long limit) throws IOException {
        var reach = new ConsulSettings.Reach(agents, null, 1_000_000, 1 << 20);
        return new ConsulCoordination(site.loop, new ConsulCalls(site.loop, transport, reach, PACE),
                new ConsulCoordination.Settings("ryemast/site", limit, 4, 100, 7));
    }

    /** A port of this machine's where nobody listens. */
    private static InetSocketAddress nobody() throws IOException {
        try (var socket = new ServerSocket(0)) {
            return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
        }
    }

    @Test
    void lostAnswersAreToldAsUnknownAndNeverAsWhatTheyAreNot() throws Exception {
        int unknown = 0;
        for (long seed = 1; seed <= 12; seed++) {
            long losses = seed;
            unknown += play(seed, 20, each -> {
                consul.lose(new Random(losses));
                return each;
            }).getOrDefault(Fate.UNKNOWN, 0);
        }
        assertTrue(unknown > 40, "unknown: " + unknown);
    }

    @Test
    void whatCanNotHaveReachedAnAgentIsNotDoneOrGoesToTheNextOne() throws Exception {
        fresh();
        var step = new Step().put("k", "v", Coordination.ABSENT);
        var nobody = nobody();
        try (var records = open(List.of(nobody), 2_000_000)) {
            var result = site.commit(records, step);
            assertEquals(Fate.NOT_DONE, result.fate(), result::toString);
            assertFalse(site.read(records, "k").good());
        }
        try (var records = open(List.of(nobody, consul.address()), 2_000_000)) {
            assertEquals(Fate.DONE, site.commit(records, step).fate());
            assertEquals("v", new String(site.read(records, "k").only().value()));
            consul.noLeader(true);
            assertEquals(Fate.NOT_DONE, site.commit(records, step).fate());
        }
    }

    /** One that takes calls and never answers, as one that was stopped. */
    @Test
    void anAgentThatHangsLeavesDoubtInTimeAndReadsGoElsewhere() throws Exception {
        fresh();
        try (var deaf = new ServerSocket(0)) {
            var address = new InetSocketAddress("127.0.0.1", deaf.getLocalPort());
            try (var records = open(List.of(address, consul.address()), 2_000_000)) {
                var result = site.commit(records, new Step().put("k", "v", Coordination.ABSENT));
                assertEquals(Fate.UNKNOWN, result.fate(), result::toString);
                assertTrue(site.read(records, "k").good());
                assertEquals(Fate.DONE, site.commit(records, new Step().put("k", "v", 0)).fate());
            }
            try (var records = open(List.of(address, consul.address()), 2_000_000)) {
                assertTrue(site.read(records, "k").good());
            }
        }
    }

    /** As behind a firewall that has lost its table: one call finds out, and not each of the connections. */
    @Test
    void oneSilentConnectionGivesAwayThoseThatRestBesideIt() throws Exception {
        fresh();
        try (var records = open(List.of(consul.address()), 500_000)) {
            var read = new AtomicInteger();
            site.on(then -> {
                for (int i = 0; i < 4; i++) {
                    records.read("k" + i, true, reading -> {
                        if (read.incrementAndGet() == 4) {
                            then.accept(true);
                        }
                    });
                }
            });
            consul.forgetAll();
            assertFalse(site.read(records, "k").good());
            assertTrue(site.read(records, "k").good());
        }
    }

    @Test
    void aWatchSaysWhenItIsBlindAndWhenItSeesAgain() throws Exception {
        fresh();
        var sights = new AtomicInteger();
        var blinds = new AtomicInteger();
        try (var records = open()) {
            assertEquals(Fate.DONE, site.commit(records, new Step().put("a/k", "v", 0)).fate());
            Runnable end = site.<Runnable>on(then -> then.accept(records.watch("a/", new Watcher() {
                @Override
                public void changed(List<Entry> all) {
                    sights.incrementAndGet();
                }

                @Override
                public void blind(String why) {
                    blinds.incrementAndGet();
                }
            })));
            Site.await("the first sight", 10, () -> sights.get() == 1);
            consul.noLeader(true);
            Site.await("blindness", 10, () -> blinds.get() == 1);
            consul.noLeader(false);
            // Nothing has changed, and it must be told nevertheless.
            Site.await("sight again", 10, () -> sights.get() == 2);
            site.on(then -> {
                end.run();
                then.accept(true);
            });
            assertEquals(Fate.DONE, site.commit(records, new Step().put("a/l", "v", 0)).fate());
            assertEquals(List.of(2, 1), List.of(sights.get(), blinds.get()));
        }
    }
}
