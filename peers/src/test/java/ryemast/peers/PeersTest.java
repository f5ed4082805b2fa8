package ryemast.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import pipitladder.Dispatcher;
import pipitladder.Dispatcher.PeersTold;
import ryemast.core.Clock;
import ryemast.core.Exchange;
import ryemast.core.Loop;
import ryemast.fleet.signals.LocalEstimate;
import ryemast.fleet.signals.WorkerReport;

class PeersTest {

    private static final long PERIOD = 20_000;
    private static final long PATIENCE_NS = 20_000_000_000L;

    private final List<AutoCloseable> open = new ArrayList<>();

    /** A dispatcher with a loop of its own that is turned by the test, and a module that notes. */
    private final class Member {
        final Loop loop = new Loop(new Clock()::now, 1000);
        final List<PeersTold> told = new ArrayList<>();
        final Exchange exchange = new Exchange(loop, (Dispatcher) (now, event, out) -> {
            if (event instanceof PeersTold each) {
                told.add(each);
            }
        }, 10, 1, 0);
        final Peers peers;

        Member(String name, int port, Integer... others) throws Exception {
            var tale = new WorkerReport(WorkerReport.nameHash("w"), 3, 2, 1, 9, 0.01, 4, 0);
            peers = new Peers(loop, exchange, now -> List.of(new LocalEstimate("w", 0, 4, 1, tale)),
                    new Peers.Terms(name, name.hashCode(), at(port), java.util.Arrays.stream(others)
                    .map(PeersTest::at).toList(), PERIOD));
            open.add(peers);
            loop.post(peers::begin);
        }

        double jobs() {
            var last = told.isEmpty() ? null : told.get(told.size() - 1).byWorker().get("w");
            return last == null ? 0 : last.jobs();
        }
    }

    private static InetSocketAddress at(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private DatagramSocket socket() throws Exception {
        var socket = new DatagramSocket(at(0));
        open.add(socket);
        return socket;
    }

    private static int freePort() throws Exception {
        try (var socket = new DatagramSocket(at(0))) {
            return socket.getLocalPort();
        }
    }

    private static void until(BooleanSupplier holds, Member... members) throws Exception {
        long end = System.nanoTime() + PATIENCE_NS;
        while (!holds.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "waited for in vain");
            for (var member : members) {
                member.loop.turn();
            }
            Thread.sleep(1);
        }
    }

    @AfterEach
    void close() throws Exception {
        for (var each : open) {
            each.close();
        }
    }

    @Test
    void membersHearEachOtherThoughOneIsDeadAndOneTalksNonsense() throws Exception {
        int one = freePort();
        int other = freePort();
        int dead = freePort();
        var noise = socket();
        var a = new Member("a", one, other, dead, noise.getLocalPort());
        var b = new Member("b", other, one, dead, noise.getLocalPort());
        for (int i = 0; i < 200; i++) {
            noise.send(new DatagramPacket(new byte[1 + 13 * i], 1 + 13 * i, at(one)));
        }
        until(() -> a.jobs() > 2.5 && b.jobs() > 2.5, a, b);
        b.peers.close();
        until(() -> a.jobs() == 0 && a.told.get(a.told.size() - 1).byWorker().isEmpty(), a);
        int before = a.told.size();
        long quietUntil = System.nanoTime() + 20 * PERIOD * 1000;
        until(() -> System.nanoTime() > quietUntil, a);
        assertEquals(before, a.told.size(), "with all silent the module hears nothing");
    }

    /** Whoever sends how much, no more than a few wait for the loop; a stranger's none. */
    @Test
    void aFloodNeverWaitsForTheLoop() throws Exception {
        var loop = new Loop(new Clock()::now, 1000);
        var flooder = socket();
        var stranger = socket();
        var quiet = socket();
        var heard = new ArrayList<Integer>();
        var datagrams = new Datagrams(loop, at(0), List.of(at(flooder.getLocalPort()),
                at(quiet.getLocalPort())), 1200, (peer, bytes) -> heard.add(peer));
        open.add(datagrams);
        for (int i = 0; i < 3000; i++) {
            flooder.send(new DatagramPacket(new byte[1000], 1000, datagrams.address()));
            stranger.send(new DatagramPacket(new byte[1000], 1000, datagrams.address()));
        }
        long end = System.nanoTime() + PATIENCE_NS;
        while (!heard.contains(1)) {
            quiet.send(new DatagramPacket(new byte[10], 10, datagrams.address()));
            Thread.sleep(20);
            int before = heard.size();
            loop.turn();
            assertTrue(heard.size() - before <= 2 * Datagrams.MOST_WAITING);
            assertTrue(System.nanoTime() < end, "the quiet one is not heard");
        }
        assertTrue(heard.contains(0));
    }

    @Test
    void anAddressThatCannotBeUsedIsToldWithItsKey() throws Exception {
        int taken = socket().getLocalPort();
        var thrown = assertThrows(PeersException.class, () -> new Member("a", taken, 9));
        assertTrue(thrown.getMessage().startsWith("peers.listen: "), thrown.getMessage());
    }
}
