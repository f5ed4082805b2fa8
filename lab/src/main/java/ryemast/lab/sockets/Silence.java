package ryemast.lab.sockets;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * An address at which connections never come up, as where a machine has vanished: a listener that nobody
 * accepts from, its queue filled by connections of our own. Linux drops what asks for one more (listen(2)),
 * so that a connect there hangs.
 */
final class Silence implements AutoCloseable {

    private static final int QUEUE = 1;
    /** Linux takes one more than the queue is said to hold; one more again, should that ever change. */
    private static final int FILLERS = 3;

    private final ServerSocketChannel listener = ServerSocketChannel.open();
    private final List<SocketChannel> fillers = new ArrayList<>();

    /** Fails if something still listens there. */
    Silence(InetSocketAddress address) throws IOException {
        try {
            listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            listener.bind(address, QUEUE);
            for (int i = 0; i < FILLERS; i++) {
                var filler = SocketChannel.open();
                fillers.add(filler);
                filler.configureBlocking(false);
                filler.connect(address);
            }
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    @Override
    public void close() {
        for (var filler : fillers) {
            closed(filler);
        }
        closed(listener);
    }

    private static void closed(Channel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            // It is gone either way.
        }
    }
}
