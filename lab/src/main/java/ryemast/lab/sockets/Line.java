package ryemast.lab.sockets;

import java.net.InetSocketAddress;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.SocketConnector;
import ryemast.net.Link;
import ryemast.net.LinkHandler;
import ryemast.net.http.HttpMessage;

/**
 * One kept connection to a dispatcher, on which one request at a time travels. Its owner hears once each that
 * it has come up, of every answer, and at last that it has ended, unless the owner itself has closed it.
 */
final class Line implements Link {

    /** All is told on the shard. */
    interface Owner {
        void up(Line line);

        void answered(Line line, HttpMessage answer);

        void ended(Line line);
    }

    private final Shard shard;
    private final Owner owner;
    private final int dispatcher;
    private IoSession session;
    private boolean closed;
    private int written;
    private int answers;

    private Line(Shard shard, Owner owner, int dispatcher) {
        this.shard = shard;
        this.owner = owner;
        this.dispatcher = dispatcher;
    }

    static Line connect(Shard shard, Owner owner, int dispatcher, SocketConnector connector,
            InetSocketAddress address) {
        var line = new Line(shard, owner, dispatcher);
        var future = connector.connect(address);
        future.addListener(done -> shard.loop().post(() -> shard.handle(() -> {
            line.session = LinkHandler.attach(future, line);
            if (line.session == null) {
                line.end();
            } else if (line.closed) {
                line.session.closeNow();
            } else {
                owner.up(line);
            }
        })));
        return line;
    }

    int dispatcher() {
        return dispatcher;
    }

    /** Whether a request has been answered on it before. */
    boolean isUsed() {
        return answers > 0;
    }

    /** {@code whole}: run on the shard once the last byte is written. */
    void write(HttpMessage message, Runnable whole) {
        written++;
        var future = session.write(message);
        if (whole != null) {
            future.addListener(done -> {
                if (future.isWritten()) {
                    shard.loop().post(() -> shard.handle(whole));
                }
            });
        }
    }

    @Override
    public void received(Object message, long at) {
        shard.handle(at, () -> {
            if (closed) {
                return;
            }
            if (answers == written || !(message instanceof HttpMessage answer)) {
                end();
                return;
            }
            answers++;
            owner.answered(this, answer);
        });
    }

    @Override
    public void ended() {
        shard.handle(this::end);
    }

    private void end() {
        if (!closed) {
            close();
            owner.ended(this);
        }
    }

    /** The owner ends it and hears no more. */
    void close() {
        closed = true;
        if (session != null) {
            session.closeNow();
        }
    }
}
