package ryemast.lab.consul;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;
import java.util.function.IntConsumer;
import javax.net.ssl.SSLContext;
import org.apache.mina.core.RuntimeIoException;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.filter.ssl.SslFilter;
import org.apache.mina.transport.socket.SocketSessionConfig;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import ryemast.core.Loop;
import ryemast.lab.consul.ConsulFault.Kind;
import ryemast.lab.world.Timeline;
import ryemast.net.Addresses;
import ryemast.net.Link;
import ryemast.net.LinkHandler;
import ryemast.net.Transport;
import ryemast.net.http.HttpCodec;
import ryemast.net.http.HttpHead;
import ryemast.net.http.HttpMessage;

/**
 * The stand-in's sockets: several addresses of one agent, each of which may show services at addresses of its
 * own. Longer bodies go out in chunks, as Go's server sends them; faults strike here what concerns bytes and
 * time. Owned by the loop that its state lives on.
 */
public final class ConsulServer implements AutoCloseable {

    /** Go's server buffers so much before it begins to chunk, and writes in pieces of this length. */
    private static final int PLAIN = 2_048;
    private static final int PIECE = 4_096;
    private static final long MS = 1_000;
    private static final long TRICKLE = 20 * MS;

    private final Loop loop;
    private final Timeline time;
    private final ConsulApi api;
    private final NioSocketAcceptor acceptor;
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private volatile Map<InetSocketAddress, Integer> views = Map.of();
    private final IntFunction<ConsulView> viewOf;
    private final IntConsumer answered;
    private long answers;
    private boolean hushed;

    /** One view of everything, as it is registered. */
    public ConsulServer(Loop loop, Transport transport, ConsulApi api, SSLContext tls) {
        this(loop, transport, api, tls, view -> ConsulView.PLAIN, view -> { });
    }

    /**
     * {@code tls}: null for none; {@code answered}: told of each whole answer of 200 to a query, by its view.
     */
    public ConsulServer(Loop loop, Transport transport, ConsulApi api, SSLContext tls,
            IntFunction<ConsulView> viewOf,
            IntConsumer answered) {
        this.loop = loop;
        this.api = api;
        this.viewOf = viewOf;
        this.answered = answered;
        time = api.state().time();
        acceptor = new NioSocketAcceptor(transport.processor());
        acceptor.setReuseAddress(true);
        acceptor.setCloseOnDeactivation(false);
        Transport.setUp(acceptor.getSessionConfig(), acceptor.getFilterChain(), HttpCodec.requests());
        if (tls != null) {
            acceptor.getFilterChain().addFirst("tls", new SslFilter(tls));
        }
        acceptor.setHandler(new Handler());
    }

    /** One more address; the one that is bound is returned, as a port of 0 means any. */
    public InetSocketAddress open(InetSocketAddress address) throws IOException {
        acceptor.bind(address);
        var bound = acceptor.getLocalAddresses().stream().map(InetSocketAddress.class::cast)
                .filter(each -> !addresses.contains(each)).findFirst().orElseThrow();
        var all = new HashMap<>(views);
        all.put(bound, addresses.size());
        addresses.add(bound);
        views = Map.copyOf(all);
        return bound;
    }

    /** Whole answers to queries so far. */
    public long answers() {
        return answers;
    }

    /** From here on, or no longer, nothing is said on any connection: not on calls that wait either. */
    public void hush(boolean on) {
        hushed = on;
    }

    /** As when an agent is down: nothing listens, and what was open is reset. */
    public void goDown() {
        acceptor.unbind();
        acceptor.getManagedSessions().values().forEach(ConsulServer::reset);
    }

    /** It listens again where it did. */
    public void comeUp() throws IOException {
        for (var each : addresses) {
            acceptor.bind(each);
        }
    }

    @Override
    public void close() {
        acceptor.dispose(false);
    }

    private static void reset(IoSession session) {
        try {
            ((SocketSessionConfig) session.getConfig()).setSoLinger(0);
        } catch (RuntimeIoException e) {
            // The caller has ended it.
        }
        session.closeNow();
    }

    private final class Handler extends LinkHandler {
        Handler() {
            super(ConsulServer.this.loop);
        }

        @Override
        public void sessionCreated(IoSession session) {
            var view = views.get((InetSocketAddress) session.getLocalAddress());
            attach(session, new Connection(session, view == null ? 0 : view));
        }
    }

    private final class Connection implements Link {
        private final IoSession session;
        private final int view;
        private boolean gone;

        Connection(IoSession session, int view) {
            this.session = session;
            this.view = view;
        }

        @Override
        public void ended() {
            gone = true;
        }

        @Override
        public void received(Object message, long at) {
            if (!(message instanceof HttpMessage request)) {
                session.closeNow();
                return;
            }
            var call = ConsulCall.of(request);
            var faults = call.path().startsWith("/v1/lab/") ? List.<ConsulFault>of()
                    : api.faults().striking(call.path());
            long late = 0;
            for (var each : faults) {
                switch (each.kind()) {
                    case SILENT -> {
                        return;
                    }
                    case RESET -> {
                        reset(session);
                        return;
                    }
                    case LATE -> late += each.size() * MS;
                    default -> { }
                }
            }
            if (late == 0) {
                handle(call, faults);
            } else {
                time.at(time.now() + late, () -> handle(call, faults));
            }
        }

        private boolean has(List<ConsulFault> faults, Kind kind) {
            return faults.stream().anyMatch(each -> each.kind() == kind);
        }

        private void handle(ConsulCall call, List<ConsulFault> faults) {
            if (has(faults, Kind.ERROR)) {
                write(call, faults, 500, "rpc error making call: EOF", 0, true);
            } else if (has(faults, Kind.RATE_LIMITED)) {
                write(call, faults, 429,
                        "Your IP is issuing too many concurrent connections, please rate limit your"
                        + " calls", 0, true);
            } else if (has(faults, Kind.FORBIDDEN)) {
                write(call, faults, 403, "ACL not found", 0, true);
            } else {
                api.handle(call, viewOf.apply(view), has(faults, Kind.NO_LEADER), has(faults, Kind.SPINNING),
                        has(faults, Kind.EMPTY), (status, body, index, leader) ->
                                write(call, faults, status, has(faults, Kind.GARBLED) ? "[{\"Node\":"
                                : body, index,
                                        leader));
            }
        }

        private void write(ConsulCall call, List<ConsulFault> faults, int status, String body, long index,
                boolean leader) {
            if (gone || hushed) {
                return;
            }
            boolean closes = call.message().head().closes();
            var head = HttpHead.response(status).with("Content-Type", status == 200 ? "application/json"
                    : "text/plain; charset=utf-8").with("Vary", "Accept-Encoding");
            if (index > 0) {
                head.with("X-Consul-Index", Long.toString(index))
                        .with("X-Consul-KnownLeader", Boolean.toString(leader))
                        .with("X-Consul-LastContact", leader ? "0" : "30000")
                        .with("X-Consul-Effective-Consistency", call.flag("stale") ? "stale" : "leader");
            }
            if (closes) {
                head.with("Connection", "close");
            }
            var bytes = body.getBytes(StandardCharsets.UTF_8);
            var cut = faults.stream().filter(each -> each.kind() == Kind.CUT).findFirst();
            var trickled = faults.stream().filter(each -> each.kind() == Kind.TRICKLED).findFirst();
            if (cut.isPresent()) {
                head.with("Content-Length", Integer.toString(bytes.length));
                session.write(IoBuffer.wrap(text(head)));
                session.write(IoBuffer.wrap(bytes, 0, (int) Math.min(bytes.length, cut.get().size())));
                session.closeOnFlush();
                return;
            }
            if (trickled.isPresent()) {
                head.with("Content-Length", Integer.toString(bytes.length));
                session.write(IoBuffer.wrap(text(head)));
                trickle(bytes, 0, (int) Math.max(1, trickled.get().size() * TRICKLE / 1_000_000));
            } else if (bytes.length <= PLAIN) {
                session.write(new HttpMessage(head, bytes));
            } else {
                chunked(head, bytes);
            }
            if (status == 200 && index > 0) {
                answers++;
                answered.accept(view);
            }
            if (closes && trickled.isEmpty()) {
                session.closeOnFlush();
            }
        }

        private void chunked(HttpHead head, byte[] bytes) {
            head.with("Transfer-Encoding", "chunked");
            var out = IoBuffer.allocate(bytes.length + 256).setAutoExpand(true);
            out.put(text(head));
            for (int at = 0; at < bytes.length; at += PIECE) {
                int length = Math.min(PIECE, bytes.length - at);
                out.put((Integer.toHexString(length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
                out.put(bytes, at, length).put((byte) '\r').put((byte) '\n');
            }
            out.put("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII)).flip();
            session.write(out);
        }

        private void trickle(byte[] bytes, int from, int piece) {
            if (gone || from >= bytes.length) {
                return;
            }
            int to = Math.min(bytes.length, from + piece);
            session.write(IoBuffer.wrap(Arrays.copyOfRange(bytes, from, to)));
            time.at(time.now() + TRICKLE, () -> trickle(bytes, to, piece));
        }

        private static byte[] text(HttpHead head) {
            var text = new StringBuilder(head.first()).append(' ').append(head.second()).append(' ')
                    .append(head.third()).append("\r\n");
            head.headers()
                    .forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
            return text.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
        }
    }

    /** For the log. */
    @Override
    public String toString() {
        return String.join(", ", addresses.stream().map(Addresses::text).toList());
    }
}
