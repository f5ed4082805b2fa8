package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A link to a port: what comes from there takes a while; it can be cut for some time, and then resets all. */
final class Link {

    final int port;
    private final int to;
    private final long delayMs;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile long cutUntil;
    private final AtomicInteger answersToLose = new AtomicInteger();

    Link(int to, long delayMs) throws IOException {
        this.to = to;
        this.delayMs = delayMs;
        var server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
        port = server.getLocalPort();
        Http.daemon(() -> {
            while (true) {
                try {
                    var socket = server.accept();
                    Http.daemon(() -> carry(socket));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    /** All connections are reset, and new ones are until the time is over. */
    void cut(long ms) {
        cutUntil = System.nanoTime() + ms * 1_000_000;
        open.forEach(Link::reset);
    }

    /** What comes back next is lost, and its connection is reset. */
    void loseNextAnswer() {
        answersToLose.set(1);
    }

    private boolean isCut() {
        return System.nanoTime() < cutUntil;
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It is gone either way.
        }
    }

    private void carry(Socket client) {
        if (isCut()) {
            reset(client);
            return;
        }
        try {
            var server = new Socket(InetAddress.getByName("127.0.0.1"), to);
            server.setTcpNoDelay(true);
            client.setTcpNoDelay(true);
            open.add(client);
            open.add(server);
            Http.daemon(() -> pump(server, client, delayMs, true));
            pump(client, server, 0, false);
        } catch (IOException e) {
            reset(client);
        }
    }

    private void pump(Socket from, Socket into, long delay, boolean back) {
        var buffer = new byte[65_536];
        try {
            for (int count = from.getInputStream().read(buffer); count >= 0;
                    count = from.getInputStream().read(buffer)) {
                if (back && answersToLose.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
                    throw new IOException("the answer is lost");
                }
                Thread.sleep(delay);
                into.getOutputStream().write(buffer, 0, count);
            }
            from.close();
            into.close();
        } catch (IOException | InterruptedException e) {
            reset(from);
            reset(into);
        } finally {
            open.remove(from);
            open.remove(into);
        }
    }
}
