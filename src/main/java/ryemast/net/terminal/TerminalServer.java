package ryemast.net.terminal;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import ryemast.core.Clock;
import ryemast.core.Exchange;
import ryemast.core.Loop;
import ryemast.core.Terminal;
import ryemast.core.Transaction;
import ryemast.net.Transport;
import ryemast.net.http.HttpCodec;
import ryemast.net.http.HttpException;
import ryemast.net.http.HttpHead;
import ryemast.net.http.HttpMessage;

/** The address that clients and the workers' call-backs come to. */
public final class TerminalServer {

    private static final int MAX_BODY = 64 * 1024;
    private static final int BACKLOG = 1024;
    private static final double MICROS_PER_S = 1e6;
    private static final long SWEEP = 1_000_000;
    private static final long IDLE_LIMIT = 300_000_000;
    /** How long a client may take to read the answer to what could not be understood. */
    private static final long LINGER = 1_000_000;
    private static final long FULL_PAUSE_MS = 5;

    private final Loop loop;
    private final Exchange exchange;
    private final Clock clock;
    private final JobReader jobs;
    private final NioSocketAcceptor acceptor;
    private final int most;
    private final AtomicInteger accepted = new AtomicInteger();
    /** Connections between two requests, the one that rests longest first. */
    private final Set<Connection> resting = new LinkedHashSet<>();
    private final Set<Connection> open = new LinkedHashSet<>();
    private int writing;
    private boolean ready;
    private boolean draining;

    /** {@code most}: how many connections may be open at once. */
    public TerminalServer(Loop loop, Exchange exchange, Transport transport, Clock clock,
            java.util.List<String> lanes, java.util.List<String> orgs, int most) {
        this.loop = loop;
        this.exchange = exchange;
        this.clock = clock;
        this.most = most;
        jobs = new JobReader(lanes, orgs);
        acceptor = new Acceptor(transport.processor());
        acceptor.setReuseAddress(true);
        acceptor.setBacklog(BACKLOG);
        Transport.setUp(acceptor.getSessionConfig(), acceptor.getFilterChain(), HttpCodec.requests(MAX_BODY));
        acceptor.setHandler(new Handler());
    }

    public void listen(InetSocketAddress address) throws IOException {
        acceptor.bind(address);
        loop.post(() -> loop.at(loop.now() + SWEEP, this::sweep));
    }

    /** From here on the health check says that clients may come. */
    public void ready() {
        ready = true;
    }

    /** From here on it says that they should go elsewhere, and answers end their connections. */
    public void drain() {
        draining = true;
    }

    /** Whether nothing is half taken or half answered. */
    public boolean isQuiet() {
        return writing == 0 && resting.size() == open.size();
    }

    public void closeResting() {
        new ArrayList<>(resting).forEach(Connection::close);
    }

    public void stop() {
        acceptor.unbind();
    }

    /** Guards the limit on sockets: beyond it, connections wait in the kernel's queue until one ends. */
    private final class Acceptor extends NioSocketAcceptor {
        Acceptor(IoProcessor<NioSession> processor) {
            super(processor);
        }

        @Override
        protected NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel handle)
                throws Exception {
            if (accepted.get() >= most) {
                loop.post(TerminalServer.this::makeRoom);
                Thread.sleep(FULL_PAUSE_MS);
                return null;
            }
            return super.accept(processor, handle);
        }
    }

    private void makeRoom() {
        if (accepted.get() >= most && !resting.isEmpty()) {
            resting.iterator().next().close();
        }
    }

    private void sweep() {
        for (var each : new ArrayList<>(resting)) {
            if (loop.now() - each.restingSince > IDLE_LIMIT) {
                each.close();
            }
        }
        loop.at(loop.now() + SWEEP, this::sweep);
    }

    private static HttpMessage plain(int status, String text) {
        var head = HttpHead.response(status).with("Content-Type", "text/plain; charset=utf-8");
        return new HttpMessage(head, (text + "\n").getBytes(StandardCharsets.UTF_8));
    }

    /** One connection: its requests are taken one after the other. */
    private final class Connection implements Terminal {
        private final IoSession session;
        private final Deque<Arrival> waiting = new ArrayDeque<>();
        private Transaction transaction;
        private boolean busy;
        private boolean asksToClose;
        private boolean closing;
        private long restingSince = loop.now();

        Connection(IoSession session) {
            this.session = session;
        }

        void received(Arrival arrival) {
            if (closing) {
                return;
            }
            if (busy) {
                // Bytes behind a request are kept; no more are read until their turn has come.
                waiting.add(arrival);
                session.suspendRead();
                return;
            }
            busy = true;
            resting.remove(this);
            try {
                take(arrival);
            } catch (RuntimeException e) {
                java.util.logging.Logger.getLogger(TerminalServer.class.getName())
                        .log(java.util.logging.Level.SEVERE, "a request could not be taken", e);
                if (busy) {
                    answer(plain(500, "internal error"));
                }
            }
        }

        private void take(Arrival arrival) {
            if (arrival.message instanceof HttpException e) {
                refuseToUnderstand(e);
                return;
            }
            var request = (HttpMessage) arrival.message;
            asksToClose = request.head().closes();
            var path = request.head().path();
            if (path.equals("/_health")) {
                if (isMethod(request, "GET")) {
                    answer(ready && !draining ? plain(200, "ready") : plain(503, "not ready"));
                }
            } else if (path.equals("/v1/job-events")) {
                if (isMethod(request, "POST")) {
                    takeCallBack(request);
                }
            } else if (path.equals("/api") || path.startsWith("/api/")) {
                if (isMethod(request, "POST")) {
                    takeJob(request, arrival.at);
                }
            } else {
                answer(plain(404, "no such path"));
            }
        }

        private boolean isMethod(HttpMessage request, String method) {
            if (request.head().first().equals(method)) {
                return true;
            }
            var answer = plain(405, method + " only");
            answer.head().with("Allow", method);
            answer(answer);
            return false;
        }

        private void takeCallBack(HttpMessage request) {
            try {
                exchange.calledBack(CallBackReader.read(request.body()));
                answer(new HttpMessage(HttpHead.response(200), HttpMessage.EMPTY));
            } catch (IOException e) {
                answer(plain(400, "call-back: " + e.getMessage()));
            }
        }

        private void takeJob(HttpMessage request, long arrivedAt) {
            try {
                var submission = jobs.read(request, arrivedAt);
                if (!exchange.isFree(submission.txn())) {
                    throw new HttpException(400, "header X-Txn: this one is open already");
                }
                var taken = exchange.submit(submission, this);
                transaction = busy ? taken : null;
            } catch (HttpException e) {
                answer(plain(e.status(), e.getMessage()));
            }
        }

        @Override
        public void served(String result) {
            var head = HttpHead.response(200).with("Content-Type", "application/octet-stream");
            answer(new HttpMessage(head, result.getBytes(StandardCharsets.UTF_8)));
        }

        @Override
        public void refused(long retryAfter) {
            var answer = plain(503, "refused; trying again is harmless");
            if (retryAfter > 0) {
                answer.head().with("Retry-After",
                        String.format(Locale.ROOT, "%.3f", Math.max(0.001, retryAfter / MICROS_PER_S)));
            }
            answer(answer);
        }

        @Override
        public void failed() {
            answer(plain(500, "failed"));
        }

        private void answer(HttpMessage message) {
            busy = false;
            transaction = null;
            boolean last = (draining || asksToClose) && waiting.isEmpty();
            if (last) {
                message.head().with("Connection", "close");
                closing = true;
            }
            write(message);
            if (last) {
                session.closeOnFlush();
            } else if (!waiting.isEmpty()) {
                var next = waiting.poll();
                if (waiting.isEmpty()) {
                    session.resumeRead();
                }
                received(next);
            } else {
                rest();
            }
        }

        private void rest() {
            restingSince = loop.now();
            resting.add(this);
        }

        private void write(HttpMessage message) {
            writing++;
            session.write(message).addListener(future -> loop.post(() -> writing--));
        }

        /** What follows is dropped; the connection stays a moment, as a reset would eat the answer. */
        private void refuseToUnderstand(HttpException e) {
            var answer = plain(e.status(), e.getMessage());
            answer.head().with("Connection", "close");
            closing = true;
            write(answer);
            loop.at(loop.now() + LINGER, session::closeNow);
        }

        void close() {
            closing = true;
            resting.remove(this);
            session.closeOnFlush();
        }

        void ended() {
            open.remove(this);
            resting.remove(this);
            closing = true;
            waiting.clear();
            if (transaction != null) {
                exchange.left(transaction);
                transaction = null;
            }
        }
    }

    /** What came, and when. */
    private record Arrival(Object message, long at) {
    }

    private final class Handler extends IoHandlerAdapter {
        @Override
        public void sessionCreated(IoSession session) {
            accepted.incrementAndGet();
            loop.post(() -> {
                var connection = new Connection(session);
                session.setAttribute(Connection.class, connection);
                open.add(connection);
                resting.add(connection);
            });
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            var arrival = new Arrival(message, clock.now());
            loop.post(() -> of(session).received(arrival));
        }

        @Override
        public void sessionClosed(IoSession session) {
            accepted.decrementAndGet();
            loop.post(() -> of(session).ended());
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            Transport.drop(session);
        }

        private Connection of(IoSession session) {
            return (Connection) session.getAttribute(Connection.class);
        }
    }
}
