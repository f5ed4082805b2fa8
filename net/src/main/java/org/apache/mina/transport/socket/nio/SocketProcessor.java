package org.apache.mina.transport.socket.nio;

import java.io.IOException;
import java.util.concurrent.Executor;
import org.apache.mina.core.buffer.IoBuffer;

/**
 * MINA's processor, which takes a read or write that a signal interrupted for the end of the connection
 * (the JDK's channels return a negative count other than -1 then). Here it moved nothing, and is tried again.
 * * In MINA's package, so that the compiler checks what it overrides.
 */
public class SocketProcessor extends NioProcessor {

    private static final int END_OF_INPUT = -1;

    /** As MINA's pools make their processors. */
    public SocketProcessor(Executor executor) {
        super(executor);
    }

    @Override
    protected int read(NioSession session, IoBuffer buffer) throws Exception {
        int count = super.read(session, buffer);
        return count < END_OF_INPUT ? 0 : count;
    }

    @Override
    protected int write(NioSession session, IoBuffer buffer, int length) throws IOException {
        return Math.max(0, super.write(session, buffer, length));
    }
}
