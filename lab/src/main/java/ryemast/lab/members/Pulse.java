package ryemast.lab.members;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Feels a dispatcher's loop from outside: asks for its health again and again on one connection, each as soon
 * as the last one is answered and a millisecond has passed. As the loop answers between its other steps, the
 * longest answer is at least its longest standstill; what else the machine does is in it as well.
 */
final class Pulse implements AutoCloseable {

    /** One beat; microseconds. */
    record Beat(long at, long took) {
    }

    private static final int LEAST_MS = 1;
    private static final int PATIENCE_MS = 30_000;

    private final Socket socket = new Socket();
    private final List<Beat> beats = new ArrayList<>();
    private final Thread thread = new Thread(this::run, "pulse");
    private final byte[] question;
    private volatile boolean ended;
    private volatile IOException failed;

    Pulse(InetSocketAddress address) throws IOException {
        socket.connect(address, PATIENCE_MS);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(PATIENCE_MS);
        question = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        var buffer = new byte[4_096];
        try {
            while (!ended) {
                long begin = System.nanoTime();
                socket.getOutputStream().write(question);
                // An answer is one short message, which comes in one piece on loopback.
                if (socket.getInputStream().read(buffer) < 0) {
                    throw new IOException("the dispatcher ended the connection");
                }
                long took = (System.nanoTime() - begin) / 1_000;
                synchronized (beats) {
                    beats.add(new Beat(begin / 1_000, took));
                }
                Thread.sleep(LEAST_MS);
            }
        } catch (IOException e) {
            failed = ended ? null : e;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The longest beat that began or ended since a time of {@link System#nanoTime}, in milliseconds. */
    double longestSince(long nanos) throws IOException {
        if (failed != null) {
            throw failed;
        }
        synchronized (beats) {
            return beats.stream().filter(each -> each.at + each.took >= nanos / 1_000).mapToLong(Beat::took)
                    .max()
                    .orElse(0) / 1e3;
        }
    }

    @Override
    public void close() throws IOException {
        ended = true;
        socket.close();
    }
}
