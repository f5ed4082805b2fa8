package ryemast.lab.sockets;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.mina.core.RuntimeIoException;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.SocketSessionConfig;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import ryemast.lab.site.Tell;
import ryemast.net.Addresses;
import ryemast.net.Link;
import ryemast.net.LinkHandler;
import ryemast.net.Transport;
import ryemast.net.http.HttpCodec;
import ryemast.net.http.HttpHead;
import ryemast.net.http.HttpMessage;

/**
 * Discovery's addresses, one for each dispatcher: {@code GET /catalog/members}, once or as a watch, which is
 * a chunked answer without an end. What discovery says, and when, is the catalogue's own matter; here are
 * only the bytes. Owned by the boxes' shard.
 */
final class CatalogueServer implements AutoCloseable {

    /** Who answers. */
    interface Discovery {
        void call(int dispatcher, boolean watch, long from, Tell tell);

        void gone(Tell tell);
    }

    private static final String PATH = "/catalog/members";

    private final Shard shard;
    private final Discovery discovery;
    private final List<String> hosts;
    private final NioSocketAcceptor acceptor;
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private volatile Map<InetSocketAddress, Integer> dispatchers = Map.of();

    CatalogueServer(Shard shard, Transport transport, Discovery discovery, List<String> hosts) {
        this.shard = shard;
        this.discovery = discovery;
        this.hosts = hosts;
        acceptor = new NioSocketAcceptor(transport.processor());
        acceptor.setReuseAddress(true);
        acceptor.setCloseOnDeactivation(false);
        Transport.setUp(acceptor.getSessionConfig(), acceptor.getFilterChain(), HttpCodec.requests());
        acceptor.setHandler(new Handler());
    }

    void open() throws IOException {
        var found = new HashMap<InetSocketAddress, Integer>();
        for (var host : hosts) {
            acceptor.bind(new InetSocketAddress(host, 0));
            var bound = acceptor.getLocalAddresses().stream().map(InetSocketAddress.class::cast)
                    .filter(each -> !found.containsKey(each)).findFirst().orElseThrow();
            found.put(bound, addresses.size());
            addresses.add(bound);
        }
        dispatchers = Map.copyOf(found);
    }

    String address(int dispatcher) {
        return Addresses.text(addresses.get(dispatcher));
    }

    @Override
    public void close() {
        acceptor.dispose(false);
    }

    private final class Handler extends LinkHandler {
        Handler() {
            super(shard.loop());
        }

        @Override
        public void sessionCreated(IoSession session) {
            int dispatcher = dispatchers.get((InetSocketAddress) session.getLocalAddress());
            attach(session, new Call(session, dispatcher));
        }
    }

    /** One connection; a call that is no stream may be followed by another one. */
    private final class Call implements Link, Tell {
        private final IoSession session;
        private final int dispatcher;
        private boolean busy;
        private boolean stream;
        private int status;

        Call(IoSession session, int dispatcher) {
            this.session = session;
            this.dispatcher = dispatcher;
        }

        @Override
        public void received(Object message, long at) {
            shard.handle(at, () -> {
                if (busy || !(message instanceof HttpMessage request)) {
                    session.closeNow();
                } else if (!request.head().first().equals("GET") || !request.head().path().equals(PATH)) {
                    write(404, "");
                } else {
                    busy = true;
                    status = 0;
                    var target = request.head().second();
                    discovery.call(dispatcher, "1".equals(parameter(target, "watch")),
                            number(parameter(target, "from")), this);
                }
            });
        }

        @Override
        public void head(int first, boolean lines) {
            status = first;
            stream = lines;
            if (lines) {
                session.write(bytes("HTTP/1.1 " + first + " OK\r\nContent-Type: application/json\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n"));
            }
        }

        @Override
        public void line(String json) {
            if (stream) {
                var line = (json + "\n").getBytes(StandardCharsets.UTF_8);
                var chunk = IoBuffer.allocate(line.length + 16);
                chunk.put((Integer.toHexString(line.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
                chunk.put(line).put((byte) '\r').put((byte) '\n').flip();
                session.write(chunk);
            } else {
                write(status, json);
            }
        }

        private void write(int answer, String body) {
            busy = false;
            var head = HttpHead.response(answer).with("Content-Type", "application/json");
            session.write(new HttpMessage(head, body.getBytes(StandardCharsets.UTF_8)));
        }

        @Override
        public void end(boolean broken) {
            if (broken) {
                try {
                    ((SocketSessionConfig) session.getConfig()).setSoLinger(0);
                } catch (RuntimeIoException e) {
                    // The caller has ended it.
                }
                session.closeNow();
            } else {
                session.closeOnFlush();
            }
        }

        @Override
        public void ended() {
            shard.handle(() -> {
                if (busy) {
                    busy = false;
                    discovery.gone(this);
                }
            });
        }
    }

    private static IoBuffer bytes(String text) {
        return IoBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String parameter(String target, String name) {
        int query = target.indexOf('?');
        for (var each : query < 0 ? new String[0] : target.substring(query + 1).split("&")) {
            if (each.startsWith(name + "=")) {
                return each.substring(name.length() + 1);
            }
        }
        return "";
    }

    private static long number(String text) {
        return text.matches("[0-9]{1,18}") ? Long.parseLong(text) : 0;
    }
}
