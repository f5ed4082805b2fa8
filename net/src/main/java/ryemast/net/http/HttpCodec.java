package ryemast.net.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.filter.codec.ProtocolCodecFactory;
import org.apache.mina.filter.codec.ProtocolDecoder;
import org.apache.mina.filter.codec.ProtocolDecoderAdapter;
import org.apache.mina.filter.codec.ProtocolDecoderOutput;
import org.apache.mina.filter.codec.ProtocolEncoder;
import org.apache.mina.filter.codec.ProtocolEncoderAdapter;
import org.apache.mina.filter.codec.ProtocolEncoderOutput;
import org.apache.mina.transport.socket.nio.SocketProcessor;

/**
 * The parser as a MINA codec. A handler receives an {@link HttpMessage} for each whole message or, in
 * streams, an {@link HttpHead}, byte arrays and {@link #END}. What can't be understood comes as one
 * {@link HttpException}; all that follows it on that connection is dropped.
 */
public final class HttpCodec implements ProtocolCodecFactory {

    public static final Object END = new Object();

    /**
     * Comes once on a connection of requests that is not read any more, as more was sent behind an error than
     * is dropped. Whether its peer is still there can't be known from then on.
     */
    public static final Object NOT_READ = new Object();

    /** Sends nothing, and is told as sent once all that was written before it has left. */
    public static final class Mark {
    }

    /** Comes in place of a request for which there was no memory: it was read and is not known. */
    public static final Object NOT_KEPT = new Object();

    /** What an unfinished message may hold that is not counted against the memory, in bytes. */
    private static final int FREE_PART = 2048;
    /** The headers that tell how a message is read, and whether its connection ends. */
    private static final Set<String> FRAMING =
            Set.of("connection", "content-length", "transfer-encoding", "expect");

    /** The most that the platform lets a body hold. */
    private static final int MAX_BODY = 64 * 1024;

    private enum Form { REQUESTS, RESPONSES, RESPONSE_HEADS, STREAM }

    /** What is read and dropped behind an error, so that no reset eats the answer; the peer may send more. */
    private static final int MOST_DROPPED = 256 * 1024;

    private static final AttributeKey STATE = new AttributeKey(HttpCodec.class, "state");
    private static final byte[] CONTINUE =
            "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    private final Form form;
    private final long maxBody;
    private final MessageMemory memory;
    /** The names of the headers that are kept; null for all. */
    private final Set<String> kept;

    private HttpCodec(Form form, long maxBody) {
        this(form, maxBody, MessageMemory.UNBOUNDED, null);
    }

    private HttpCodec(Form form, long maxBody, MessageMemory memory, Set<String> kept) {
        this.form = form;
        this.maxBody = maxBody;
        this.memory = memory;
        this.kept = kept;
    }

    public static HttpCodec requests() {
        return new HttpCodec(Form.REQUESTS, MAX_BODY);
    }

    /** Requests of up to so many bytes, where they come from those who may send more. */
    public static HttpCodec requests(long maxBody) {
        return new HttpCodec(Form.REQUESTS, maxBody);
    }

    /**
     * Requests of many who may mean ill. Each message that is handed over is counted against the memory, and
     * to be released there; of its headers only these are kept, by their names in lower case.
     */
    public static HttpCodec requests(MessageMemory memory, Set<String> headers) {
        return new HttpCodec(Form.REQUESTS, MAX_BODY, memory, withFraming(headers));
    }

    private static Set<String> withFraming(Set<String> headers) {
        var kept = new HashSet<>(headers);
        kept.addAll(FRAMING);
        return kept;
    }

    public static HttpCodec responses() {
        return new HttpCodec(Form.RESPONSES, MAX_BODY);
    }

    /** Responses of up to so many bytes, where they come from one who has much to say. */
    public static HttpCodec responses(long maxBody) {
        return new HttpCodec(Form.RESPONSES, maxBody);
    }

    /**
     * Responses of which only these headers are wanted, by their names in lower case: the others are not
     * kept, and their bodies are read and dropped.
     */
    public static HttpCodec responseHeads(Set<String> headers) {
        return new HttpCodec(Form.RESPONSE_HEADS, MAX_BODY, MessageMemory.UNBOUNDED, withFraming(headers));
    }

    /** Responses whose bodies have no end. */
    public static HttpCodec stream() {
        return new HttpCodec(Form.STREAM, Long.MAX_VALUE);
    }

    /** For how many microseconds a message on this connection has begun and is not whole; 0: none has. */
    public static long insideFor(IoSession session) {
        var reading = (Reading) session.getAttribute(STATE);
        long since = reading == null ? 0 : reading.insideSince;
        return since == 0 ? 0 : Math.max(1, (System.nanoTime() - since) / 1000);
    }

    /** How many messages have come on this connection and were handed over, or are about to be. */
    public static long whole(IoSession session) {
        var reading = (Reading) session.getAttribute(STATE);
        return reading == null ? 0 : reading.whole;
    }

    /**
     * Whether more has come on this connection than so many messages, in part or not to be understood as it
     * may be; see {@link #hasReadMoreThan} for when.
     */
    public static boolean hasMoreThan(IoSession session, long messages) {
        var reading = (Reading) session.getAttribute(STATE);
        return reading != null
                && (reading.whole > messages || reading.insideSince != 0 || reading.failed);
    }

    /** Whether more than so many bytes have come lately, the last of them within so many nanoseconds. */
    public static boolean hasReadMoreThan(IoSession session, long bytes, long within) {
        var reading = (Reading) session.getAttribute(STATE);
        return reading != null && reading.recent.isMoreThan(System.nanoTime(), bytes, within);
    }

    /** What still comes on this connection is not understood any more; for one that something came on. */
    public static void ignoreRest(IoSession session) {
        ((Reading) session.getAttribute(STATE)).fail();
        SocketProcessor.resume(session);
    }

    @Override
    public ProtocolEncoder getEncoder(IoSession session) {
        return new Encoder();
    }

    @Override
    public ProtocolDecoder getDecoder(IoSession session) {
        return new Decoder();
    }

    /** What one connection has sent so far. */
    private final class Reading implements HttpParser.Sink {
        private final HttpParser parser = new HttpParser(form == Form.REQUESTS, maxBody, kept, this);
        private final IoSession session;
        private ProtocolDecoderOutput out;
        private HttpHead head;
        private final BodyBuffer body = new BodyBuffer();
        /** What is counted against the memory for the message that is not whole yet, in bytes. */
        private long charged;
        private volatile boolean failed;
        private long dropped;
        private boolean notRead;
        /** When the first byte came of the message that is not whole yet, in nanoseconds; 0: none. */
        private volatile long insideSince;
        /** Written by the one thread that reads. */
        private volatile long whole;
        private final RecentBytes recent = new RecentBytes(System.nanoTime());

        Reading(IoSession session) {
            this.session = session;
        }

        @Override
        public void head(HttpHead next) {
            head = next;
            var length = next.header("content-length");
            body.begin(length == null ? maxBody : Math.min(maxBody, Long.parseLong(length)));
            if (form == Form.STREAM) {
                out.write(next);
            } else if (form == Form.REQUESTS && next.lists("expect", "100-continue")) {
                session.write(IoBuffer.wrap(CONTINUE));
            }
        }

        @Override
        public void body(byte[] part) throws HttpException {
            if (form == Form.STREAM) {
                out.write(part);
            } else if (form != Form.RESPONSE_HEADS) {
                body.add(part);
                charge();
            }
        }

        /** Counts what is held now against the memory. */
        void charge() throws HttpException {
            long more = Math.max(0, body.capacity() + parser.held() - FREE_PART) - charged;
            if (more > 0 && !memory.reservePart(more)) {
                throw new HttpException(503, "too much is being received; trying again is harmless");
            }
            if (more < 0) {
                memory.releasePart(-more);
            }
            charged += more;
        }

        /** Nothing that comes is understood any more, and nothing of it is held. */
        synchronized void fail() {
            failed = true;
            body.clear();
            parser.clear();
            memory.releasePart(charged);
            charged = 0;
        }

        @Override
        public void end() {
            // In this order: whoever asks meanwhile must not take the connection to be at rest.
            whole = whole + 1;
            insideSince = 0;
            boolean interim = form != Form.REQUESTS && head.status() < 200;
            if (form == Form.STREAM) {
                out.write(interim ? HttpMessage.EMPTY : END);
            } else if (!interim) {
                var message = new HttpMessage(head, body.take());
                memory.releasePart(charged);
                charged = 0;
                out.write(memory.reserve(message) ? message : NOT_KEPT);
            }
            body.clear();
        }
    }

    private final class Decoder extends ProtocolDecoderAdapter {
        @Override
        public void decode(IoSession session, IoBuffer in, ProtocolDecoderOutput out) {
            var reading = reading(session, out);
            reading.recent.add(System.nanoTime(), in.remaining());
            synchronized (reading) {
                if (reading.failed) {
                    drop(in, reading, out);
                } else {
                    feed(in, reading, out);
                }
            }
        }

        private void feed(IoBuffer in, Reading reading, ProtocolDecoderOutput out) {
            try {
                reading.parser.feed(in.buf());
                reading.charge();
                if (reading.insideSince == 0 && reading.parser.isInside()) {
                    reading.insideSince = System.nanoTime();
                }
            } catch (HttpException e) {
                reading.fail();
                in.position(in.limit());
                out.write(e);
            }
        }

        /** The connection is gone, and with it what was read of it in part. */
        @Override
        public void dispose(IoSession session) {
            if (session.getAttribute(STATE) instanceof HttpCodec.Reading reading) {
                reading.fail();
            }
        }

        /** Guards the processor's time against a body of any length: beyond a bound no more is read. */
        private void drop(IoBuffer in, Reading reading, ProtocolDecoderOutput out) {
            reading.dropped += in.remaining();
            in.position(in.limit());
            if (reading.dropped > MOST_DROPPED) {
                reading.session.suspendRead();
                if (form == Form.REQUESTS && !reading.notRead) {
                    reading.notRead = true;
                    out.write(NOT_READ);
                }
            }
        }

        @Override
        public void finishDecode(IoSession session, ProtocolDecoderOutput out) {
            var reading = reading(session, out);
            if (!reading.failed) {
                try {
                    reading.parser.endOfInput();
                } catch (HttpException e) {
                    reading.fail();
                }
            }
        }

        private Reading reading(IoSession session, ProtocolDecoderOutput out) {
            var reading = (Reading) session.getAttribute(STATE);
            if (reading == null) {
                reading = new Reading(session);
                session.setAttribute(STATE, reading);
            }
            reading.out = out;
            return reading;
        }
    }

    private static final class Encoder extends ProtocolEncoderAdapter {
        @Override
        public void encode(IoSession session, Object message, ProtocolEncoderOutput out) {
            if (message instanceof HttpMessage whole) {
                out.write(IoBuffer.wrap(bytes(whole)));
            }
        }
    }

    /** A message as it travels. Its length is always told. */
    public static byte[] bytes(HttpMessage message) {
        var head = message.head();
        var text = new StringBuilder(256);
        text.append(head.first()).append(' ').append(head.second()).append(' ').append(head.third());
        text.append("\r\n");
        head.headers().forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
        if (message.body().length > 0 || !head.first().equals("GET")) {
            text.append("Content-Length: ").append(message.body().length).append("\r\n");
        }
        text.append("\r\n");
        var out = new ByteArrayOutputStream(text.length() + message.body().length);
        out.writeBytes(text.toString().getBytes(StandardCharsets.ISO_8859_1));
        out.writeBytes(message.body());
        return out.toByteArray();
    }
}
