package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** HTTP/1.1 on plain sockets, as much as the stand-ins need: a server with one thread a connection, and calls. */
final class Http {

    record Message(String first, String second, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Answers one request on its connection; false: the connection ends. */
    interface Handler {
        boolean take(Message request, OutputStream out) throws Exception;
    }

    private Http() {
    }

    static int freePort() throws IOException {
        try (var socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    static ServerSocket serve(int port, Handler handler) throws IOException {
        var server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress("127.0.0.1", port), 256);
        daemon(() -> {
            while (true) {
                Socket socket;
                try {
                    socket = server.accept();
                } catch (IOException e) {
                    return;
                }
                daemon(() -> connection(socket, handler));
            }
        });
        return server;
    }

    static void connection(Socket socket, Handler handler) {
        try (socket) {
            socket.setTcpNoDelay(true);
            var in = new BufferedInputStream(socket.getInputStream());
            var out = socket.getOutputStream();
            while (handler.take(read(in), out)) {
                out.flush();
            }
        } catch (Exception e) {
            // The peer has ended the connection, or what it sent can't be read: it is closed either way.
        }
    }

    static void daemon(Runnable work) {
        var thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    static void answer(OutputStream out, int status, String type, byte[] body) throws IOException {
        var head = "HTTP/1.1 " + status + " X\r\nContent-Type: " + type + "\r\nContent-Length: " + body.length
                + "\r\n\r\n";
        var whole = new ByteArrayOutputStream();
        whole.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
        whole.writeBytes(body);
        out.write(whole.toByteArray());
        out.flush();
    }

    static Message read(InputStream in) throws IOException {
        var line = line(in);
        while (line.isEmpty()) {
            line = line(in);
        }
        var words = line.split(" ", 3);
        var headers = new TreeMap<String, String>();
        for (var next = line(in); !next.isEmpty(); next = line(in)) {
            int colon = next.indexOf(':');
            headers.put(next.substring(0, colon).toLowerCase(Locale.ROOT), next.substring(colon + 1).strip());
        }
        byte[] body;
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            var whole = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(line(in).split(";")[0].strip(), 16);
                whole.writeBytes(in.readNBytes(size));
                line(in);
                if (size == 0) {
                    break;
                }
            }
            body = whole.toByteArray();
        } else {
            int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
            body = in.readNBytes(length);
            if (body.length < length) {
                throw new EOFException();
            }
        }
        return new Message(words[0], words.length > 1 ? words[1] : "", headers, body);
    }

    private static String line(InputStream in) throws IOException {
        var line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException();
            }
            line.append((char) c);
        }
        int end = line.length();
        return end > 0 && line.charAt(end - 1) == '\r' ? line.substring(0, end - 1) : line.toString();
    }

    /** One request on a connection of its own; the status and the body. */
    static Message call(int port, String method, String path, Map<String, String> headers, byte[] body,
            int timeoutMs) throws IOException {
        try (var socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), Math.min(2_000, timeoutMs));
            socket.setSoTimeout(timeoutMs);
            socket.setTcpNoDelay(true);
            var head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: service.internal\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            var whole = new ByteArrayOutputStream();
            whole.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            whole.writeBytes(body);
            socket.getOutputStream().write(whole.toByteArray());
            socket.getOutputStream().flush();
            return read(new BufferedInputStream(socket.getInputStream()));
        }
    }
}
