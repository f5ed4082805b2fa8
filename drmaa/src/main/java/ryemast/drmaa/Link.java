package ryemast.drmaa;

import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLException;
import javax.net.ssl.SSLHandshakeException;
import javax.net.ssl.SSLSocket;
import ryemast.wire.Fields;
import ryemast.wire.Frames;
import ryemast.wire.WireException;
import ryemast.wire.Words;

/**
 * A connection to the dispatcher that comes back by itself. Guarantees that a call ends with the
 * dispatcher's answer, or in time with an exception; where a connection ends before the answer has come,
 * the same request goes out again on the next one, since every request of the protocol may be asked twice:
 * a submission bears the submitter's own id, and the others change nothing the second time. {@link
 * Call#askedAgain} tells where that alters what an answer means. Safe for several threads; a thread of its
 * own reads.
 */
final class Link implements AutoCloseable {

    static final long FOR_EVER = Long.MAX_VALUE;
    private static final int CONNECT_MS = 5_000;
    private static final long FIRST_PAUSE_MS = 20;
    private static final long LONGEST_PAUSE_MS = 250;
    private static final int BUFFER = 16 * 1024;
    private static final String SOFTWARE = "ryemast-drmaa 1.0";

    /**
     * An answer.
     *
     * @param askedAgain  the request had gone out before, and what came of that is not known
     */
    record Call(Fields answer, boolean askedAgain) {
    }

    private final Contact contact;
    private final SSLContext context;
    private final long patienceMs;
    private Wire wire;
    private long lastNumber;
    private boolean closed;

    /** {@code patienceMs}: how long one call goes on trying to reach the dispatcher. */
    Link(Contact contact, long patienceMs) throws AuthorizationException {
        this.contact = contact;
        this.patienceMs = patienceMs;
        context = Keys.context(contact.keys());
    }

    /** One connection, from its hello to its end. */
    private final class Wire {
        private final SSLSocket socket;
        private final OutputStream out;
        private final Map<Long, Fields> answers = new HashMap<>();
        private String denied;
        private boolean broken;

        Wire(SSLSocket socket) throws IOException {
            this.socket = socket;
            out = socket.getOutputStream();
        }

        void send(Fields request) throws IOException {
            var frame = Frames.of(request);
            synchronized (out) {
                out.write(frame);
                out.flush();
            }
        }

        void read() {
            var frames = new Frames(Frames.LONGEST);
            var buffer = new byte[BUFFER];
            try (var in = socket.getInputStream()) {
                for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                    frames.take(buffer, 0, count, this::take);
                }
            } catch (SSLException e) {
                // In TLS 1.3 a server that turns a key away says so after the client's own handshake is over.
                synchronized (this) {
                    denied = e.getMessage() != null && e.getMessage().contains("fatal alert")
                            ? "the dispatcher turned the key in " + contact.keys() + " away: "
                                    + e.getMessage()
                            : denied;
                }
            } catch (IOException | WireException e) {
                // Whoever waits asks again.
            } finally {
                end();
            }
        }

        private synchronized void take(Fields answer) {
            try {
                if (answer.has(Words.NUMBER)) {
                    answers.put(answer.whole(Words.NUMBER, 0, Long.MAX_VALUE), answer);
                } else if (Words.DENIED.equals(answer.text("code", ""))) {
                    denied = answer.text("message", "denied");
                }
            } catch (WireException e) {
                broken = true;
            }
            notifyAll();
        }

        synchronized void end() {
            broken = true;
            notifyAll();
            try {
                socket.close();
            } catch (IOException e) {
                // It is ended either way.
            }
        }

        synchronized boolean isBroken() {
            return broken;
        }

        /** Null if the connection ended first; throws nothing when the time is over: then it is null, too. */
        synchronized Fields await(long number, long until) throws InterruptedException,
                AuthorizationException {
            while (!answers.containsKey(number) && !broken) {
                long left = until == FOR_EVER ? FOR_EVER : until - System.nanoTime();
                if (left <= 0) {
                    return null;
                }
                wait(Math.max(1, Math.min(60_000, TimeUnit.NANOSECONDS.toMillis(left))));
            }
            var answer = answers.remove(number);
            if (answer == null && denied != null) {
                throw new AuthorizationException(denied);
            }
            return answer;
        }
    }

    /**
     * Asks, and waits for the answer. {@code answerMs}: how long the answer itself may take at most, beside
     * the time that it takes to reach the dispatcher; an answer of an error is an answer.
     */
    Call ask(Fields request, long answerMs) throws DrmaaException {
        boolean again = false;
        long begin = System.nanoTime();
        long answerUntil = answerMs == FOR_EVER ? FOR_EVER : begin + TimeUnit.MILLISECONDS.toNanos(answerMs);
        try {
            while (true) {
                var here = connected();
                long number;
                synchronized (this) {
                    number = ++lastNumber;
                }
                try {
                    here.send(request.with(Words.NUMBER, number));
                    var answer = here.await(number, answerUntil);
                    if (answer != null) {
                        return new Call(answer, again);
                    }
                } catch (IOException e) {
                    here.end();
                }
                if (!here.isBroken()) {
                    // It hears and does not answer: the next call begins anew.
                    here.end();
                    throw new DrmCommunicationException("the dispatcher at " + contact.host() + ":"
                            + contact.port()
                            + " did not answer within " + answerMs + " ms");
                }
                again = true;
                if (answerUntil != FOR_EVER && System.nanoTime() - answerUntil > 0) {
                    throw new DrmCommunicationException("the connection to the dispatcher ended before"
                            + " it answered");
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new DrmCommunicationException("interrupted", e);
        }
    }

    /** The connection there is, or a new one, within the patience. */
    private synchronized Wire connected() throws DrmaaException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(patienceMs);
        long pause = FIRST_PAUSE_MS;
        while (wire == null || wire.isBroken()) {
            if (closed) {
                throw new NoActiveSessionException("the session was left");
            }
            try {
                wire = connect();
            } catch (IOException e) {
                if (System.nanoTime() - until > 0) {
                    throw new DrmCommunicationException("the dispatcher at " + contact.host() + ":"
                            + contact.port()
                            + " can't be reached: " + e.getMessage(), e);
                }
                // In between, another thread may have better luck, or close this.
                wait(pause);
                pause = Math.min(LONGEST_PAUSE_MS, 2 * pause);
            }
        }
        return wire;
    }

    private Wire connect() throws IOException, DrmaaException, InterruptedException {
        var socket = (SSLSocket) context.getSocketFactory().createSocket();
        boolean done = false;
        try {
            socket.setTcpNoDelay(true);
            socket.setEnabledProtocols(new String[] {"TLSv1.3"});
            var parameters = socket.getSSLParameters();
            parameters.setEndpointIdentificationAlgorithm("HTTPS");
            socket.setSSLParameters(parameters);
            socket.connect(new InetSocketAddress(contact.host(), contact.port()), CONNECT_MS);
            socket.setSoTimeout(CONNECT_MS);
            socket.startHandshake();
            socket.setSoTimeout(0);
            var made = new Wire(socket);
            var thread = new Thread(made::read, "batch answers");
            thread.setDaemon(true);
            thread.start();
            made.send(new Fields().with(Words.TYPE, Words.HELLO).with(Words.NUMBER, 0)
                    .with("versions", List.of(Words.VERSION)).with("software", SOFTWARE));
            var answer = made.await(0, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CONNECT_MS));
            if (answer == null) {
                throw new IOException("it ended the connection, as it does where its authority has not signed"
                        + " the key, or said nothing");
            }
            if (Words.ERROR.equals(answer.text(Words.TYPE, ""))) {
                throw new AuthorizationException(answer.text("message", "denied"));
            }
            done = true;
            return made;
        } catch (SSLHandshakeException e) {
            if (e.getCause() instanceof EOFException) {
                // It went away in the midst of it, as a dispatcher that is killed does.
                throw e;
            }
            throw new AuthorizationException("the dispatcher at " + contact.host() + ":" + contact.port()
                    + " and the keys in " + contact.keys() + " don't fit: " + e.getMessage());
        } catch (WireException e) {
            throw new IOException(e.getMessage(), e);
        } finally {
            if (!done) {
                socket.close();
            }
        }
    }

    /** Cuts the connection, as a bad network would; for trials. */
    synchronized void cut() {
        if (wire != null) {
            wire.end();
        }
    }

    @Override
    public synchronized void close() {
        closed = true;
        if (wire != null) {
            wire.end();
        }
        notifyAll();
    }
}
