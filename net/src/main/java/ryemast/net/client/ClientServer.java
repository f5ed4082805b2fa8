package ryemast.net.client;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import java.util.stream.Stream;
import org.apache.mina.core.RuntimeIoException;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.SocketSessionConfig;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.SocketAcceptor;
import org.apache.mina.transport.socket.nio.SocketAccess;
import org.apache.mina.transport.socket.nio.SocketProcessor;
import ryemast.core.Exchange;
import ryemast.core.Loop;
import ryemast.core.Note;
import ryemast.net.LinkHandler;
import ryemast.net.Transport;
import ryemast.net.http.HttpCodec;
import ryemast.net.http.MessageMemory;

/** The address that clients and the workers' call-backs come to, and the connections made to it. */
public final class ClientServer {

    /** How often connections that have rested for too long are looked for, in microseconds. */
    public static final long SWEEP = 250_000;
    /** How long the acceptor waits before it looks again for room. */
    public static final long FULL_PAUSE_MS = 1;
    /**
     * How long it waits after the system could not accept, as for want of descriptors or buffers: who waits
     * meanwhile waits in the kernel's queue, and MINA would wait for a second.
     */
    private static final long FAILED_PAUSE_MS = 5;
    private static final long FIRST_FAILED_PAUSE_MS = 1;
    private static final AttributeKey PACE = new AttributeKey(ClientServer.class, "pace");
    private static final Logger LOG = Logger.getLogger(ClientServer.class.getName());
    /**
     * For so long a request that is read in part keeps its connection where room is short, in microseconds;
     * a crowd that never ends its requests must not keep call-backs out for longer.
     */
    private static final long UNDER_WAY = 500_000;
    /** So many unfinished requests are refused at once where memory is short. */
    private static final int SHED_AT_ONCE = 8;

    final Loop loop;
    final Exchange exchange;
    final JobReader jobs;
    final ClientTuning tuning;
    final MessageMemory memory = MessageMemory.ofHeap();
    final PipelinedRequests.Budget pipelined = new PipelinedRequests.Budget(memory);
    final UnwrittenAnswers.Budget unwritten = new UnwrittenAnswers.Budget(memory);
    final ClientCounts counts;
    private final SocketAcceptor acceptor;
    private final int most;
    /** Those that were accepted and whose end was not told yet; changed by the threads that see them. */
    private final Set<IoSession> accepted = ConcurrentHashMap.newKeySet();
    /** Those between two requests on which no job or call-back has come yet, the longest at rest first. */
    private final Set<ClientConnection> strangers = new LinkedHashSet<>();
    /** Those between two requests on which one has come, in the same order. */
    private final Set<ClientConnection> resting = new LinkedHashSet<>();
    private final Set<ClientConnection> open = new LinkedHashSet<>();
    /** Those of the open ones that end as soon as what was written has left. */
    private final Set<ClientConnection> leaving = new HashSet<>();
    /** Clients that read nothing are to be looked for in a later step of the loop. */
    private boolean endsUnread;
    private boolean ready;
    private boolean draining;
    private boolean refusing;

    /** {@code most}: how many connections may be open at once. */
    public ClientServer(Loop loop, Exchange exchange, Transport transport, JobReader jobs, int most,
            ClientTuning tuning) {
        this.loop = loop;
        this.exchange = exchange;
        this.jobs = jobs;
        this.most = most;
        this.tuning = tuning;
        counts = new ClientCounts(loop, memory);
        acceptor = new Acceptor(transport.processor());
        acceptor.setReuseAddress(true);
        acceptor.setCloseOnDeactivation(false);
        acceptor.setBacklog(tuning.backlog());
        Transport.setUpWithoutOptions(acceptor.getSessionConfig(), acceptor.getFilterChain(),
                HttpCodec.requests(memory, JobReader.HEADERS));
        acceptor.setHandler(new Handler());
        memory.whenFull(() -> loop.post(this::shedUnfinished));
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

    boolean isRefusing() {
        return refusing;
    }

    /** Whether nothing is half taken or half answered, and nobody has come who is not known here yet. */
    public boolean isQuiet() {
        return unwritten.isEmpty() && open.isEmpty() && accepted.isEmpty();
    }

    /** Ends the connections that have been between two requests for so long, in microseconds. */
    public void closeResting(long restedFor) {
        betweenRequests().filter(each -> restedFor(each, restedFor) && !each.isAsked(tuning.longestRequest()))
                .forEach(ClientConnection::close);
    }

    private boolean restedFor(ClientConnection connection, long time) {
        return loop.now() - connection.restingSince() >= time;
    }

    /** Strangers first; of a copy, as what is done to a connection may move it. */
    private Stream<ClientConnection> betweenRequests() {
        var found = new ArrayList<>(strangers);
        found.addAll(resting);
        return found.stream();
    }

    /** From here on new jobs are refused. */
    public void refuse() {
        refusing = true;
    }

    /** Nobody can come any more, also no call-back: those who have come stay, but their jobs are refused. */
    public void stop() {
        refuse();
        acceptor.unbind();
    }

    void works(ClientConnection connection) {
        strangers.remove(connection);
        resting.remove(connection);
    }

    void rests(ClientConnection connection, boolean stranger) {
        works(connection);
        (stranger ? strangers : resting).add(connection);
    }

    void leaves(ClientConnection connection) {
        works(connection);
        leaving.add(connection);
    }

    void stays(ClientConnection connection) {
        leaving.remove(connection);
    }

    void ended(ClientConnection connection) {
        works(connection);
        open.remove(connection);
        leaving.remove(connection);
    }

    private void sweep() {
        closeResting(tuning.idleLimit());
        betweenRequests().forEach(ClientConnection::checkPace);
        open.forEach(ClientConnection::checkWriting);
        endUnread();
        accepted.removeIf(session -> !SocketAccess.isOpen(session));
        loop.at(loop.now() + SWEEP, this::sweep);
    }

    /**
     * Guards good clients and call-backs against a crowd: strangers go first, while some places are still
     * free. A young one is spared, as its first request may be on its way and would fail; where there are
     * only such, the next newcomer waits for one to age. Others go only where there is no stranger.
     */
    private void makeRoom() {
        int staying = open.size() - leaving.size();
        long over = staying - (most - Math.max(1, most / tuning.freeShare()));
        if (over > 0) {
            strangers.stream().filter(each -> restedFor(each, tuning.young()) && !each.isAsked(UNDER_WAY))
                    .limit(over).toList().forEach(ClientConnection::close);
        }
        if (staying >= most && strangers.isEmpty()) {
            resting.stream().filter(each -> !each.isAsked(UNDER_WAY)).limit(1).toList()
                    .forEach(ClientConnection::close);
        }
    }

    private static ReadPace pace(IoSession session) {
        var pace = (ReadPace) session.getAttribute(PACE);
        if (pace == null) {
            pace = new ReadPace();
            session.setAttribute(PACE, pace);
        }
        return pace;
    }

    /** Those in the middle of a request for longest go first, as they may have stopped there. */
    void shedUnfinished() {
        open.stream().filter(each -> each.insideFor() > UNDER_WAY)
                .sorted(Comparator.comparingLong(ClientConnection::insideFor).reversed())
                .limit(SHED_AT_ONCE).toList().forEach(ClientConnection::shed);
        memory.madeRoom();
    }

    /** Has clients ended that read none of their answers, where all answers hold too much together. */
    void endUnread() {
        if (unwritten.isOver() && !endsUnread) {
            endsUnread = true;
            loop.post(this::endLongestUnread);
        }
    }

    /** Those that have read nothing for longest go first, until the others' answers are within the bound. */
    private void endLongestUnread() {
        endsUnread = false;
        var unread = new ArrayList<>(open);
        unread.forEach(ClientConnection::lookWhetherRead);
        unread.sort(Comparator.comparingLong(ClientConnection::unreadFor).reversed());
        for (var each : unread) {
            if (!unwritten.ends(each.unreadFor())) {
                return;
            }
            counts.unread(each.endUnread());
        }
    }

    /** Guards the limit on sockets: beyond it, connections wait in the kernel's queue until one ends. */
    private final class Acceptor extends SocketAcceptor {
        private final IoProcessor<NioSession> processor;
        /** How long to wait after the next accept that fails: not at all, then longer with each in a row. */
        private long pauseMs;

        Acceptor(IoProcessor<NioSession> processor) {
            super(processor);
            this.processor = processor;
        }

        /** Takes in whoever waits in the kernel's queue: closing the listener would reset them unanswered. */
        @Override
        protected void close(ServerSocketChannel handle) throws Exception {
            for (var next = accept(processor, handle); next != null; next = accept(processor, handle)) {
                initSession(next, null, null);
                processor.add(next);
            }
            super.close(handle);
        }

        @Override
        protected NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel handle)
                throws Exception {
            if (accepted.size() >= most) {
                loop.post(ClientServer.this::makeRoom);
                Thread.sleep(FULL_PAUSE_MS);
                return null;
            }
            var socket = next(handle);
            if (socket == null) {
                return null;
            }
            var session = session(socket);
            accepted.add(session);
            return session;
        }

        /** Served without its options where the system can't set them, as a client waits for its answer. */
        private NioSession session(SocketChannel socket) {
            var session = SocketAccess.session(this, processor, socket);
            try {
                Transport.setOptions((SocketSessionConfig) session.getConfig());
            } catch (RuntimeIoException e) {
                Note.warning(LOG, "the options of a connection could not be set: {why}", "why",
                        e.getMessage());
            }
            return session;
        }

        /** Null if nobody waits, or the system can't let anybody in just now. */
        private SocketChannel next(ServerSocketChannel handle) throws InterruptedException, IOException {
            try {
                var socket = handle.accept();
                pauseMs = 0;
                return socket;
            } catch (ClosedChannelException e) {
                throw e;
            } catch (IOException e) {
                Note.warning(LOG, "a connection could not be accepted, and is tried again: {why}", "why",
                        e.getMessage());
                Thread.sleep(pauseMs);
                pauseMs = Math.min(FAILED_PAUSE_MS, Math.max(FIRST_FAILED_PAUSE_MS, 2 * pauseMs));
                return null;
            }
        }
    }

    private final class Handler extends LinkHandler {
        Handler() {
            super(ClientServer.this.loop);
        }

        @Override
        public void sessionCreated(IoSession session) {
            loop.post(() -> {
                var connection = new ClientConnection(ClientServer.this, session);
                attach(session, connection);
                open.add(connection);
                rests(connection, true);
                makeRoom();
            });
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            super.messageReceived(session, message);
            if (pace(session).isTooFast(loop.clock(), session.getReadBytes()) && !session.isReadSuspended()) {
                SocketProcessor.pause(session, TimeUnit.MICROSECONDS.toNanos(ReadPace.STEP));
                counts.readInSteps();
            }
        }

        @Override
        public void messageSent(IoSession session, Object message) {
            if (link(session) instanceof ClientConnection connection) {
                connection.left(message);
            }
        }

        @Override
        public void sessionClosed(IoSession session) {
            accepted.remove(session);
            super.sessionClosed(session);
        }
    }
}
