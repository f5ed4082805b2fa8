package ryemast.lab.sockets;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import org.apache.mina.core.RuntimeIoException;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.SocketSessionConfig;
import ryemast.lab.site.Machine;
import ryemast.lab.site.Visit;
import ryemast.net.Link;
import ryemast.net.http.HttpHead;
import ryemast.net.http.HttpMessage;

/**
 * One connection to a box: reads requests for the box and writes what the box says. One request at a time
 * travels on it; whoever sends the next one early, or anything that is no request, is cut off.
 */
final class BoxConnection implements Link, Visit {

    /** A whole message, and when its first byte had come. */
    record Whole(Object message, long firstByteAt) {
    }

    private static final byte[] ACCEPTED = bytes("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
    private static final byte[] TURNED_AWAY = bytes(
            "HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
    private static final String JOBS = "/jobs/";
    private static final long MICROS_PER_MS = 1_000;

    private final Shard shard;
    private final BoxPort port;
    private final IoSession session;
    private boolean admitted;
    private boolean busy;

    BoxConnection(Shard shard, BoxPort port, IoSession session) {
        this.shard = shard;
        this.port = port;
        this.session = session;
    }

    /** The box says whether it takes one more. */
    void begin() {
        admitted = port.machine().opened(this);
        if (!admitted) {
            close();
        }
    }

    @Override
    public void received(Object message, long at) {
        shard.handle(at, () -> {
            var whole = (Whole) message;
            if (!admitted || port.isSilent()) {
                return;
            }
            if (busy || !(whole.message instanceof HttpMessage request)) {
                reset();
            } else if (request.head().first().equals("POST")) {
                busy = true;
                port.machine().take(this, parcel(request, whole.firstByteAt, at));
            } else if (request.head().first().equals("DELETE") && request.head().path().startsWith(JOBS)) {
                var name = request.head().path().substring(JOBS.length());
                port.machine().cancel(port.dispatcher(), decoded(name));
                write(HttpHead.response(200));
            } else {
                write(HttpHead.response(404));
            }
        });
    }

    private Machine.Parcel parcel(HttpMessage request, long firstByteAt, long at) {
        var head = request.head();
        var txn = head.header("x-txn");
        // A job must come as its client sent it: under another path it is one that no client knows.
        if (txn != null && !head.second().equals(port.target(txn))) {
            txn = txn + " at " + head.second();
        }
        return new Machine.Parcel(port.dispatcher(), txn, waits(head.header("x-remaining-ms")), firstByteAt,
                at, request.body());
    }

    private static long waits(String text) {
        return text != null && text.matches("[0-9]{1,12}") ? Long.parseLong(text) * MICROS_PER_MS : 0;
    }

    private static String decoded(String name) {
        try {
            return URLDecoder.decode(name.replace("+", "%2B"), StandardCharsets.ISO_8859_1);
        } catch (IllegalArgumentException e) {
            return name;
        }
    }

    @Override
    public void accept() {
        answered(ACCEPTED);
    }

    @Override
    public void turnAway() {
        answered(TURNED_AWAY);
    }

    private void answered(byte[] bytes) {
        busy = false;
        if (!port.isSilent()) {
            session.write(IoBuffer.wrap(bytes));
        }
    }

    @Override
    public void answer(int status) {
        busy = false;
        write(HttpHead.response(status));
    }

    private void write(HttpHead head) {
        if (!port.isSilent()) {
            session.write(new HttpMessage(head, HttpMessage.EMPTY));
        }
    }

    @Override
    public void reset() {
        try {
            ((SocketSessionConfig) session.getConfig()).setSoLinger(0);
        } catch (RuntimeIoException e) {
            // The peer has ended it.
        }
        session.closeNow();
    }

    @Override
    public void close() {
        session.closeOnFlush();
    }

    @Override
    public void ended() {
        shard.handle(() -> {
            port.left(this);
            if (admitted) {
                admitted = false;
                port.machine().ended(this);
            }
        });
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
