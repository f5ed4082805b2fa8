package ryemast.net.region;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.logging.Logger;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import ryemast.core.Clock;
import ryemast.core.Exchange;
import ryemast.core.Loop;
import ryemast.core.Note;
import ryemast.core.Region;
import ryemast.core.RoutedTask;
import ryemast.net.Addresses;
import ryemast.net.Link;
import ryemast.net.LinkHandler;
import ryemast.net.Transport;
import ryemast.net.http.HttpCodec;
import ryemast.net.http.HttpHead;
import ryemast.net.http.HttpMessage;

/**
 * Carries routed tasks to the workers over pooled connections, one call at a time on each. Nothing is ever
 * sent twice from here: what happens to a call is told to the exchange as the protocol's table has it.
 */
public final class RegionPool implements Region {

    private static final Logger LOG = Logger.getLogger(RegionPool.class.getName());
    /** How often connections that have rested for too long are looked for, in microseconds. */
    public static final long SWEEP = 250_000;

    private final Loop loop;
    private final Exchange exchange;
    private final Function<String, InetSocketAddress> addresses;
    private final NioSocketConnector connector;
    private final RegionTuning tuning;
    private final long connectLimit;
    private final RestLimit restLimit;
    private final int most;
    /** Idle connections by address; the one used last is taken first, so that spare ones can age. */
    private final Map<InetSocketAddress, Deque<RegionConnection>> idle = new HashMap<>();
    private final Set<RegionConnection> open = new HashSet<>();
    private boolean sweeping;

    /**
     * @param addresses     where a worker is, by its id
     * @param connectLimit  how long a connection may take to come up, in microseconds
     * @param connIdle      after how long a worker closes an idle connection
     * @param most          how many connections may be open at once
     */
    public RegionPool(Loop loop, Exchange exchange, Transport transport,
            Function<String, InetSocketAddress> addresses, long connectLimit, long connIdle, int most,
            RegionTuning tuning) {
        this.loop = loop;
        this.exchange = exchange;
        this.addresses = addresses;
        this.connectLimit = connectLimit;
        this.restLimit = new RestLimit(connIdle, tuning);
        this.most = most;
        this.tuning = tuning;
        connector = transport.connector(HttpCodec.responses(), new LinkHandler(loop));
    }

    @Override
    public void start(RoutedTask task) {
        var job = task.submission();
        long left = Math.max(1, (task.until() - loop.now()) / Clock.MICROS_PER_MS);
        var head = HttpHead.request("POST", job.target()).with("X-Txn", job.txn())
                .with("X-Remaining-Ms", Long.toString(left));
        task.carrier(call(addresses.apply(task.worker()), task, new HttpMessage(head, job.body())));
    }

    /** Before the worker has answered, the connection's end gives the attempt up; after, a message does. */
    @Override
    public void giveUp(RoutedTask task) {
        var carrier = (RegionConnection) task.carrier();
        if (carrier == null) {
            return;
        }
        if (carrier.call != null && carrier.call.carries(task)) {
            carrier.close();
        } else {
            var head = HttpHead.request("DELETE", "/jobs/" + encoded(task.submission().txn()));
            call(carrier.address, null, new HttpMessage(head, HttpMessage.EMPTY));
        }
    }

    /** A name as a part of a path: the names are opaque, and one with a space would split the line. */
    static String encoded(String name) {
        var text = new StringBuilder();
        for (byte each : name.getBytes(StandardCharsets.ISO_8859_1)) {
            boolean plain = each >= '0' && each <= '9' || each >= 'a' && each <= 'z'
                    || each >= 'A' && each <= 'Z' || "-._~".indexOf(each) >= 0;
            text.append(plain ? String.valueOf((char) each) : String.format(Locale.ROOT, "%%%02X", each));
        }
        return text.toString();
    }

    /** The connection that the call is on, or null if there was none to be had. */
    private RegionConnection call(InetSocketAddress address, RoutedTask task, HttpMessage message) {
        message.head().with("Host", Addresses.text(address));
        var call = new Call(exchange, task, message, loop.now());
        var pooled = idle.get(address);
        if (pooled != null && rested(pooled.peekLast()) <= restLimit.limit()) {
            var connection = pooled.pollLast();
            if (pooled.isEmpty()) {
                idle.remove(address);
            }
            connection.carry(call);
            return connection;
        }
        if (open.size() >= most && !dropOldestIdle()) {
            Note.warning(LOG, "no socket left for a call to {address}", "address", Addresses.text(address),
                    "worker", task == null ? null : task.worker(),
                    "txn", task == null ? null : task.submission().txn());
            call.broke();
            return null;
        }
        var connection = new RegionConnection(address);
        if (!sweeping) {
            sweeping = true;
            loop.at(loop.now() + SWEEP, this::sweep);
        }
        open.add(connection);
        connection.connect(call);
        return connection;
    }

    private long rested(RegionConnection connection) {
        return loop.now() - connection.idleSince;
    }

    /** Guards the limit on sockets: an idle connection makes room. */
    private boolean dropOldestIdle() {
        var oldest = idle.values().stream().map(Deque::peekFirst)
                .min(Comparator.comparingLong(connection -> connection.idleSince));
        oldest.ifPresent(RegionConnection::close);
        return oldest.isPresent();
    }

    private void sweep() {
        restLimit.forgive(loop.now());
        for (var connection : new ArrayList<>(open)) {
            if (connection.call == null && rested(connection) > restLimit.limit()
                    || connection.call != null && connection.call.overdue(loop.now(), tuning.patience())) {
                connection.close();
            }
        }
        sweeping = !open.isEmpty();
        if (sweeping) {
            loop.at(loop.now() + SWEEP, this::sweep);
        }
    }

    private final class RegionConnection implements Link {
        private final InetSocketAddress address;
        private IoSession session;
        private Call call;
        private long idleSince;
        /** For how long it had rested before the call that it carries; negative for its first one. */
        private long restBefore = -1;
        private boolean closed;

        RegionConnection(InetSocketAddress address) {
            this.address = address;
        }

        void connect(Call first) {
            call = first;
            var future = connector.connect(address);
            var endOfLimit = loop.at(loop.now() + connectLimit, () -> {
                future.cancel();
                close();
            });
            future.addListener(done -> loop.post(() -> {
                endOfLimit.run();
                session = LinkHandler.attach(future, this);
                if (session == null) {
                    close();
                } else if (closed) {
                    session.closeNow();
                } else {
                    carry(call);
                }
            }));
        }

        void carry(Call next) {
            call = next;
            restBefore = idleSince == 0 ? -1 : rested(this);
            next.goesOut(session.write(next.message));
        }

        /** The peer, or the way there, has ended it. */
        @Override
        public void ended() {
            if (!closed && call != null && restBefore >= 0) {
                Note.info(LOG, "a connection broke at its next use; from now on they rest {rest_ms} ms",
                        "rest_ms", restLimit.brokeAfter(restBefore, loop.now()) / 1000);
            }
            close();
        }

        @Override
        public void received(Object message, long at) {
            if (closed) {
                return;
            }
            if (call == null || !(message instanceof HttpMessage answer)) {
                close();
                return;
            }
            var done = call;
            call = null;
            if (answer.head().closes()) {
                close();
            } else {
                idleSince = loop.now();
                idle.computeIfAbsent(address, key -> new ArrayDeque<>()).addLast(this);
            }
            done.answered(answer.head());
        }

        /** Ends the connection; a call on it has broken, before or after its last byte was written. */
        void close() {
            if (closed) {
                return;
            }
            closed = true;
            open.remove(this);
            var pooled = idle.get(address);
            if (pooled != null && pooled.remove(this) && pooled.isEmpty()) {
                idle.remove(address);
            }
            if (session != null) {
                session.closeNow();
            }
            if (call != null) {
                call.broke();
            }
        }
    }
}
