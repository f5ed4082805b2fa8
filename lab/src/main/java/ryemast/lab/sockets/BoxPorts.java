package ryemast.lab.sockets;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.function.UnaryOperator;
import java.util.Map;
import org.apache.mina.core.filterchain.IoFilterAdapter;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import ryemast.lab.site.Machine;
import ryemast.net.Addresses;
import ryemast.net.LinkHandler;
import ryemast.net.Transport;
import ryemast.net.http.HttpCodec;

/**
 * Lets thousands of boxes be reached: an address for each pair of dispatcher and box, all on one acceptor and
 * one selector for the connections.
 *
 * <p>Each dispatcher has a host of its own in 127.0.0.0/8, which no outgoing connection uses as its source:
 * so the kernel hands a port to nobody else while its box is down.
 */
final class BoxPorts implements AutoCloseable {

    private static final int BACKLOG = 256;
    private static final AttributeKey FIRST = new AttributeKey(BoxPorts.class, "first byte at");

    private final Shard shard;
    private final UnaryOperator<String> targets;
    private final List<? extends Machine> boxes;
    private final List<String> hosts;
    private final NioSocketAcceptor acceptor;
    /** By dispatcher, then by box. */
    private final List<List<BoxPort>> ports = new ArrayList<>();
    private volatile Map<InetSocketAddress, BoxPort> byAddress = Map.of();

    /** {@code hosts}: one for each dispatcher. */
    BoxPorts(Shard shard, Transport transport, List<? extends Machine> boxes, List<String> hosts) {
        this(shard, transport, boxes, hosts, ClientPool::target);
    }

    /** {@code targets}: the path that a request of a name bears, as whoever sent it has it. */
    BoxPorts(Shard shard, Transport transport, List<? extends Machine> boxes, List<String> hosts,
            UnaryOperator<String> targets) {
        this.targets = targets;
        this.shard = shard;
        this.boxes = boxes;
        this.hosts = hosts;
        acceptor = new NioSocketAcceptor(transport.processor());
        acceptor.setReuseAddress(true);
        acceptor.setBacklog(BACKLOG);
        acceptor.setCloseOnDeactivation(false);
        Transport.setUp(acceptor.getSessionConfig(), acceptor.getFilterChain(), HttpCodec.requests());
        acceptor.getFilterChain().addFirst("first byte", new FirstByte());
        acceptor.setHandler(new Handler());
    }

    /** Binds everything, so that the addresses are known; nothing may connect before {@link #begin}. */
    void open() throws IOException {
        var found = new HashMap<InetSocketAddress, BoxPort>();
        for (int dispatcher = 0; dispatcher < hosts.size(); dispatcher++) {
            var bound = bind(hosts.get(dispatcher));
            var mine = new ArrayList<BoxPort>();
            for (int box = 0; box < boxes.size(); box++) {
                var port = new BoxPort(shard, acceptor, boxes.get(box), dispatcher, bound.get(box), targets);
                mine.add(port);
                found.put(bound.get(box), port);
            }
            ports.add(List.copyOf(mine));
        }
        byAddress = Map.copyOf(found);
    }

    /** From here on doors are followed; to be called on the shard, once the boxes have begun. */
    void begin() {
        for (var box : boxes) {
            box.onDoor(door -> follow(box));
            follow(box);
        }
    }

    private List<InetSocketAddress> bind(String host) throws IOException {
        acceptor.bind(Collections.nCopies(boxes.size(), new InetSocketAddress(host, 0)));
        var bound = new ArrayList<InetSocketAddress>();
        for (var each : acceptor.getLocalAddresses()) {
            var address = (InetSocketAddress) each;
            if (address.getAddress().getHostAddress().equals(host)) {
                bound.add(address);
            }
        }
        bound.sort(Comparator.comparingInt(InetSocketAddress::getPort));
        return bound;
    }

    private void follow(Machine box) {
        for (int dispatcher = 0; dispatcher < ports.size(); dispatcher++) {
            ports.get(dispatcher).get(box.index()).door(box.door(dispatcher));
        }
    }

    String address(int dispatcher, int box) {
        return Addresses.text(ports.get(dispatcher).get(box).address());
    }

    @Override
    public void close() {
        acceptor.dispose(false);
        shard.ask(() -> {
            ports.forEach(mine -> mine.forEach(BoxPort::close));
            return null;
        });
    }

    /** Notes when a message's first bytes came, ahead of the codec, which hands on whole ones only. */
    private final class FirstByte extends IoFilterAdapter {
        @Override
        public void messageReceived(NextFilter next, IoSession session, Object message) {
            if (HttpCodec.insideFor(session) == 0) {
                session.setAttribute(FIRST, shard.loop().clock());
            }
            next.messageReceived(session, message);
        }
    }

    private final class Handler extends LinkHandler {
        Handler() {
            super(shard.loop());
        }

        @Override
        public void sessionCreated(IoSession session) {
            long at = loop.clock();
            loop.post(() -> shard.handle(at, () -> {
                var port = byAddress.get((InetSocketAddress) session.getLocalAddress());
                if (port == null) {
                    session.closeNow();
                } else {
                    attach(session, port.came(session));
                }
            }));
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            var firstByteAt = (Long) session.getAttribute(FIRST);
            super.messageReceived(session, new BoxConnection.Whole(message, firstByteAt));
        }
    }
}
