package ryemast.lab.sockets;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.IntFunction;
import java.util.function.IntPredicate;
import org.apache.mina.transport.socket.nio.SocketConnector;
import ryemast.lab.books.Try;
import ryemast.lab.site.Caller;
import ryemast.lab.site.Front;
import ryemast.lab.site.Patience;
import ryemast.net.Addresses;
import ryemast.net.LinkHandler;
import ryemast.net.Transport;
import ryemast.net.http.HttpCodec;
import ryemast.net.http.HttpHead;
import ryemast.net.http.HttpMessage;

/**
 * Carries clients' requests over kept connections, one at a time on each; more are opened when all are busy,
 * to whichever dispatcher the front says. The one that has rested longest is used first, so that dispatchers
 * share the load as they share the connections.
 *
 * <p>A request goes out once more, on a new connection, where a dispatcher's close of a used connection has
 * crossed it. That it crossed is not to be seen from here for certain: it is taken to have where the end came
 * soon after the request was written, without a byte of an answer, and the dispatcher still lives a moment
 * later; what a killed one held is lost. Owned by the clients' shard.
 */
final class ClientPool implements Caller, Line.Owner {

    private static final long MICROS_PER_MS = 1_000;
    private static final double MICROS_PER_S = 1e6;

    private final Shard shard;
    private final SocketConnector connector;
    private final Front front;
    private final IntFunction<InetSocketAddress> addresses;
    private final IntPredicate alive;
    private final boolean marksRetry;
    private final int most;
    private final Deque<Line> idle = new ArrayDeque<>();
    /** What each line carries, from its connecting on. */
    private final Map<Line, Call> busy = new HashMap<>();
    private final Set<Line> open = new HashSet<>();
    private final Set<Call> waiting = new LinkedHashSet<>();

    /**
     * @param addresses  where a dispatcher listens
     * @param alive      whether its process runs
     * @param most       how many connections may be open at once; beyond that, requests wait and the emulator
     *                   says that it was late
     */
    ClientPool(Shard shard, Transport transport, Front front, IntFunction<InetSocketAddress> addresses,
            IntPredicate alive, boolean marksRetry, int most) {
        this.shard = shard;
        this.front = front;
        this.addresses = addresses;
        this.alive = alive;
        this.marksRetry = marksRetry;
        this.most = most;
        connector = transport.connector(HttpCodec.responses(), new LinkHandler(shard.loop()));
        connector.setConnectTimeoutMillis(Patience.CONNECT / MICROS_PER_MS);
    }

    /** The path of a request of this name; boxes check that it has passed unchanged. */
    static String target(String txn) {
        return "/api/" + Integer.toHexString(txn.hashCode());
    }

    @Override
    public Runnable send(Try sent, String lane, String org, byte[] body, Ear ear) {
        var call = new Call(sent, lane, org, body, ear);
        place(call, true);
        return call::leave;
    }

    int connections() {
        return open.size();
    }

    private void place(Call call, boolean anyLine) {
        var rested = anyLine ? idle.pollFirst() : null;
        if (rested != null) {
            carry(rested, call);
        } else if (open.size() >= most) {
            waiting.add(call);
        } else {
            connect(call);
        }
    }

    private void connect(Call call) {
        int dispatcher = front.next();
        if (dispatcher == Front.NOBODY) {
            // Not at once: whoever sends has not heard yet how to go away.
            shard.post(call::broke);
            return;
        }
        var line = Line.connect(shard, this, dispatcher, connector, addresses.apply(dispatcher));
        open.add(line);
        busy.put(line, call);
        call.line = line;
    }

    private void carry(Line line, Call call) {
        busy.put(line, call);
        call.line = line;
        call.writtenAt = shard.now();
        shard.late(call.writtenAt - call.askedAt);
        line.write(message(call, line.dispatcher()), () -> {
            if (!call.over) {
                call.ear.sent(line.dispatcher());
            }
        });
    }

    private HttpMessage message(Call call, int dispatcher) {
        var job = call.sent.job();
        long left = Math.max(1, (call.sent.until() - shard.now()) / MICROS_PER_MS);
        var head = HttpHead.request("POST", target(call.sent.txn()))
                .with("Host", Addresses.text(addresses.apply(dispatcher))).with("X-Txn", call.sent.txn())
                .with("X-Lane", call.lane).with("X-Remaining-Ms", Long.toString(left));
        if (!call.org.isEmpty()) {
            head.with("X-Org", call.org);
        }
        if (job.hint() > 0) {
            head.with("X-Estimate", Long.toString(job.hint()));
        }
        if (job.slots() != 1) {
            head.with("X-Labels", String.format(Locale.ROOT, "slots=%s", job.slots()));
        }
        if (marksRetry && call.sent.number() > 0) {
            head.with("X-Resent", "1");
        }
        return new HttpMessage(head, call.body);
    }

    @Override
    public void up(Line line) {
        var call = busy.remove(line);
        if (call == null || call.over) {
            rest(line);
        } else {
            // A connection's coming up is the network's time and the dispatcher's, not ours.
            call.askedAt = shard.now();
            carry(line, call);
        }
    }

    @Override
    public void answered(Line line, HttpMessage answer) {
        var call = busy.remove(line);
        if (answer.head().closes()) {
            forget(line);
            line.close();
        } else {
            rest(line);
        }
        if (call != null && !call.over) {
            call.over = true;
            call.ear.answered(answer.head().status(), micros(answer.head().header("retry-after")),
                    new String(answer.body(), StandardCharsets.UTF_8));
        }
    }

    /** Seconds, whole or decimal. */
    private static long micros(String seconds) {
        return seconds != null && seconds.matches("[0-9]{1,9}(\\.[0-9]{1,9})?")
                ? Math.round(Double.parseDouble(seconds) * MICROS_PER_S) : 0;
    }

    private void rest(Line line) {
        var next = first(waiting.iterator());
        if (next == null) {
            idle.addLast(line);
        } else {
            carry(line, next);
        }
    }

    private static Call first(Iterator<Call> calls) {
        if (!calls.hasNext()) {
            return null;
        }
        var call = calls.next();
        calls.remove();
        return call;
    }

    /** A line that is gone makes room for another one. */
    private void forget(Line line) {
        open.remove(line);
        idle.remove(line);
        var next = open.size() < most ? first(waiting.iterator()) : null;
        if (next != null) {
            connect(next);
        }
    }

    @Override
    public void ended(Line line) {
        var call = busy.remove(line);
        forget(line);
        if (call == null || call.over) {
            return;
        }
        call.line = null;
        boolean crossed = line.isUsed() && !call.again && shard.now() - call.writtenAt < Patience.CROSSING;
        if (!crossed) {
            call.broke();
            return;
        }
        call.again = true;
        shard.at(shard.now() + Patience.STILL_ALIVE, () -> {
            if (call.over) {
                return;
            }
            if (alive.test(line.dispatcher())) {
                call.askedAt = shard.now();
                place(call, false);
            } else {
                call.broke();
            }
        });
    }

    /** One request on its way. */
    private final class Call {
        private final Try sent;
        private final String lane;
        private final String org;
        private final byte[] body;
        private final Ear ear;
        private long askedAt = shard.now();
        private long writtenAt;
        private Line line;
        private boolean again;
        private boolean over;

        Call(Try sent, String lane, String org, byte[] body, Ear ear) {
            this.sent = sent;
            this.lane = lane;
            this.org = org;
            this.body = body;
            this.ear = ear;
        }

        void broke() {
            if (!over) {
                over = true;
                ear.broke();
            }
        }

        /** The client goes away: what it waited on ends with it. */
        void leave() {
            if (over) {
                return;
            }
            over = true;
            waiting.remove(this);
            if (line != null) {
                busy.remove(line);
                line.close();
                forget(line);
            }
        }
    }
}
