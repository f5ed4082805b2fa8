package ryemast.lab.sockets;

import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.logging.Logger;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import org.apache.mina.transport.socket.nio.SocketConnector;
import ryemast.lab.scenario.Scenario;
import ryemast.net.Addresses;
import ryemast.net.Transport;
import ryemast.net.http.HttpCodec;
import ryemast.net.http.HttpHead;
import ryemast.net.http.HttpMessage;

/**
 * Plays a site of one box for a moment, so that a run's first jobs don't wait for this program's own classes:
 * loading them takes longer than a job, and the emulator would be late for reasons of its own. In place of a
 * dispatcher stands what passes every job on to the one box and every result back. Once in a program's life.
 */
final class Rehearsal extends IoHandlerAdapter implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger(Rehearsal.class.getName());
    private static final AtomicBoolean DONE = new AtomicBoolean();
    private static final AttributeKey TO_BOX = new AttributeKey(Rehearsal.class, "to box");
    private static final long LENGTH = 500_000;
    private static final long DEADLINE = 500_000;
    private static final double WORK = 300;
    private static final int CLIENTS = 4;

    private final Transport transport = new Transport();
    private final NioSocketAcceptor acceptor = new NioSocketAcceptor(transport.processor());
    private final SocketConnector connector = new SocketConnector(transport.processor());
    private final Map<String, IoSession> waiting = new ConcurrentHashMap<>();
    private volatile InetSocketAddress box;

    private Rehearsal() throws IOException {
        Transport.setUp(acceptor.getSessionConfig(), acceptor.getFilterChain(), HttpCodec.requests());
        acceptor.setHandler(this);
        acceptor.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        Transport.setUp(connector.getSessionConfig(), connector.getFilterChain(), HttpCodec.responses());
        connector.setHandler(new IoHandlerAdapter() {
            @Override
            public void exceptionCaught(IoSession session, Throwable cause) {
                session.closeNow();
            }
        });
    }

    /** A failure is no reason not to run. */
    static void once(Scenario scenario) {
        if (!DONE.compareAndSet(false, true)) {
            return;
        }
        try (var middle = new Rehearsal()) {
            var address = Addresses.text(middle.acceptor.getLocalAddress());
            try (var site = new EmulatedSite(small(scenario),
                    EmulatedSite.Options.standard().withExternal(address))) {
                site.start();
                middle.box = Addresses.parse(site.boxAddress());
                site.run(progress -> { });
            }
        } catch (IOException | RuntimeException e) {
            LOG.warning("the rehearsal failed, so that the first jobs may be late: " + e);
        }
    }

    private static Scenario small(Scenario from) {
        var box = new Scenario.BoxSpec(0, "r-0", 0, 0, 0, CLIENTS, 1, CLIENTS, CLIENTS, 1, 0,
                Scenario.WarmBy.TIME, false, 0, Scenario.CancelReach.ALL, true, false, 1, 2 * CLIENTS,
                LENGTH, 0, 0);
        var kind = new Scenario.JobClass("rehearsal", 1, WORK, Scenario.Spread.FIXED, 0, DEADLINE, 0,
                DEADLINE, 1, 0, Scenario.Effect.FREE, 1);
        var load = new Scenario.Load(0, CLIENTS, Scenario.Shape.STEADY, 0, LENGTH, from.load().hints(),
                from.load().hintSigma(), from.load().bodyBytes());
        var dispatchers = new Scenario.Dispatchers(1, 0, from.dispatchers().memoryMb(),
                from.dispatchers().sockets(), from.dispatchers().notice());
        return new Scenario("rehearsal", "", 1, LENGTH, from.resolution(), from.zones(), from.kinds(),
                List.of(box), List.of(kind), from.tenants(), load, from.clients(), dispatchers,
                from.discovery(), new Scenario.Telling(true, 0, 1, LENGTH), from.rules(), from.goal(),
                List.of());
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
        if (!(message instanceof HttpMessage request)) {
            session.closeNow();
            return;
        }
        switch (request.head().path()) {
            case "/_health" -> session.write(answer("ready"));
            case "/v1/job-events" -> {
                session.write(answer(""));
                var call = JsonParser.parseString(new String(request.body(), StandardCharsets.UTF_8))
                        .getAsJsonObject();
                var client = call.has("result") ? waiting.remove(call.get("id").getAsString()) : null;
                if (client != null) {
                    client.write(answer(call.get("result").getAsString()));
                }
            }
            default -> {
                var txn = request.head().header("x-txn");
                waiting.put(txn, session);
                var head = HttpHead.request("POST", request.head().second()).with("X-Txn", txn);
                var passed = new HttpMessage(head, request.body());
                if (session.getAttribute(TO_BOX) instanceof IoSession open) {
                    open.write(passed);
                } else {
                    connector.connect(box).addListener(future -> {
                        session.setAttribute(TO_BOX, future.getSession());
                        future.getSession().write(passed);
                    });
                }
            }
        }
    }

    private static HttpMessage answer(String body) {
        return new HttpMessage(HttpHead.response(200), body.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
        session.closeNow();
    }

    @Override
    public void close() {
        acceptor.dispose(false);
        connector.dispose(false);
        transport.processor().dispose();
    }
}
