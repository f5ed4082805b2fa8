package ryemast.net.worker;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.logging.Logger;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.SocketProcessor;
import ryemast.core.Clock;
import ryemast.core.Exchange;
import ryemast.core.Loop;
import ryemast.core.Note;
import ryemast.core.Recalled;
import ryemast.core.Region;
import ryemast.core.RoutedTask;
import ryemast.net.Addresses;
import ryemast.net.Dialer;
import ryemast.net.Link;
import ryemast.net.Transport;
import ryemast.net.http.HttpCodec;
import ryemast.net.http.HttpHead;
import ryemast.net.http.HttpMessage;

/**
 * Carries routed tasks to the workers over pooled connections, one call at a time on each. Nothing is ever
 * sent twice from here: what happens to a call is told to the exchange as the protocol's table has it.
 */
public final class WorkerConnectionPool implements Region {

    private static final Logger LOG = Logger.getLogger(WorkerConnectionPool.class.getName());
    /** How often connections that have rested for too long are looked for, in microseconds. */
    public static final long SWEEP = 250_000;

    /**
     * How long a connection rests before it carries the next call, in microseconds: a worker, or what stands
     * between, may send a second answer some milliseconds after the first, which must not be taken for the
     * next call's.
     */
    public static final long LEAST_REST = 20_000;

    /** How soon a call is tried again that may not begin yet, in microseconds. */
    private static final long BEGIN_AGAIN = 5_000;

    /** How often a cancel is sent at most, and how long after a failed one the next follows. */
    private static final int DROP_TRIES = 4;
    private static final long DROP_AGAIN = 100_000;

    private final Loop loop;
    private final Exchange exchange;
    private final Function<String, InetSocketAddress> addresses;
    private final Dialer dialer;
    private final WorkerTuning tuning;
    private final RestLimit restLimit;
    private final int most;
    /** Idle connections by address; the one used last is taken first, so that spare ones can age. */
    private final Map<InetSocketAddress, Deque<WorkerConnection>> idle = new HashMap<>();
    private final Set<WorkerConnection> open = new LinkedHashSet<>();
    private boolean sweeping;

    /**
     * @param addresses     where a worker is, by its id
     * @param connectLimit  how long a connection may take to come up, in microseconds
     * @param connIdle      after how long a worker closes an idle connection
     * @param most          how many connections may be open at once
     */
    public WorkerConnectionPool(Loop loop, Exchange exchange, Transport transport,
            Function<String, InetSocketAddress> addresses, long connectLimit, long connIdle, int most,
            WorkerTuning tuning) {
        this.loop = loop;
        this.exchange = exchange;
        this.addresses = addresses;
        this.restLimit = new RestLimit(connIdle, tuning);
        this.most = most;
        this.tuning = tuning;
        // What a worker answers beside its status, hundreds of connections would keep in memory.
        var codec = HttpCodec.responseHeads(Call.HEADERS);
        dialer = new Dialer(loop, transport.connector(codec, new AnswerHandler(loop)), connectLimit);
    }

    @Override
    public void start(RoutedTask task) {
        var address = addresses.apply(task.worker());
        task.carrier(call(address, new Call(exchange, task, () -> attempt(task, address), loop.now())));
    }

    /** Made as it is written: a connection may have taken long to come up, and the time left is told. */
    private HttpMessage attempt(RoutedTask task, InetSocketAddress address) {
        var job = task.submission();
        long left = Math.max(1, (task.until() - loop.clock()) / Clock.MICROS_PER_MS);
        var head = HttpHead.request("POST", job.target()).with("X-Txn", job.txn())
                .with("X-Remaining-Ms", Long.toString(left)).with("Host", Addresses.text(address));
        return new HttpMessage(head, job.body());
    }

    /** Before the worker has answered, the connection's end gives the attempt up; after, a message does. */
    @Override
    public void giveUp(RoutedTask task) {
        var carrier = (WorkerConnection) task.carrier();
        if (carrier == null) {
            return;
        }
        if (carrier.call != null && carrier.call.carries(task)) {
            carrier.close();
        } else {
            drop(task, carrier.address, DROP_TRIES);
        }
    }

    /** A cancel that is not answered is sent again, as the worker may still have the job. */
    private void drop(RoutedTask task, InetSocketAddress address, int tries) {
        call(address, new Call(deletion(task, address), answered -> {
            if (answered != Recalled.ANSWERED && tries > 1) {
                loop.at(loop.now() + DROP_AGAIN, () -> drop(task, address, tries - 1));
            }
        }, false, loop.now()));
    }

    /**
     * Before the worker has answered, the connection's end gives the attempt up, but nobody tells when it has
     * come there: the answer to a message that was sent after it does. That is sent once the connection has
     * ended here, as the request may still be written until then, and would overtake the message.
     */
    @Override
    public boolean recall(RoutedTask task, Consumer<Recalled> answered) {
        var carrier = (WorkerConnection) task.carrier();
        boolean carries = carrier != null && carrier.call != null && carrier.call.carries(task);
        if (carrier == null || carries && !carrier.call.hasBegun()) {
            return false;
        }
        if (carries) {
            carrier.endFor(written -> {
                if (written) {
                    ask(task, carrier.address, answered);
                } else {
                    answered.accept(Recalled.ANSWERED);
                }
            });
        } else {
            ask(task, carrier.address, answered);
        }
        return true;
    }

    private void ask(RoutedTask task, InetSocketAddress address, Consumer<Recalled> answered) {
        call(address, new Call(deletion(task, address), answered, true, loop.now()));
    }

    private static HttpMessage deletion(RoutedTask task, InetSocketAddress address) {
        var head = HttpHead.request("DELETE", "/jobs/" + encoded(task.submission().txn()))
                .with("Host", Addresses.text(address));
        return new HttpMessage(head, HttpMessage.EMPTY);
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
    private WorkerConnection call(InetSocketAddress address, Call call) {
        var kept = kept(address, call.mindsAnswers() ? LEAST_REST : 0);
        if (kept != null) {
            kept.carry(call);
            return kept;
        }
        if (open.size() >= most && !makeRoom()) {
            Note.warning(LOG, "no socket left for a call to {address}", "address", Addresses.text(address),
                    "worker", call.worker(), "txn", call.txn());
            call.broke(false);
            return null;
        }
        var connection = new WorkerConnection(address);
        if (!sweeping) {
            sweeping = true;
            loop.at(loop.now() + SWEEP, this::sweep);
        }
        open.add(connection);
        connection.connect(call);
        return connection;
    }

    /**
     * The connection that was used last of those that may be used again, taken off; null if there is none.
     */
    private WorkerConnection kept(InetSocketAddress address, long leastRest) {
        var pooled = idle.get(address);
        if (pooled == null) {
            return null;
        }
        for (var each = pooled.descendingIterator(); each.hasNext();) {
            var connection = each.next();
            long rested = rested(connection);
            if (rested > restLimit.limit()) {
                return null;
            }
            if (rested >= leastRest) {
                each.remove();
                if (pooled.isEmpty()) {
                    idle.remove(address);
                }
                return connection;
            }
        }
        return null;
    }

    private long rested(WorkerConnection connection) {
        return loop.now() - connection.idleSince;
    }

    /** Guards the limit on sockets: an idle connection makes room, or one whose answer nobody waits for. */
    private boolean makeRoom() {
        var oldest = idle.values().stream().map(Deque::peekFirst)
                .min(Comparator.comparingLong(connection -> connection.idleSince))
                .or(() -> open.stream().filter(WorkerConnection::isUnawaited).findFirst());
        oldest.ifPresent(WorkerConnection::close);
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

    private final class WorkerConnection implements Link {
        private final InetSocketAddress address;
        private IoSession session;
        private Call call;
        /** How many bytes are written once the call is: what was read before is no answer to it. */
        private long wholeAt;
        private long idleSince;
        private long openedAt;
        /** For how long it had rested before the call that it carries; negative for its first one. */
        private long restBefore = -1;
        private boolean closed;
        /** Who, in place of the call, is told at the end whether its last byte was written; or null. */
        private Consumer<Boolean> recalled;

        WorkerConnection(InetSocketAddress address) {
            this.address = address;
        }

        void connect(Call first) {
            call = first;
            dialer.dial(address, this, up -> {
                session = up;
                openedAt = loop.now();
                if (session == null) {
                    close();
                } else if (closed) {
                    session.closeNow();
                } else {
                    carry(call);
                }
            });
        }

        /** Whether it carries a call whose attempt has ended, and only its answer is still to come. */
        boolean isUnawaited() {
            return call != null && !call.isAwaited();
        }

        void carry(Call next) {
            call = next;
            restBefore = idleSince == 0 ? -1 : rested(this);
            if (next.mayBegin()) {
                next.logHeld(loop.now(), true);
                write(next);
            } else if (next.mayBeginLater()) {
                next.hold(loop.now());
                loop.at(loop.now() + BEGIN_AGAIN, () -> carryHeld(next));
            } else {
                rest();
                next.logHeld(loop.now(), false);
                next.neverBegan();
            }
        }

        private void carryHeld(Call held) {
            if (call == held && !closed) {
                carry(held);
            }
        }

        private void write(Call next) {
            var bytes = HttpCodec.bytes(next.message());
            // All that was written before has been answered, so that this count stands still.
            wholeAt = session.getWrittenBytes() + bytes.length;
            if (restBefore >= 0) {
                SocketProcessor.expectSilence(session);
            }
            next.goesOut();
            session.write(IoBuffer.wrap(bytes));
        }

        private void rest() {
            call = null;
            idleSince = loop.now();
            idle.computeIfAbsent(address, key -> new ArrayDeque<>()).addLast(this);
        }

        /** The peer, or the way there, has ended it. */
        @Override
        public void ended() {
            if (!closed && call != null && restBefore >= 0) {
                Note.info(LOG, "a connection broke at its next use; from now on they rest {rest_ms} ms",
                        "rest_ms", restLimit.brokeAfter(restBefore, loop.now()) / 1000);
            }
            close();
            conclude(session != null && session.getWrittenBytes() >= wholeAt);
        }

        @Override
        public void received(Object message, long at) {
            if (closed) {
                return;
            }
            var came = (Answer) message;
            if (call == null || came.written() < wholeAt
                    || !(came.message() instanceof HttpMessage answer)) {
                close();
                return;
            }
            var done = call;
            if (done.worker() != null) {
                exchange.lived(done.worker(), openedAt, at);
            }
            if (answer.head().closes()) {
                call = null;
                close();
            } else {
                rest();
            }
            done.answered(answer.head());
        }

        /**
         * Ends the connection. A call on it is concluded once it has ended: until then its bytes may still
         * be written, and only then it is known whether they were.
         */
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
            if (session == null) {
                conclude(false);
            } else {
                session.closeNow();
            }
        }

        /** Ends it under its call, which is recalled: {@code then} is told in place of it. */
        void endFor(Consumer<Boolean> then) {
            recalled = then;
            close();
        }

        private void conclude(boolean written) {
            var broken = call;
            call = null;
            if (recalled != null) {
                recalled.accept(written);
                recalled = null;
            } else if (broken != null) {
                broken.broke(written);
            }
        }
    }
}
