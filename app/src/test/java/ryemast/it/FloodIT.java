package ryemast.it;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import java.util.stream.Stream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Clients that send at full speed on one connection for some seconds, while others want their jobs done. */
@Timeout(120)
class FloodIT {

    private static final int FLOOD_S = 5;
    /** How many requests are put together before they are written. */
    private static final int BATCH = 200;

    /**
     * What one client sends without end.
     *
     * @param reads    whether it reads what is answered
     * @param request  one of its requests, by its number
     */
    record Flood(String name, boolean reads, IntFunction<String> request) {
        @Override
        public String toString() {
            return name + (reads ? "" : ", answers unread");
        }
    }

    static Stream<Flood> floods() {
        return Stream.of(true, false).flatMap(reads -> Stream.of(
                new Flood("unknown path", reads, number -> "GET /n HTTP/1.1\r\n\r\n"),
                new Flood("health", reads, number -> "GET /_health HTTP/1.1\r\n\r\n"),
                new Flood("unsound", reads, number -> "POST /api/k HTTP/1.1\r\nContent-Length: 0\r\n\r\n"),
                new Flood("malformed", reads, number -> "?\r\n"),
                new Flood("jobs", reads, number -> job("flood-" + number, "load")),
                new Flood("unknown class", reads, number -> job("flood-" + number, "nonsense")),
                new Flood("one name", reads, number -> job("flood", "load")),
                new Flood("call-backs", reads, number -> callBack("flood-" + number))));
    }

    private static String job(String txn, String lane) {
        return "POST /api/k HTTP/1.1\r\nX-Txn: " + txn + "\r\nX-Lane: " + lane
                + "\r\nX-Org: acme\r\nX-Remaining-Ms: 1000\r\nContent-Length: 0\r\n\r\n";
    }

    private static String callBack(String txn) {
        var body = "{\"id\":\"" + txn + "\",\"from\":\"s-1\",\"state\":\"done\",\"result\":\"\"}";
        return "POST /v1/job-events HTTP/1.1\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Sends at full speed for the time; a connection that is ended is replaced. */
    private static int flood(Platform platform, Flood flood) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(FLOOD_S);
        int sent = 0;
        while (System.nanoTime() < until) {
            try (var socket = platform.socket()) {
                var reader = new Thread(() -> drain(socket));
                reader.setDaemon(true);
                if (flood.reads()) {
                    reader.start();
                }
                var watchdog = new Thread(() -> closeAt(until, socket));
                watchdog.setDaemon(true);
                watchdog.start();
                while (System.nanoTime() < until) {
                    var text = new StringBuilder();
                    for (int i = 0; i < BATCH; i++) {
                        text.append(flood.request().apply(sent++));
                    }
                    socket.getOutputStream().write(text.toString().getBytes(StandardCharsets.US_ASCII));
                }
            } catch (IOException e) {
                // The program has ended the connection.
            }
        }
        return sent;
    }

    private static void drain(Socket socket) {
        try {
            socket.getInputStream().transferTo(OutputStream.nullOutputStream());
        } catch (IOException e) {
            // It was ended.
        }
    }

    /** A write that nobody reads would wait for ever. */
    private static void closeAt(long until, Socket socket) {
        try {
            TimeUnit.NANOSECONDS.sleep(Math.max(0, until - System.nanoTime()));
            socket.close();
        } catch (IOException | InterruptedException e) {
            // It was ended.
        }
    }

    /** Guards other clients and the memory against one that sends requests faster than they are handled. */
    @ParameterizedTest
    @MethodSource("floods")
    void aFloodOnOneConnectionDelaysNobodyAndFillsNoMemory(Flood flood) throws Exception {
        try (var platform = new Platform()) {
            platform.limitToOneCore(0);
            ProbeClient.assertServedBeside(platform,
                    () -> flood + ": " + flood(platform, flood) + " requests sent");
        }
    }
}
