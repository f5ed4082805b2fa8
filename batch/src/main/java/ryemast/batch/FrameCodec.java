package ryemast.batch;

import java.util.concurrent.TimeUnit;
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
import ryemast.wire.Fields;
import ryemast.wire.Frames;
import ryemast.wire.WireException;

/**
 * Frames as a MINA codec: a handler receives {@link Fields}, or one {@link WireException} where bytes can't
 * be understood, after which nothing more of that connection is.
 */
final class FrameCodec implements ProtocolCodecFactory {

    private static final AttributeKey STATE = new AttributeKey(FrameCodec.class, "state");
    private static final int CHUNK = 16 * 1024;
    private static final int FIRST = 4 * 1024;

    private static final class Reading {
        /** A hello need not be long. */
        private final Frames frames = new Frames(FIRST);
        private volatile long insideSince;
        private boolean failed;
    }

    /** For how many microseconds a frame on this connection has begun and is not whole; 0: none has. */
    static long insideFor(IoSession session) {
        var reading = (Reading) session.getAttribute(STATE);
        long since = reading == null ? 0 : reading.insideSince;
        return since == 0 ? 0 : Math.max(1, TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - since));
    }

    @Override
    public ProtocolEncoder getEncoder(IoSession session) {
        return new ProtocolEncoderAdapter() {
            @Override
            public void encode(IoSession to, Object message, ProtocolEncoderOutput out) {
                out.write(IoBuffer.wrap((byte[]) message));
            }
        };
    }

    @Override
    public ProtocolDecoder getDecoder(IoSession session) {
        return new ProtocolDecoderAdapter() {
            @Override
            public void decode(IoSession from, IoBuffer in, ProtocolDecoderOutput out) {
                var reading = (Reading) from.getAttribute(STATE);
                if (reading == null) {
                    reading = new Reading();
                    from.setAttribute(STATE, reading);
                }
                var bytes = new byte[Math.min(CHUNK, in.remaining())];
                while (in.hasRemaining()) {
                    int some = Math.min(bytes.length, in.remaining());
                    in.get(bytes, 0, some);
                    if (!reading.failed) {
                        take(reading, bytes, some, out);
                    }
                }
            }
        };
    }

    private static void take(Reading reading, byte[] bytes, int count, ProtocolDecoderOutput out) {
        try {
            reading.frames.take(bytes, 0, count, frame -> {
                reading.frames.allow(Frames.LONGEST);
                out.write(frame);
            });
            reading.insideSince = !reading.frames.inside() ? 0
                    : reading.insideSince == 0 ? System.nanoTime() : reading.insideSince;
        } catch (WireException e) {
            reading.failed = true;
            reading.insideSince = 0;
            out.write(e);
        }
    }
}
