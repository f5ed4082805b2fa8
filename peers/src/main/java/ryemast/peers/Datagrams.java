package ryemast.peers;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicIntegerArray;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.core.session.IoSessionRecycler;
import org.apache.mina.transport.socket.nio.NioDatagramAcceptor;
import ryemast.core.Loop;

/**
 * Datagrams to and from a fixed list of peers, over one socket and one thread of MINA's. Guarantees that
 * nobody but those on the list is heard, that at most {@link #MOST_WAITING} datagrams of a peer wait for the
 * loop at any time (what comes beyond is lost, as datagrams may be), and that sending never waits: to a peer
 * whose datagrams pile up nothing is sent until they are gone. Who flooded, who is slow and who is dead are
 * all alike to the loop.
 */
final class Datagrams extends IoHandlerAdapter implements AutoCloseable {

    /** A peer's datagrams of two periods. */
    static final int MOST_WAITING = 8;

    /** Called on the loop. */
    interface Receiver {
        void heard(int peer, byte[] datagram);
    }

    private final Loop loop;
    private final Receiver receiver;
    private final List<InetSocketAddress> peers;
    private final Map<SocketAddress, Integer> numbers = new HashMap<>();
    private final AtomicIntegerArray waiting;
    private final int longest;
    private final NioDatagramAcceptor acceptor = new NioDatagramAcceptor();
    private final SocketAddress local;
    private final IoSession[] sessions;

    /** Listens from now on; {@code longest}: what is longer is not heard. */
    Datagrams(Loop loop, InetSocketAddress listen, List<InetSocketAddress> peers, int longest,
            Receiver receiver) throws PeersException {
        this.loop = loop;
        this.receiver = receiver;
        this.peers = List.copyOf(peers);
        this.longest = longest;
        for (int i = 0; i < peers.size(); i++) {
            numbers.put(peers.get(i), i);
        }
        waiting = new AtomicIntegerArray(peers.size());
        sessions = new IoSession[peers.size()];
        acceptor.setHandler(this);
        acceptor.setSessionRecycler(new ForPeers());
        acceptor.getSessionConfig().setReadBufferSize(longest + 1);
        acceptor.getSessionConfig().setMaxReadBufferSize(Math.max(2048, longest + 1));
        try {
            acceptor.bind(listen);
        } catch (IOException e) {
            acceptor.dispose();
            throw new PeersException(listen, e);
        }
        local = acceptor.getLocalAddress();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) local;
    }

    void send(int peer, byte[] datagram) {
        if (sessions[peer] == null) {
            sessions[peer] = acceptor.newSession(peers.get(peer), local);
        }
        if (sessions[peer].getScheduledWriteMessages() < MOST_WAITING) {
            sessions[peer].write(IoBuffer.wrap(datagram));
        }
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
        var number = numbers.get(session.getRemoteAddress());
        var buffer = (IoBuffer) message;
        if (number == null || buffer.remaining() > longest) {
            return;
        }
        if (waiting.incrementAndGet(number) > MOST_WAITING) {
            waiting.decrementAndGet(number);
            return;
        }
        var bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        loop.post(() -> {
            waiting.decrementAndGet(number);
            receiver.heard(number, bytes);
        });
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
        // A peer that is not there: its machine says so, or not. Datagrams may be lost, and it is as silent.
    }

    @Override
    public void close() {
        acceptor.dispose();
    }

    /** Keeps what MINA has of each peer, for good, and nothing of strangers. */
    private final class ForPeers implements IoSessionRecycler {
        private final Map<SocketAddress, IoSession> kept = new ConcurrentHashMap<>();

        @Override
        public void put(IoSession session) {
            if (numbers.containsKey(session.getRemoteAddress())) {
                kept.put(session.getRemoteAddress(), session);
            }
        }

        @Override
        public IoSession recycle(SocketAddress remote, int localPort) {
            return kept.get(remote);
        }

        @Override
        public void remove(IoSession session) {
            kept.remove(session.getRemoteAddress(), session);
        }
    }
}
