package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * A listener whose new connections can be made to come up late: while it is shut its queue is full, so that the kernel
 * drops the first packets of whoever comes, and lets them in when they are sent again, a second after the first.
 */
final class Gate {

    final int port;
    private final ServerSocket server = new ServerSocket();
    private final List<Socket> fillers = new ArrayList<>();
    private volatile boolean shut;

    Gate(Http.Handler handler) throws IOException {
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 1);
        port = server.getLocalPort();
        Http.daemon(() -> {
            while (true) {
                try {
                    if (shut) {
                        Thread.sleep(5);
                        continue;
                    }
                    server.setSoTimeout(20);
                    var socket = server.accept();
                    Http.daemon(() -> Http.connection(socket, handler));
                } catch (java.net.SocketTimeoutException e) {
                    // Looks whether it is to be shut.
                } catch (IOException | InterruptedException e) {
                    return;
                }
            }
        });
    }

    /** Returns once nobody comes in any more; connections that are up stay. */
    void shut() throws Exception {
        shut = true;
        Thread.sleep(40);
        for (int i = 0; i < 8; i++) {
            var filler = new Socket();
            try {
                filler.connect(new InetSocketAddress("127.0.0.1", port), 100);
                fillers.add(filler);
            } catch (IOException e) {
                filler.close();
                return;
            }
        }
        throw new Site.CannotRun("the queue of a listener can't be filled here");
    }

    void open() throws IOException {
        shut = false;
        for (var each : fillers) {
            each.close();
        }
        fillers.clear();
    }
}
