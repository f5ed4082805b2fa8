package ryemast.net;

import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.SocketConnector;
import ryemast.core.Loop;

/**
 * Opens connections, each within a time limit that runs on the loop's clock, as MINA's runs on the wall
 * clock.
 */
public final class Dialer {

    private final Loop loop;
    private final SocketConnector connector;
    private final long limit;

    /** {@code limit}: how long a connection may take to come up, in microseconds. */
    public Dialer(Loop loop, SocketConnector connector, long limit) {
        this.loop = loop;
        this.connector = connector;
        this.limit = limit;
    }

    /**
     * Connects to an address. In a later step of the loop {@code then} gets the connection, with the link
     * attached to it; null if it did not come up in time, or has ended already.
     */
    public void dial(InetSocketAddress address, Link link, Consumer<IoSession> then) {
        var future = connector.connect(address);
        var endOfLimit = loop.at(loop.now() + limit, future::cancel);
        future.addListener(done -> loop.post(() -> {
            endOfLimit.run();
            then.accept(LinkHandler.attach(future, link));
        }));
    }
}
