package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A worker's listener. The worker accepts so many connections at once; while others hold that many, it does not listen,
 * and new ones are refused.
 */
final class Gate {

    private static final int BACKLOG = 64;
    private static final int LOOK_MS = 20;
    private static final int MOST = 4;

    final int port;
    private volatile ServerSocket server;
    private final AtomicInteger open = new AtomicInteger();
    /** Another dispatcher's connections. */
    private final List<Socket> others = new ArrayList<>();

    Gate(Http.Handler handler) throws IOException {
        server = listening(0);
        port = server.getLocalPort();
        Http.daemon(() -> {
            while (true) {
                try {
                    var here = server;
                    here.setSoTimeout(LOOK_MS);
                    var socket = here.accept();
                    open.incrementAndGet();
                    Http.daemon(() -> {
                        Http.connection(socket, handler);
                        open.decrementAndGet();
                    });
                } catch (SocketTimeoutException e) {
                    // Nobody came.
                } catch (IOException e) {
                    pause();
                }
            }
        });
    }

    private static void pause() {
        try {
            Thread.sleep(LOOK_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static ServerSocket listening(int port) throws IOException {
        var made = new ServerSocket();
        made.setReuseAddress(true);
        made.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), BACKLOG);
        return made;
    }

    /** Others take all the connections that it accepts: new ones are refused; those that are up stay. */
    void fill() throws IOException {
        for (int i = 0; i < MOST; i++) {
            others.add(new Socket(InetAddress.getByName("127.0.0.1"), port));
        }
        while (open.get() < MOST) {
            pause();
        }
        server.close();
    }

    /** The others go, and it accepts connections again. */
    void free() throws IOException {
        for (var each : others) {
            each.close();
        }
        others.clear();
        server = listening(port);
    }
}
