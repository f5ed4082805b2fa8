package org.apache.mina.transport.socket.nio;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.core.service.IoService;
import org.apache.mina.core.session.IoSession;

/**
 * What MINA 2.2 keeps within its package and a server needs: to accept by its own calls, and to shut one side
 * of a connection, where MINA only closes both. In MINA's package, so that the compiler checks it.
 */
public final class SocketAccess {

    private SocketAccess() {
    }

    /** The session of a socket that was accepted. */
    public static NioSession session(IoService service, IoProcessor<NioSession> processor,
            SocketChannel socket) {
        return new NioSocketSession(service, processor, socket);
    }

    /** Tells the peer that nothing more will come, and leaves what it may have sent where it is. */
    public static void shutOutput(IoSession session) throws IOException {
        ((NioSocketSession) session).getChannel().shutdownOutput();
    }

    /** Whether the session's socket is still there; MINA may have closed it without telling anybody. */
    public static boolean isOpen(IoSession session) {
        return ((NioSocketSession) session).getChannel().isOpen();
    }
}
