package ryemast.net.client;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.SocketAccess;
import ryemast.core.Clock;
import ryemast.core.Note;
import ryemast.core.Submission;
import ryemast.core.Terminal;
import ryemast.core.Transaction;
import ryemast.net.Link;
import ryemast.net.http.HttpCodec;
import ryemast.net.http.HttpException;
import ryemast.net.http.HttpHead;
import ryemast.net.http.HttpMessage;

/**
 * One connection of a client, or of a worker that calls back: its requests are taken one by one.
 *
 * <p>We end a connection only where nothing was read from it that is owed an answer. Only the thread that
 * reads can know that, and only while it does not read: so an end is first a mark behind all that is written,
 * and where that thread comes to the mark it reads no further, looks, and either ends the connection or lets
 * it stay. After a last answer our side alone is shut, for a moment: to close the other side over bytes that
 * have come would reset the connection, and the answer could be lost on its way.
 */
final class ClientConnection implements Terminal, Link {

    private static final Logger LOG = Logger.getLogger(ClientConnection.class.getName());
    private static final double MICROS_PER_S = 1e6;
    private static final int BYTES_PER_KB = 1024;
    /** How long the client's side stays open after a last answer, in microseconds: longer than ways are. */
    static final long ANSWER_TRAVELS = 200_000;
    /** How long a client may take to read some of what is written to it, in microseconds. */
    private static final long LONGEST_WRITE = 60_000_000;

    /** So long a job waits until its client is known to be there, and from look to look; microseconds. */
    private static final long LONGEST_HELD = 500_000;
    private static final long HELD_AGAIN = 5_000;

    private static final String NAME_USED = "header X-Txn: this one was used before";

    private enum Phase {
        OPEN,
        /** A mark is on its way behind which nothing is written. */
        ENDING,
        /** The request was at fault: what follows is dropped unread. */
        TURNED_AWAY,
        GONE
    }

    private final ClientServer server;
    private final IoSession session;
    private final PipelinedRequests waiting;
    private Phase phase = Phase.OPEN;
    private Transaction transaction;
    private boolean busy;
    /** The request that is served; null for none. */
    private Object served;
    private boolean asksToClose;
    private final UnwrittenAnswers unwritten;
    /** Set on the loop before the mark is written, read where it is reached. */
    private volatile HttpCodec.Mark endMark;
    private volatile long endsAfter;
    private volatile boolean hasLastAnswer;
    /** Nothing whole has come yet. */
    private boolean silent = true;
    /** Neither a job nor a call-back has come yet. */
    private boolean stranger = true;
    private long restingSince;
    /** How many requests the thread that reads has handed over. */
    private long handedOver;
    /** How many of them were begun, those that could not be read left out. */
    private long begun;

    ClientConnection(ClientServer server, IoSession session) {
        this.server = server;
        this.session = session;
        waiting = new PipelinedRequests(server.pipelined);
        unwritten = new UnwrittenAnswers(server.unwritten);
        restingSince = server.loop.now();
    }

    long restingSince() {
        return restingSince;
    }

    /**
     * Whether a request is on its way that was read in part, or that is whole and not yet handed over; none
     * once it has been under way for longer than this, in microseconds.
     */
    boolean isAsked(long longest) {
        long inside = HttpCodec.insideFor(session);
        boolean inTime = inside > 0 && inside < longest;
        return phase == Phase.OPEN && (inTime || hasUnhandled());
    }

    @Override
    public void received(Object message, long at) {
        if (message == HttpCodec.NOT_READ) {
            notRead();
            return;
        }
        handedOver++;
        if (phase == Phase.TURNED_AWAY || phase == Phase.GONE) {
            server.memory.release(message);
            return;
        }
        // What crosses the mark of an end lets the connection stay; it is taken then.
        if (mayBegin() && waiting.isEmpty()) {
            begin(message, at);
        } else if (!waiting.add(message, at)) {
            giveUp("too many requests at once");
        }
    }

    /** Nobody would see the client leave any more: the request that is served ends. */
    private void notRead() {
        if (phase == Phase.OPEN || phase == Phase.ENDING) {
            giveUp("too much behind what can't be understood");
        }
    }

    @Override
    public Presence presence() {
        return ClientPresence.of(session, begun);
    }

    /** The client sends without end: the request that is served ends, too. */
    private void giveUp(String why) {
        Note.info(LOG, "{peer}: {why}; its request is not served on", "peer", session.getRemoteAddress(),
                "why", why);
        if (transaction != null) {
            server.exchange.left(transaction);
            transaction = null;
        }
        busy = false;
        turnAway(400, why);
    }

    /** Nothing is taken while too many answers wait for the client to read the ones before. */
    private boolean mayBegin() {
        return phase == Phase.OPEN && !busy && !unwritten.isFull();
    }

    /** The turn of the first that waits; nothing does any more if the connection has ended meanwhile. */
    private void next() {
        var next = mayBegin() ? waiting.next() : null;
        if (next != null) {
            begin(next.message(), next.at());
        }
    }

    private void begin(Object message, long at) {
        busy = true;
        silent = false;
        served = message;
        begun += message instanceof HttpException ? 0 : 1;
        server.works(this);
        try {
            take(message, at);
        } catch (RuntimeException e) {
            LOG.log(Level.SEVERE, "a request could not be taken", e);
            if (busy) {
                answer(plain(500, "internal error"));
            }
        }
    }

    private void take(Object message, long at) {
        if (message instanceof HttpException e) {
            turnAway(e.status(), e.getMessage());
            return;
        }
        if (message == PipelinedRequests.NOT_KEPT) {
            server.counts.notKept();
            refused(0, false);
            return;
        }
        var request = (HttpMessage) message;
        asksToClose = request.head().closes();
        var path = request.head().path();
        if (path.equals("/_health")) {
            if (isMethod(request, "GET")) {
                answer(server.isReady() ? plain(200, "ready") : plain(503, "not ready"));
            }
        } else if (path.equals("/v1/job-events")) {
            if (isMethod(request, "POST")) {
                takeCallBack(request);
            }
        } else if (path.equals("/api") || path.startsWith("/api/")) {
            if (isMethod(request, "POST")) {
                takeJob(request, at);
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
            server.exchange.calledBack(CallBackReader.read(request.body()));
            stranger = false;
            answer(new HttpMessage(HttpHead.response(200), HttpMessage.EMPTY));
        } catch (IOException e) {
            turnAway(400, "call-back: " + e.getMessage());
        }
    }

    private void takeJob(HttpMessage request, long arrivedAt) {
        try {
            var submission = server.jobs.read(request, arrivedAt);
            if (!server.exchange.isFree(submission.txn())) {
                throw new HttpException(400, NAME_USED);
            }
            stranger = false;
            if (server.isRefusing()) {
                refused(0, false);
            } else {
                submit(submission, server.loop.now() + LONGEST_HELD);
            }
        } catch (HttpException e) {
            turnAway(e.status(), e.getMessage());
        }
    }

    /** Waits until it is known that the client is there; where it goes on sending, its job is refused. */
    private void submit(Submission submission, long heldUntil) {
        if (presence() == Presence.PRESENT) {
            transaction = server.exchange.submit(submission, this);
        } else if (server.loop.now() >= heldUntil) {
            server.counts.sentOn();
            refused(0, false);
        } else {
            var held = served;
            server.loop.at(server.loop.now() + HELD_AGAIN, () -> {
                if (served == held && held != null) {
                    submitHeld(submission, heldUntil);
                }
            });
        }
    }

    private void submitHeld(Submission submission, long heldUntil) {
        if (!server.exchange.isFree(submission.txn())) {
            turnAway(400, NAME_USED);
        } else if (server.isRefusing()) {
            refused(0, false);
        } else {
            submit(submission, heldUntil);
        }
    }

    @Override
    public void served(String result) {
        var head = HttpHead.response(200).with("Content-Type", "application/octet-stream");
        answer(new HttpMessage(head, result.getBytes(StandardCharsets.UTF_8)));
    }

    @Override
    public void refused(long retryAfter, boolean mayHaveRun) {
        var answer = plain(503, "refused; trying again is harmless");
        if (retryAfter > 0) {
            answer.head().with("Retry-After", seconds(retryAfter));
        }
        answer(answer);
    }

    @Override
    public void failed() {
        answer(plain(500, "failed"));
    }

    static String seconds(long micros) {
        return String.format(Locale.ROOT, "%.3f", Math.max(0.001, micros / MICROS_PER_S));
    }

    private static HttpMessage plain(int status, String text) {
        var head = HttpHead.response(status).with("Content-Type", "text/plain; charset=utf-8");
        return new HttpMessage(head, (text + "\n").getBytes(StandardCharsets.UTF_8));
    }

    private void answer(HttpMessage message) {
        busy = false;
        transaction = null;
        releaseServed();
        // A request that came in behind this one has been taken: it is answered before the end.
        boolean last = (server.isDraining() || asksToClose) && waiting.isEmpty()
                && !isAsked(server.tuning.longestRequest());
        if (last) {
            message.head().with("Connection", "close");
        }
        write(message);
        if (last) {
            end(true);
        } else {
            goOn();
        }
    }

    private void releaseServed() {
        server.memory.release(served);
        served = null;
    }

    /** To the next request, or to a rest. */
    private void goOn() {
        if (waiting.isEmpty()) {
            restingSince = server.loop.now();
            server.rests(this, stranger);
        } else {
            server.loop.post(this::next);
        }
    }

    /** Written as bytes, as the message itself would be held beside them until they have left. */
    private void write(HttpMessage message) {
        var bytes = HttpCodec.bytes(message);
        unwritten.add(bytes.length, session.getWrittenBytes(), server.loop.now());
        session.write(IoBuffer.wrap(bytes))
                .addListener(future -> server.loop.post(() -> written(bytes.length)));
        server.endUnread();
    }

    /** Not to be counted where the connection is gone: what had not left by then never will. */
    private void written(int length) {
        if (phase != Phase.GONE) {
            unwritten.left(length, server.loop.now());
            next();
        }
    }

    /**
     * Guards the others against a client whose request is at fault: it gets its answer, and all that follows
     * is dropped unread, however much it is. The connection stays a moment, as a reset would eat the answer.
     */
    private void turnAway(int status, String why) {
        var answer = plain(status, why);
        answer.head().with("Connection", "close");
        phase = Phase.TURNED_AWAY;
        server.counts.turnedAway(status);
        releaseServed();
        waiting.clear();
        HttpCodec.ignoreRest(session);
        write(answer);
        restingSince = server.loop.now();
        server.rests(this, true);
        server.loop.at(server.loop.now() + server.tuning.linger(), session::closeNow);
    }

    /** For how long a request has been under way that is not whole, in microseconds. */
    long insideFor() {
        return phase == Phase.OPEN && !busy && waiting.isEmpty() && !hasUnhandled()
                ? HttpCodec.insideFor(session) : 0;
    }

    /** Whether a request is whole and on its way from the thread that reads: it is owed its answer. */
    private boolean hasUnhandled() {
        return HttpCodec.whole(session) > handedOver;
    }

    /** Refuses the request that is not whole, as others need the memory. */
    void shed() {
        turnAway(503, "too much is being received; trying again is harmless");
    }

    /** Guards the sockets against clients that do not read what is written to them. */
    void checkWriting() {
        lookWhetherRead();
        if (unreadFor() > LONGEST_WRITE) {
            session.closeNow();
        }
    }

    /** Looks whether the client has read any of what waits for it since it was looked last. */
    void lookWhetherRead() {
        unwritten.look(session.getWrittenBytes(), server.loop.now());
    }

    /** For how long the client has read none of the answers that wait for it, in microseconds. */
    long unreadFor() {
        return unwritten.stuckFor(server.loop.now());
    }

    /** Ends the connection with the answers that its client does not read; how many bytes they held. */
    long endUnread() {
        long held = unwritten.bytes();
        Note.info(LOG, "{peer}: it has read none of its answers for {unread_ms} ms, which hold {held_kb} KB;"
                + " its connection ends, as all answers hold too much", "peer", session.getRemoteAddress(),
                "unread_ms", unreadFor() / Clock.MICROS_PER_MS, "held_kb", held / BYTES_PER_KB);
        session.closeNow();
        ended();
        return held;
    }

    /** Guards the sockets against clients that say nothing, or never end; for one between two requests. */
    void checkPace() {
        long inside = HttpCodec.insideFor(session);
        long rested = server.loop.now() - restingSince;
        long slow = silent ? rested : Math.min(rested, inside);
        if (phase != Phase.OPEN || slow < server.tuning.longestRequest() || hasUnhandled()) {
            return;
        }
        if (inside > 0) {
            turnAway(408, "the request was not whole in time");
        } else {
            close();
        }
    }

    /** Ends a connection that is between two requests, unless one comes first. */
    void close() {
        if (phase == Phase.OPEN) {
            end(false);
        } else {
            server.leaves(this);
            session.closeOnFlush();
        }
    }

    private void end(boolean lastAnswer) {
        phase = Phase.ENDING;
        server.leaves(this);
        endsAfter = handedOver;
        hasLastAnswer = lastAnswer;
        endMark = new HttpCodec.Mark();
        session.write(endMark);
    }

    /**
     * Something that was written has left; told on the thread that reads. At the mark nothing more is read,
     * so that what is found here stays true, and a request that comes later comes to nobody.
     */
    void left(Object message) {
        if (message != endMark) {
            return;
        }
        session.suspendRead();
        if (HttpCodec.insideFor(session) > 0 || HttpCodec.whole(session) > endsAfter) {
            session.resumeRead();
            server.loop.post(this::stay);
        } else if (hasLastAnswer) {
            shutOutput();
        } else {
            session.closeNow();
        }
    }

    private void shutOutput() {
        try {
            SocketAccess.shutOutput(session);
            server.loop.post(() -> server.loop.at(server.loop.now() + ANSWER_TRAVELS, session::closeNow));
        } catch (IOException e) {
            session.closeNow();
        }
    }

    /** A request has crossed the end: it is served, and the connection may be ended after it. */
    private void stay() {
        if (phase == Phase.ENDING) {
            phase = Phase.OPEN;
            server.stays(this);
            goOn();
        }
    }

    /** The connection is gone: a client that still waited has left. */
    @Override
    public void ended() {
        server.ended(this);
        unwritten.clear();
        phase = Phase.GONE;
        releaseServed();
        waiting.clear();
        if (transaction != null) {
            server.counts.left();
            server.exchange.left(transaction);
            transaction = null;
        }
    }
}
