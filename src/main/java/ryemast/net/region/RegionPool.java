package ryemast.net.region;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.logging.Logger;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import pipitladder.Dispatcher.Outcome;
import ryemast.core.Exchange;
import ryemast.core.Loop;
import ryemast.core.Region;
import ryemast.core.RoutedTask;
import ryemast.net.Addresses;
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
    private static final int MAX_BODY = 64 * 1024;
    private static final long MICROS_PER_MS = 1000;
    private static final long SWEEP = 250_000;

    private final Loop loop;
    private final Exchange exchange;
    private final Function<String, InetSocketAddress> addresses;
    private final NioSocketConnector connector;
    private final long connectLimit;
    private final long idleLimit;
    private final int most;
    /** Idle connections by address; the one used last is taken first, so that spare ones can age. */
    private final Map<InetSocketAddress, Deque<RegionConnection>> idle = new HashMap<>();
    private final Set<RegionConnection> open = new HashSet<>();
    /** Tasks whose answer is awaited, by the connection that carries them. */
    private final Map<RoutedTask, RegionConnection> carried = new HashMap<>();

    /**
     * @param addresses     where a worker is, by its id
     * @param connectLimit  how long a connection may take to come up, in microseconds
     * @param connIdle      after how long a worker closes an idle connection
     * @param most          how many connections may be open at once
     */
    public RegionPool(Loop loop, Exchange exchange, Transport transport,
            Function<String, InetSocketAddress> addresses, long connectLimit, long connIdle, int most) {
        this.loop = loop;
        this.exchange = exchange;
        this.addresses = addresses;
        this.connectLimit = connectLimit;
        // Well before the worker's own limit: a call that crosses its close would end as a reset.
        this.idleLimit = connIdle * 3 / 4;
        this.most = most;
        connector = transport.connector(HttpCodec.responses(MAX_BODY), new Handler());
        loop.at(loop.now() + SWEEP, this::sweep);
    }

    @Override
    public void start(RoutedTask task) {
        var address = addresses.apply(task.worker());
        var job = task.submission();
        long left = Math.max(1, (task.until() - loop.now()) / MICROS_PER_MS);
        var head = HttpHead.request("POST", job.target()).with("Host", Addresses.text(address))
                .with("X-Txn", job.txn()).with("X-Remaining-Ms", Long.toString(left));
        call(address, new Call(task, new HttpMessage(head, job.body())));
    }

    @Override
    public void giveUp(RoutedTask task) {
        var connection = carried.remove(task);
        if (connection != null) {
            connection.close();
        } else {
            var address = addresses.apply(task.worker());
            var head = HttpHead.request("DELETE", "/jobs/" + task.submission().txn())
                    .with("Host", Addresses.text(address));
            call(address, new Call(null, new HttpMessage(head, HttpMessage.EMPTY)));
        }
    }

    private void call(InetSocketAddress address, Call call) {
        var pooled = idle.get(address);
        var connection = pooled == null ? null : pooled.pollLast();
        if (connection == null && open.size() >= most && !dropOldestIdle()) {
            LOG.warning("no socket left for a call to " + Addresses.text(address));
            call.end(Outcome.CONNECT_FAILED);
            return;
        }
        if (call.task != null && connection != null) {
            carried.put(call.task, connection);
        }
        if (connection != null) {
            connection.carry(call);
            return;
        }
        var fresh = new RegionConnection(address);
        open.add(fresh);
        if (call.task != null) {
            carried.put(call.task, fresh);
        }
        fresh.connect(call);
    }

    /** Guards the limit on sockets: an idle connection makes room. */
    private boolean dropOldestIdle() {
        var oldest = idle.values().stream().filter(each -> !each.isEmpty()).map(Deque::peekFirst)
                .min(Comparator.comparingLong(connection -> connection.idleSince));
        oldest.ifPresent(RegionConnection::close);
        return oldest.isPresent();
    }

    private void sweep() {
        for (var connection : new ArrayList<>(open)) {
            if (connection.call == null && loop.now() - connection.idleSince > idleLimit
                    || connection.call != null && connection.call.overdue()) {
                connection.close();
            }
        }
        loop.at(loop.now() + SWEEP, this::sweep);
    }

    /** One message to a worker and its answer; without a task it is a cancel, whose answer means nothing. */
    private final class Call {
        /** How long an answer is awaited that no routed task waits for any more. */
        private static final long PATIENCE = 2_000_000;

        private final RoutedTask task;
        private final HttpMessage message;
        private final long startedAt = loop.now();
        private boolean written;

        Call(RoutedTask task, HttpMessage message) {
            this.task = task;
            this.message = message;
        }

        boolean overdue() {
            return (task == null || task.ended()) && loop.now() - startedAt > PATIENCE;
        }

        void end(Outcome outcome) {
            if (task != null) {
                carried.remove(task);
                exchange.ended(task, outcome);
            }
        }

        void answered(HttpHead head) {
            if (task == null) {
                return;
            }
            carried.remove(task);
            int status = head.status();
            boolean turnedAway = (status == 503 || status == 504) && "1".equals(head.header("x-turned-away"));
            if (status == 202) {
                exchange.accepted(task);
            } else {
                if (!turnedAway && status != 500) {
                    LOG.warning(task.worker() + " answered " + status + " to " + task.submission().txn());
                }
                exchange.ended(task, turnedAway ? Outcome.REJECTED : Outcome.ERROR);
            }
        }
    }

    private final class RegionConnection {
        private final InetSocketAddress address;
        private IoSession session;
        private Call call;
        private long idleSince;
        private boolean closed;

        RegionConnection(InetSocketAddress address) {
            this.address = address;
        }

        void connect(Call first) {
            call = first;
            var future = connector.connect(address);
            var limit = loop.at(loop.now() + connectLimit, () -> {
                future.cancel();
                close();
            });
            future.addListener(done -> loop.post(() -> {
                limit.run();
                if (!future.isConnected()) {
                    close();
                    return;
                }
                session = future.getSession();
                session.setAttribute(RegionConnection.class, this);
                if (closed) {
                    session.closeNow();
                } else if (session.isConnected()) {
                    carry(call);
                } else {
                    close();
                }
            }));
        }

        void carry(Call next) {
            call = next;
            session.write(next.message).addListener(future -> {
                if (((org.apache.mina.core.future.WriteFuture) future).isWritten()) {
                    loop.post(() -> next.written = true);
                }
            });
        }

        void received(Object message) {
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
                call.end(call.written ? Outcome.RESET : Outcome.CONNECT_FAILED);
            }
        }
    }

    private final class Handler extends IoHandlerAdapter {
        @Override
        public void messageReceived(IoSession session, Object message) {
            loop.post(() -> of(session).received(message));
        }

        @Override
        public void sessionClosed(IoSession session) {
            loop.post(() -> {
                if (of(session) != null) {
                    of(session).close();
                }
            });
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            Transport.drop(session);
        }

        private RegionConnection of(IoSession session) {
            return (RegionConnection) session.getAttribute(RegionConnection.class);
        }
    }
}
