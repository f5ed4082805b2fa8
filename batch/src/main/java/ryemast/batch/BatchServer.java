package ryemast.batch;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.security.cert.Certificate;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Logger;
import javax.net.ssl.SSLPeerUnverifiedException;
import javax.net.ssl.SSLSession;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.filter.codec.ProtocolCodecFilter;
import org.apache.mina.filter.ssl.SslFilter;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import ryemast.core.Loop;
import ryemast.core.Note;
import ryemast.net.LinkHandler;
import ryemast.net.Transport;
import ryemast.wire.Frames;

/**
 * Where submitters connect. Guarantees that strangers cost little: so many connections at once, a place for
 * each only until it has said in time who it is; a frame must be whole in time, and one that does not read
 * what it is told is dropped. It has a selector of its own, as a handshake takes milliseconds that clients'
 * jobs would wait.
 */
final class BatchServer {

    private static final Logger LOG = Logger.getLogger(BatchServer.class.getName());
    private static final long SWEEP = 250_000;
    private static final long FULL_PAUSE_MS = 5;
    private static final int BACKLOG = 128;

    final Loop loop;
    final Requests requests;
    final Waits waits;
    final BatchSettings.Limits limits;
    private final JobKinds kinds;
    private final NioSocketAcceptor acceptor;
    private final AtomicInteger accepted = new AtomicInteger();
    private final Set<BatchConnection> open = new LinkedHashSet<>();
    private Tls tls;
    private boolean ending;

    BatchServer(Loop loop, Requests requests, Waits waits, JobKinds kinds, BatchSettings.Limits limits,
            Tls tls) {
        this.loop = loop;
        this.requests = requests;
        this.waits = waits;
        this.kinds = kinds;
        this.limits = limits;
        this.tls = tls;
        acceptor = new Acceptor(new Transport().processor());
        acceptor.setReuseAddress(true);
        acceptor.setBacklog(BACKLOG);
        var config = acceptor.getSessionConfig();
        config.setTcpNoDelay(true);
        config.setKeepAlive(true);
        config.setMaxReadBufferSize(1 << 16);
        acceptor.getFilterChain().addLast("tls", filter(tls));
        acceptor.getFilterChain().addLast("frames", new ProtocolCodecFilter(new FrameCodec()));
        acceptor.setHandler(new Handler());
    }

    private static SslFilter filter(Tls tls) {
        var filter = new SslFilter(tls.context());
        filter.setNeedClientAuth(true);
        filter.setEnabledProtocols("TLSv1.3");
        return filter;
    }

    InetSocketAddress listen(InetSocketAddress address) throws IOException {
        acceptor.bind(address);
        loop.post(() -> loop.at(loop.now() + SWEEP, this::sweep));
        return acceptor.getLocalAddress();
    }

    /** New connections are met with these; those that may come in no more are ended, and others stay. */
    void keys(Tls next) {
        tls = next;
        acceptor.getFilterChain().replace("tls", filter(next));
        List.copyOf(open).forEach(this::checkKey);
    }

    /** What an address may come to is over: nothing new is taken, and what waits is told so. */
    void end() {
        ending = true;
        requests.end();
    }

    boolean isEnding() {
        return ending;
    }

    /** Ends all connections, once what was written has left. */
    void stop() {
        acceptor.unbind();
        List.copyOf(open).forEach(BatchConnection::close);
    }

    int connections() {
        return open.size();
    }

    /** An {@link IOException} says in words why the peer may not come in. */
    Identity identify(IoSession session) throws IOException {
        Certificate[] chain;
        try {
            chain = session.getAttribute(SslFilter.SSL_SECURED) instanceof SSLSession secured
                    ? secured.getPeerCertificates() : new Certificate[0];
        } catch (SSLPeerUnverifiedException e) {
            throw new IOException("no certificate was shown", e);
        }
        if (chain.length == 0) {
            throw new IOException("no certificate was shown");
        }
        var who = Tls.identity(chain[0], kinds);
        var why = tls.denies(who, System.currentTimeMillis());
        if (why != null) {
            throw new IOException(why);
        }
        return who;
    }

    private void checkKey(BatchConnection connection) {
        var who = connection.who();
        var why = who == null ? null : tls.denies(who, System.currentTimeMillis());
        if (why != null) {
            Note.info(LOG, "submitter {submitter} is turned away: {why}", "submitter", who.submitter(), "why",
                    why);
            connection.deny(why);
        }
    }

    void ended(BatchConnection connection) {
        open.remove(connection);
        waits.ended(connection);
    }

    private void sweep() {
        List.copyOf(open).forEach(each -> {
            each.checkPace();
            checkKey(each);
        });
        loop.at(loop.now() + SWEEP, this::sweep);
    }

    /** Beyond the limit, connections wait in the kernel's queue until one ends. */
    private final class Acceptor extends NioSocketAcceptor {
        Acceptor(IoProcessor<NioSession> processor) {
            super(processor);
        }

        @Override
        protected NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel handle)
                throws Exception {
            if (accepted.get() >= limits.connections()) {
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
            super(BatchServer.this.loop);
        }

        @Override
        public void sessionCreated(IoSession session) {
            loop.post(() -> {
                var connection = new BatchConnection(BatchServer.this, session);
                attach(session, connection);
                open.add(connection);
            });
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            // As long as a frame may be, several of them must not be held for one that asks and asks.
            super.messageReceived(session, message);
            if (session.getScheduledWriteBytes() > 4L * Frames.LONGEST) {
                session.suspendRead();
            }
        }

        @Override
        public void sessionClosed(IoSession session) {
            accepted.decrementAndGet();
            super.sessionClosed(session);
        }
    }
}
