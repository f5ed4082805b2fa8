package ryemast.net.terminal;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import ryemast.core.Exchange;
import ryemast.core.Loop;
import ryemast.net.LinkHandler;
import ryemast.net.Transport;
import ryemast.net.http.HttpCodec;

/** The address that clients and the workers' call-backs come to, and the connections made to it. */
public final class TerminalServer {

    private static final int BACKLOG = 1024;
    private static final long SWEEP = 1_000_000;
    private static final long IDLE_LIMIT = 300_000_000;
    private static final long FULL_PAUSE_MS = 5;

    final Loop loop;
    final Exchange exchange;
    final JobReader jobs;
    private final NioSocketAcceptor acceptor;
    private final int most;
    private final AtomicInteger accepted = new AtomicInteger();
    /** Connections between two requests, the one that rests longest first. */
    private final Set<TerminalConnection> resting = new LinkedHashSet<>();
    private final Set<TerminalConnection> open = new LinkedHashSet<>();
    private int writing;
    private boolean ready;
    private boolean draining;

    /** {@code most}: how many connections may be open at once. */
    public TerminalServer(Loop loop, Exchange exchange, Transport transport, JobReader jobs, int most) {
        this.loop = loop;
        this.exchange = exchange;
        this.jobs = jobs;
        this.most = most;
        acceptor = new Acceptor(transport.processor());
        acceptor.setReuseAddress(true);
        acceptor.setBacklog(BACKLOG);
        Transport.setUp(acceptor.getSessionConfig(), acceptor.getFilterChain(), HttpCodec.requests());
        acceptor.setHandler(new Handler());
        loop.at(loop.now() + SWEEP, this::sweep);
    }

    /** Binds the address; the one bound is returned, as a port of 0 means any. */
    public InetSocketAddress listen(InetSocketAddress address) throws IOException {
        acceptor.bind(address);
        return acceptor.getLocalAddress();
    }

    /** From here on the health check says that clients may come. */
    public void ready() {
        ready = true;
    }

    /** From here on it says that they should go elsewhere, and answers end their connections. */
    public void drain() {
        draining = true;
    }

    boolean isReady() {
        return ready && !draining;
    }

    boolean isDraining() {
        return draining;
    }

    /** Whether nothing is half taken or half answered. */
    public boolean isQuiet() {
        return writing == 0 && open.isEmpty();
    }

    /** Ends the connections that have been between two requests for so long, in microseconds. */
    public void closeResting(long restedFor) {
        for (var each : new ArrayList<>(resting)) {
            if (loop.now() - each.restingSince() >= restedFor) {
                each.close();
            }
        }
    }

    public void stop() {
        acceptor.unbind();
    }

    void rests(TerminalConnection connection, boolean resting) {
        if (resting) {
            this.resting.add(connection);
        } else {
            this.resting.remove(connection);
        }
    }

    void ended(TerminalConnection connection) {
        open.remove(connection);
        resting.remove(connection);
    }

    void wrote(int begun) {
        writing += begun;
    }

    private void sweep() {
        closeResting(IDLE_LIMIT);
        loop.at(loop.now() + SWEEP, this::sweep);
    }

    private void makeRoom() {
        if (accepted.get() >= most && !resting.isEmpty()) {
            resting.iterator().next().close();
        }
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
            var session = super.accept(processor, handle);
            if (session != null) {
                accepted.incrementAndGet();
            }
            return session;
        }
    }

    private final class Handler extends LinkHandler {
        Handler() {
            super(TerminalServer.this.loop);
        }

        @Override
        public void sessionCreated(IoSession session) {
            loop.post(() -> {
                var connection = new TerminalConnection(TerminalServer.this, session);
                attach(session, connection);
                open.add(connection);
                resting.add(connection);
            });
        }

        @Override
        public void sessionClosed(IoSession session) {
            accepted.decrementAndGet();
            super.sessionClosed(session);
        }
    }
}
