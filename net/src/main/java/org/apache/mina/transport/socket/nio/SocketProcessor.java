package org.apache.mina.transport.socket.nio;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.Executor;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;

/**
 * MINA's processor, which takes a read or write that a signal interrupted for the end of the connection
 * (the JDK's channels return a negative count other than -1 then). Here it moved nothing, and is tried again.
 *
 * <p>It also looks, where it is asked to, whether anything has come on a connection before something is
 * written to it. In MINA's package, so that the compiler checks what it overrides.
 */
public class SocketProcessor extends NioProcessor {

    private static final AttributeKey EXPECTS_SILENCE = new AttributeKey(SocketProcessor.class, "silence");
    private static final int END_OF_INPUT = -1;

    /** As MINA's pools make their processors. */
    public SocketProcessor(Executor executor) {
        super(executor);
    }

    /**
     * The next write on the connection fails, and writes nothing, if by then something has come that was not
     * read, or the peer has ended it.
     */
    public static void expectSilence(IoSession session) {
        session.setAttribute(EXPECTS_SILENCE);
    }

    @Override
    protected int read(NioSession session, IoBuffer buffer) throws Exception {
        int count = super.read(session, buffer);
        return count < END_OF_INPUT ? 0 : count;
    }

    @Override
    protected int write(NioSession session, IoBuffer buffer, int length) throws IOException {
        if (session.removeAttribute(EXPECTS_SILENCE) != null) {
            checkSilence(session);
        }
        return Math.max(0, super.write(session, buffer, length));
    }

    private static void checkSilence(NioSession session) throws IOException {
        int count = session.getChannel().read(ByteBuffer.allocate(1));
        if (count > 0) {
            throw new IOException("something unasked has come on the connection");
        }
        if (count == END_OF_INPUT) {
            throw new IOException("the peer has ended the connection");
        }
    }
}
