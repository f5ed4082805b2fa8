package ryemast.it;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** One connection as the tests' peers use it: whole messages, written and read blockingly. */
final class Wire implements Closeable {

    private static final int PATIENCE_MS = 20_000;

    /** A start line, headers by lower-case name, a body, and when its first byte was read, in nanoseconds. */
    record Message(String start, Map<String, String> headers, String body, long at) {
        String status() {
            return start.split(" ")[1];
        }
    }

    private final Socket socket;
    private final InputStream in;

    Wire(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(PATIENCE_MS);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    static Wire to(InetSocketAddress address) throws IOException {
        return new Wire(new Socket(address.getAddress(), address.getPort()));
    }

    Wire send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        return this;
    }

    /** A request or response with a length; header lines end with line breaks. */
    Wire send(String start, String headers, String body) throws IOException {
        int length = body.getBytes(StandardCharsets.UTF_8).length;
        return send(start + "\r\n" + headers + "Content-Length: " + length + "\r\n\r\n" + body);
    }

    /** Whether something has come that is not read yet. */
    boolean hasMore() throws IOException {
        return in.available() > 0;
    }

    /** The next message, or null if the connection ended. */
    Message read() throws IOException {
        try {
            in.mark(1);
            in.read();
            long at = System.nanoTime();
            in.reset();
            var start = line();
            if (start == null) {
                return null;
            }
            var headers = new TreeMap<String, String>();
            for (var line = line(); line != null && !line.isEmpty(); line = line()) {
                var pair = line.split(":", 2);
                headers.put(pair[0].toLowerCase(Locale.ROOT), pair[1].strip());
            }
            var body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
            return new Message(start, headers, new String(body, StandardCharsets.UTF_8), at);
        } catch (EOFException | SocketException e) {
            return null;
        }
    }

    private String line() throws IOException {
        var text = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            text.append((char) next);
        }
        return text.toString().strip();
    }

    /** Whether the other side has ended the connection, and nothing is left to be read. */
    boolean hasEnded() throws IOException {
        int before = socket.getSoTimeout();
        socket.setSoTimeout(1);
        try {
            in.mark(1);
            int next = in.read();
            in.reset();
            return next < 0;
        } catch (SocketTimeoutException e) {
            return false;
        } finally {
            socket.setSoTimeout(before);
        }
    }

    /** How long a read waits for something to come. */
    void patience(int millis) throws IOException {
        socket.setSoTimeout(millis);
    }

    /** Ends the connection with a reset, as a process that dies does. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
