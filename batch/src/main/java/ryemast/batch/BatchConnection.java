package ryemast.batch;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.logging.Logger;
import org.apache.mina.core.session.IoSession;
import ryemast.core.Note;
import ryemast.net.Link;
import ryemast.wire.Fields;
import ryemast.wire.Frames;
import ryemast.wire.WireException;
import ryemast.wire.Words;

/**
 * One connection of a submitter. The first frame says hello and is answered before any other; so many
 * requests may be under way, and more are not read. Owned by the loop.
 */
final class BatchConnection implements Link {

    private static final Logger LOG = Logger.getLogger(BatchConnection.class.getName());
    private static final int LONGEST_WORD = 200;
    /** How long the words of a denial may take to be read before the connection is cut. */
    private static final long LINGER = 1_000_000;

    private final BatchServer server;
    private final IoSession session;
    private final Deque<Fields> waiting = new ArrayDeque<>();
    private final long beganAt;
    private Identity who;
    private long lastAt;
    private long writtenBytes;
    private long writtenSeenAt;
    private int underWay;
    private boolean suspended;
    private boolean closing;
    private boolean gone;

    BatchConnection(BatchServer server, IoSession session) {
        this.server = server;
        this.session = session;
        beganAt = server.loop.now();
        lastAt = beganAt;
        writtenSeenAt = beganAt;
    }

    /** Null before it has said hello. */
    Identity who() {
        return who;
    }

    @Override
    public void received(Object message, long at) {
        if (closing) {
            return;
        }
        lastAt = at;
        if (message instanceof WireException e) {
            error(null, Words.MALFORMED, e.getMessage());
            closeSoon();
            return;
        }
        waiting.add((Fields) message);
        next();
    }

    private void next() {
        while (!closing && !waiting.isEmpty() && underWay < server.limits.window()) {
            take(waiting.removeFirst());
        }
        if (!suspended && !waiting.isEmpty()) {
            suspended = true;
            session.suspendRead();
        } else if (suspended && waiting.isEmpty()) {
            suspended = false;
            session.resumeRead();
        }
    }

    private void take(Fields request) {
        Long number;
        try {
            number = request.whole(Words.NUMBER, 0, Long.MAX_VALUE);
            if (who == null) {
                hello(number, request);
                return;
            }
        } catch (WireException e) {
            error(null, Words.MALFORMED, e.getMessage());
            closeSoon();
            return;
        }
        underWay++;
        var answer = new Answer(number);
        try {
            server.requests.take(who, request, answer);
        } catch (RuntimeException e) {
            Note.log(LOG, java.util.logging.Level.SEVERE, e, "a batch request failed", "submitter",
                    who.submitter());
            answer.error(Words.TRY_LATER, "an error within the dispatcher; its log has it");
        }
    }

    private void hello(long number, Fields request) throws WireException {
        if (!request.text(Words.TYPE).equals(Words.HELLO)) {
            throw new WireException("t: the first request must be " + Words.HELLO);
        }
        var hello = request.at(Words.HELLO);
        if (!hello.wholes("versions").contains(Words.VERSION)) {
            error(number, Words.DENIED, "this dispatcher speaks version " + Words.VERSION
                    + " of the protocol, which is none of " + hello.wholes("versions"));
            closeSoon();
            return;
        }
        var software = hello.has("software") ? hello.name("software", LONGEST_WORD) : "";
        try {
            var found = server.identify(session);
            who = found;
            Note.info(LOG, "submitter {submitter} of {account} has come ({software})", "submitter",
                    found.submitter(),
                    "account", found.account(), "software", software);
            write(new Fields().with(Words.TYPE, Words.OK).with(Words.NUMBER, number)
                    .with("version", Words.VERSION).with("submitter", found.submitter())
                    .with("account", found.account()).with("window", server.limits.window())
                    .with("longest_frame", Frames.LONGEST).with("idle_us", server.limits.idleLimit()));
        } catch (IOException e) {
            Note.info(LOG, "a submitter is turned away: {why}", "why", e.getMessage());
            error(number, Words.DENIED, e.getMessage());
            closeSoon();
        }
    }

    /** The answer to one request. */
    private final class Answer implements Reply {
        private final long number;
        private boolean given;

        Answer(long number) {
            this.number = number;
        }

        @Override
        public void ok(Fields with) {
            if (!given) {
                given = true;
                underWay--;
                write(with.with(Words.TYPE, Words.OK).with(Words.NUMBER, number));
                server.loop.post(BatchConnection.this::next);
            }
        }

        @Override
        public void error(String code, String message) {
            if (!given) {
                given = true;
                underWay--;
                BatchConnection.this.error(number, code, message);
                server.loop.post(BatchConnection.this::next);
            }
        }

        @Override
        public Object connection() {
            return BatchConnection.this;
        }

        @Override
        public boolean isHeard() {
            return !gone;
        }
    }

    private void error(Long number, String code, String message) {
        write(new Fields().with(Words.TYPE, Words.ERROR).with(Words.NUMBER, number).with("code", code)
                .with("message", message));
    }

    private void write(Fields message) {
        if (gone) {
            return;
        }
        lastAt = server.loop.now();
        var frame = Frames.of(message);
        if (frame.length > Frames.LONGEST + Frames.HEAD) {
            // Guards the peer against a frame that it must take for an attack; pages are made to be shorter.
            frame = Frames.of(new Fields().with(Words.TYPE, Words.ERROR)
                    .with(Words.NUMBER, (Long) longOf(message)).with("code", Words.MALFORMED)
                    .with("message", "the answer would be too long; ask for less"));
        }
        session.write(frame);
    }

    private static Long longOf(Fields message) {
        try {
            return message.whole(Words.NUMBER, 0, Long.MAX_VALUE);
        } catch (WireException e) {
            return null;
        }
    }

    /** It may not stay. */
    void deny(String why) {
        error(null, Words.DENIED, why);
        closeSoon();
    }

    private void closeSoon() {
        closing = true;
        waiting.clear();
        session.closeOnFlush();
        server.loop.at(server.loop.now() + LINGER, session::closeNow);
    }

    void close() {
        closing = true;
        session.closeOnFlush();
        server.loop.at(server.loop.now() + LINGER, session::closeNow);
    }

    /** Guards the places against those who say nothing, trickle, or do not read. */
    void checkPace() {
        if (closing) {
            return;
        }
        long now = server.loop.now();
        long writtenAt = writtenAt(now);
        var limits = server.limits;
        if (who == null && now - beganAt >= limits.helloLimit()) {
            end("it has not said hello in time");
        } else if (FrameCodec.insideFor(session) >= limits.frameLimit()) {
            end("its frame was not whole in time");
        } else if (session.getScheduledWriteBytes() > 0 && now - writtenAt >= limits.frameLimit()
                && now - lastAt >= limits.frameLimit()) {
            end("it does not read what it is told");
        } else if (underWay == 0 && now - lastAt >= limits.idleLimit()) {
            end(null);
        } else if (!suspended && session.isReadSuspended() && session.getScheduledWriteBytes() == 0) {
            session.resumeRead();
        }
    }

    /**
     * When it was last seen that bytes had left or that none had to: not as the session tells it, whose time
     * is the wall clock's.
     */
    private long writtenAt(long now) {
        if (session.getWrittenBytes() != writtenBytes || session.getScheduledWriteBytes() == 0) {
            writtenBytes = session.getWrittenBytes();
            writtenSeenAt = now;
        }
        return writtenSeenAt;
    }

    private void end(String why) {
        if (why != null) {
            Note.info(LOG, "a submitter's connection is ended: {why}", "why", why);
        }
        closing = true;
        session.closeNow();
    }

    @Override
    public void ended() {
        gone = true;
        closing = true;
        waiting.clear();
        server.ended(this);
    }
}
