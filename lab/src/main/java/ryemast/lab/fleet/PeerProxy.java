package ryemast.lab.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import ryemast.net.Addresses;

/**
 * Carries datagrams between the processes of a fleet, in one thread, and harms them when a trial says so: a
 * process's own are lost, those to it are lost, all are late, some are lost, come twice, or old ones come
 * again. For each pair and direction there is one address, so that a process knows its peers by it. It knows
 * nothing of what it carries.
 */
final class PeerProxy implements AutoCloseable {

    /** What can be done to a process's datagrams; several at once. */
    static final class Harm {
        volatile boolean saysNothing;
        volatile boolean hearsNothing;
        /** In milliseconds. */
        volatile double late;
        /** From 0 to 1. */
        volatile double lost;
        volatile boolean twice;
        /** So many milliseconds old ones come again beside each that it sends; 0: none. */
        volatile double again;
    }

    private record Old(long atNanos, byte[] bytes) {
    }

    private record Due(long atNanos, int from, int to, byte[] bytes) {
    }

    private record Pair(int from, int to) {
    }

    private static final Logger LOG = Logger.getLogger(PeerProxy.class.getName());
    private static final int LARGEST = 65_536;
    private static final double NANOS_PER_MS = 1e6;
    private static final int KEPT = 2_000;
    private static final long LOOK_MS = 5;
    private static final long PATIENCE_MS = 5_000;

    private final int count;
    private final InetSocketAddress[] processes;
    private final DatagramChannel[][] doors;
    private final Harm[] harms;
    private final Deque<Old>[] sent;
    private final PriorityQueue<Due> dues =
            new PriorityQueue<>((one, other) -> Long.compare(one.atNanos, other.atNanos));
    private final Selector selector = Selector.open();
    private final Random random;
    private final Thread thread = new Thread(this::run, "peer proxy");
    private volatile boolean closed;

    @SuppressWarnings({"unchecked", "rawtypes"})
    PeerProxy(int count, long seed) throws IOException {
        this.count = count;
        random = new Random(seed);
        processes = new InetSocketAddress[count];
        doors = new DatagramChannel[count][count];
        harms = new Harm[count];
        sent = new Deque[count];
        var loopback = InetAddress.getLoopbackAddress();
        for (int i = 0; i < count; i++) {
            harms[i] = new Harm();
            sent[i] = new ArrayDeque<>();
            try (var free = DatagramChannel.open()) {
                free.bind(new InetSocketAddress(loopback, 0));
                processes[i] = (InetSocketAddress) free.getLocalAddress();
            }
            for (int k = 0; k < count; k++) {
                if (k != i) {
                    doors[i][k] = DatagramChannel.open();
                    doors[i][k].bind(new InetSocketAddress(loopback, 0));
                    doors[i][k].configureBlocking(false);
                    doors[i][k].register(selector, SelectionKey.OP_READ, new Pair(i, k));
                }
            }
        }
        thread.setDaemon(true);
        thread.start();
    }

    /** Where a process is to listen. */
    String listen(int process) {
        return Addresses.text(processes[process]);
    }

    /** Where it finds the others. */
    String others(int process) {
        return IntStream.range(0, count).filter(other -> other != process).mapToObj(other -> {
            try {
                return Addresses.text((InetSocketAddress) doors[process][other].getLocalAddress());
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }).collect(Collectors.joining(", "));
    }

    Harm harm(int process) {
        return harms[process];
    }

    private void run() {
        var buffer = ByteBuffer.allocate(LARGEST);
        while (!closed) {
            try {
                selector.select(key -> come(key, buffer), LOOK_MS);
                long now = System.nanoTime();
                while (!dues.isEmpty() && dues.peek().atNanos <= now) {
                    var due = dues.poll();
                    // From the door that the receiver knows the sender by; who is not there hears nothing.
                    doors[due.to][due.from].send(ByteBuffer.wrap(due.bytes), processes[due.to]);
                }
            } catch (IOException e) {
                LOG.log(Level.FINE, "a datagram was lost", e);
            }
        }
    }

    private void come(SelectionKey key, ByteBuffer buffer) {
        var pair = (Pair) key.attachment();
        try {
            buffer.clear();
            for (var from = doors[pair.from][pair.to].receive(buffer); from != null;
                    from = doors[pair.from][pair.to].receive(buffer.clear())) {
                var bytes = new byte[buffer.flip().remaining()];
                buffer.get(bytes);
                pass(pair.from, pair.to, bytes);
            }
        } catch (IOException e) {
            LOG.log(Level.FINE, "nothing could be read", e);
        }
    }

    private void pass(int from, int to, byte[] bytes) {
        var ours = harms[from];
        var theirs = harms[to];
        long now = System.nanoTime();
        long at = now + (long) (Math.max(ours.late, theirs.late) * NANOS_PER_MS);
        var before = sent[from];
        before.add(new Old(now, bytes));
        if (before.size() > KEPT) {
            before.poll();
        }
        if (ours.saysNothing || theirs.hearsNothing
                || random.nextDouble() < Math.max(ours.lost, theirs.lost)) {
            return;
        }
        dues.add(new Due(at, from, to, bytes));
        if (ours.twice || theirs.twice) {
            dues.add(new Due(at, from, to, bytes));
        }
        if (ours.again > 0) {
            before.stream().filter(old -> now - old.atNanos >= ours.again * NANOS_PER_MS)
                    .reduce((one, other) -> other)
                    .ifPresent(old -> dues.add(new Due(at, from, to, old.bytes)));
        }
    }

    @Override
    public void close() {
        closed = true;
        selector.wakeup();
        try {
            thread.join(PATIENCE_MS);
            for (var row : doors) {
                for (var door : row) {
                    if (door != null) {
                        door.close();
                    }
                }
            }
            selector.close();
        } catch (IOException e) {
            LOG.log(Level.FINE, "not closed", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
