package ryemast.consul;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.SocketConnector;
import ryemast.core.Loop;
import ryemast.net.Addresses;
import ryemast.net.Dialer;
import ryemast.net.Link;
import ryemast.net.LinkHandler;
import ryemast.net.Transport;
import ryemast.net.http.HttpCodec;
import ryemast.net.http.HttpException;
import ryemast.net.http.HttpHead;
import ryemast.net.http.HttpMessage;
import ryemast.pacing.CallFailure;

/**
 * Calls to Consul's agents, one at a time on each connection; connections are kept for the next call. A call
 * ends once: with a whole answer, or with the reason why there is none, no later than its limit. One whose
 * kept connection had been closed meanwhile goes out once more, on a new one: the result says how often it
 * may have reached the agent, for those calls that are not alike when they come twice. Where one was silent
 * for a call's whole time, those kept that were not heard since are given up with it: what cut it off, as a
 * firewall that forgot it, has most likely cut them off too, and each would cost a call to tell. Owned by the
 * loop.
 */
final class Agents implements AutoCloseable {

    /**
     * How a call ended.
     *
     * @param setback  null where there is an answer of 200
     * @param why      in words; empty where there is such an answer
     * @param answer   null where there is none at all
     * @param sent     how often it was written to a connection; 0: it can't have reached the agent
     */
    record Result(CallFailure setback, String why, HttpMessage answer, int sent) {

        boolean good() {
            return setback == null;
        }

        /** A header's whole number; {@code otherwise} where there is none. */
        long number(String header, long otherwise) {
            var text = answer == null ? null : answer.head().header(header);
            return text != null && text.matches("[0-9]{1,18}") ? Long.parseLong(text) : otherwise;
        }
    }

    private static final int OK = 200;
    private static final int FORBIDDEN = 403;
    private static final int TOO_MANY = 429;
    private static final int LONGEST_QUOTE = 200;
    /**
     * Consul ends what rests for longer than some minutes; a watch's own connection never rests for so long.
     */
    private static final int KEPT = 4;

    private final Loop loop;
    private final ConsulSettings.Reach reach;
    private final SocketConnector connector;
    private final Dialer dialer;
    private final List<Deque<Connection>> idle = new ArrayList<>();
    private final Set<Connection> open = new HashSet<>();
    private String token = "";
    private boolean closed;

    Agents(Loop loop, Transport transport, ConsulSettings.Reach reach) throws IOException {
        this.loop = loop;
        this.reach = reach;
        connector = transport.connector(HttpCodec.responses(reach.longestAnswer()), new LinkHandler(loop));
        dialer = new Dialer(loop, connector, reach.connectLimit());
        if (reach.tls() != null) {
            TlsFilter.add(connector, reach.tls());
        }
        reach.agents().forEach(each -> idle.add(new ArrayDeque<>()));
    }

    /** Goes with each call from now on; empty: none. */
    void token(String next) {
        token = next;
    }

    String name(int agent) {
        return Addresses.text(reach.agents().get(agent));
    }

    /**
     * The end is told on the loop, in a later step; never after {@link #close}. The returned step gives the
     * call up, whose end is not told then.
     */
    Runnable call(int agent, String method, String target, byte[] body, long giveUpAt,
            Consumer<Result> then) {
        var call = new Call(agent, message(agent, method, target, body), then);
        call.limit = loop.at(giveUpAt, call::silent);
        var kept = idle.get(agent).pollLast();
        if (kept != null) {
            kept.carry(call);
        } else {
            new Connection(agent).connect(call);
        }
        return call::drop;
    }

    private HttpMessage message(int agent, String method, String target, byte[] body) {
        var head = HttpHead.request(method, target).with("Host", name(agent))
                .with("Accept", "application/json");
        if (!token.isEmpty()) {
            head.with("X-Consul-Token", token);
        }
        if (body.length > 0) {
            head.with("Content-Type", "application/json");
        }
        return new HttpMessage(head, body);
    }

    @Override
    public void close() {
        closed = true;
        List.copyOf(open).forEach(Connection::drop);
        connector.dispose(false);
    }

    /** What an answer's status means. */
    private static CallFailure setback(int status) {
        return status == OK ? null : status == FORBIDDEN ? CallFailure.FORBIDDEN
                : status == TOO_MANY ? CallFailure.RATE_LIMITED : CallFailure.SERVER_ERROR;
    }

    private static String quoted(HttpMessage answer) {
        var text = new String(answer.body(), 0, Math.min(answer.body().length, LONGEST_QUOTE),
                StandardCharsets.UTF_8).strip().replaceAll("\\p{Cntrl}+", " ");
        return "status " + answer.head().status() + (text.isEmpty() ? "" : ": " + text);
    }

    private final class Call {
        private final int agent;
        private final HttpMessage message;
        private final Consumer<Result> then;
        private Runnable limit = () -> { };
        private Connection carrier;
        private int sent;
        private long writtenAt;
        private boolean ended;

        Call(int agent, HttpMessage message, Consumer<Result> then) {
            this.agent = agent;
            this.message = message;
            this.then = then;
        }

        void end(CallFailure setback, String why, HttpMessage answer) {
            if (ended) {
                return;
            }
            ended = true;
            limit.run();
            if (answer == null && carrier != null) {
                carrier.drop();
            }
            if (!closed) {
                then.accept(new Result(setback, why, answer, sent));
            }
        }

        void silent() {
            if (sent > 0) {
                List.copyOf(idle.get(agent)).stream().filter(each -> each.heardAt < writtenAt)
                        .forEach(Connection::drop);
            }
            end(CallFailure.UNREACHABLE, "no answer in time", null);
        }

        void drop() {
            if (!ended) {
                ended = true;
                limit.run();
                if (carrier != null) {
                    carrier.drop();
                }
            }
        }

        void write(IoSession session) {
            sent++;
            writtenAt = loop.now();
            session.write(message);
        }
    }

    private final class Connection implements Link {
        private final int agent;
        private IoSession session;
        private long heardAt;
        private Call call;
        private boolean used;
        private boolean gone;

        Connection(int agent) {
            this.agent = agent;
            open.add(this);
        }

        void connect(Call first) {
            call = first;
            first.carrier = this;
            InetSocketAddress address = reach.agents().get(agent);
            dialer.dial(address, this, up -> {
                session = up;
                if (session == null) {
                    lost("cannot connect");
                } else if (gone) {
                    session.closeNow();
                } else {
                    first.write(session);
                }
            });
        }

        void carry(Call next) {
            call = next;
            next.carrier = this;
            used = true;
            next.write(session);
        }

        @Override
        public void received(Object message, long at) {
            if (gone) {
                return;
            }
            heardAt = loop.now();
            if (message instanceof HttpException e) {
                lost(CallFailure.MALFORMED, e.getMessage());
            } else if (call == null || !(message instanceof HttpMessage answer)) {
                drop();
            } else {
                var done = call;
                call = null;
                if (answer.head().closes() || idle.get(agent).size() >= KEPT) {
                    drop();
                } else {
                    idle.get(agent).addLast(this);
                }
                var setback = setback(answer.head().status());
                done.end(setback, setback == null ? "" : quoted(answer), answer);
            }
        }

        @Override
        public void ended() {
            lost("the connection ended");
        }

        private void lost(String why) {
            lost(CallFailure.UNREACHABLE, why);
        }

        private void lost(CallFailure setback, String why) {
            if (gone) {
                return;
            }
            var undone = call;
            call = null;
            drop();
            if (undone == null || undone.ended) {
                return;
            }
            if (used && setback == CallFailure.UNREACHABLE && !closed) {
                new Connection(agent).connect(undone);
            } else {
                undone.end(setback, why, null);
            }
        }

        void drop() {
            gone = true;
            open.remove(this);
            idle.get(agent).remove(this);
            if (session != null) {
                session.closeNow();
            }
        }
    }
}
