package ryemast.net;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.SocketConnector;
import ryemast.net.http.HttpCodec;

/**
 * Stops the one thread that reads and writes for all connections of a {@link Transport} while a test brings
 * about an order of events: it is held inside the handler of a connection of the test's own.
 */
public final class HeldProcessor implements Closeable {

    private static final long PATIENCE_S = 20;
    private static final byte[] MESSAGE =
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final Semaphore held = new Semaphore(0);
    private final Semaphore released = new Semaphore(0);
    private final ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
    private final SocketConnector connector;
    private final Socket peer;

    public HeldProcessor(Transport transport, DrivenLoop driven) throws Exception {
        connector = transport.connector(HttpCodec.responses(), new LinkHandler(driven.loop) {
            @Override
            public void messageReceived(IoSession session, Object message) {
                held.release();
                released.acquireUninterruptibly();
            }
        });
        connector.connect(new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort()));
        peer = listener.accept();
        peer.setTcpNoDelay(true);
    }

    /** Asks it to stop the next time it reads; returns at once. */
    public void catchNext() throws IOException {
        peer.getOutputStream().write(MESSAGE);
    }

    /** Returns once it stands still. */
    public void awaitHeld() throws InterruptedException {
        if (!held.tryAcquire(PATIENCE_S, TimeUnit.SECONDS)) {
            throw new AssertionError("the thread was not held");
        }
    }

    public void release() {
        released.release();
    }

    @Override
    public void close() throws IOException {
        released.release(1_000);
        peer.close();
        listener.close();
        connector.dispose();
    }
}
