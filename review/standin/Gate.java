package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.SocketTimeoutException;

/** A worker's listener. While all the connections that the worker accepts are taken, new ones are refused. */
final class Gate {

    private static final int BACKLOG = 64;
    private static final int LOOK_MS = 20;

    final int port;
    private volatile ServerSocket server;

    Gate(Http.Handler handler) throws IOException {
        server = listening(0);
        port = server.getLocalPort();
        Http.daemon(() -> {
            while (true) {
                try {
                    var here = server;
                    here.setSoTimeout(LOOK_MS);
                    var socket = here.accept();
                    Http.daemon(() -> Http.connection(socket, handler));
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

    /** All the connections that it accepts are taken: new ones are refused; those that are up stay. */
    void fill() throws IOException {
        server.close();
    }

    /** Some are free again. */
    void free() throws IOException {
        server = listening(port);
    }
}
