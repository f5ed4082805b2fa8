package ryemast.lab.sockets;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.logging.Logger;
import java.util.function.UnaryOperator;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import ryemast.lab.site.Machine;
import ryemast.lab.site.Machine.Door;
import ryemast.net.Addresses;

/**
 * The address at which one dispatcher reaches one box, and its door: open, closed so that connects are
 * refused, or silent so that they never come up. Between two states there is a moment in which connects are
 * refused, as no two can listen at one address. Owned by the box's shard.
 */
final class BoxPort {

    private static final Logger LOG = Logger.getLogger(BoxPort.class.getName());
    /** A closed listener goes when its selector turns next. */
    private static final long AGAIN_AFTER = 500;
    private static final int MOST_TRIES = 2_000;

    private interface Opening {
        void run() throws IOException;
    }

    private final Shard shard;
    private final UnaryOperator<String> targets;
    private final NioSocketAcceptor acceptor;
    private final Machine machine;
    private final int dispatcher;
    private final InetSocketAddress address;
    private final Set<BoxConnection> open = new LinkedHashSet<>();
    /** As the dispatcher finds it. */
    private Door door = Door.OPEN;
    private Silence silence;

    BoxPort(Shard shard, NioSocketAcceptor acceptor, Machine machine, int dispatcher,
            InetSocketAddress address, UnaryOperator<String> targets) {
        this.targets = targets;
        this.shard = shard;
        this.acceptor = acceptor;
        this.machine = machine;
        this.dispatcher = dispatcher;
        this.address = address;
    }

    /** The path that a request of this name bears. */
    String target(String txn) {
        return targets.apply(txn);
    }

    Machine machine() {
        return machine;
    }

    int dispatcher() {
        return dispatcher;
    }

    InetSocketAddress address() {
        return address;
    }

    boolean isSilent() {
        return door == Door.SILENT;
    }

    /** A connection has come up; while nothing is said, not even that is told to the box. */
    BoxConnection came(IoSession session) {
        var connection = new BoxConnection(shard, this, session);
        open.add(connection);
        if (door == Door.REFUSES) {
            connection.reset();
        } else if (door == Door.OPEN) {
            connection.begin();
        }
        return connection;
    }

    void left(BoxConnection connection) {
        open.remove(connection);
    }

    /** What a crash and a machine that comes back have in common: nobody knows the old connections. */
    private void resetAll() {
        List.copyOf(open).forEach(BoxConnection::reset);
    }

    void door(Door next) {
        if (next == door) {
            return;
        }
        if (door == Door.OPEN) {
            acceptor.unbind(address);
        } else if (silence != null) {
            silence.close();
            silence = null;
        }
        if (next == Door.REFUSES || door == Door.SILENT) {
            resetAll();
        }
        door = next;
        if (next == Door.OPEN) {
            untilDone(next, () -> acceptor.bind(address), 1);
        } else if (next == Door.SILENT) {
            untilDone(next, () -> silence = new Silence(address), 1);
        }
    }

    private void untilDone(Door wanted, Opening opening, int tries) {
        if (door != wanted) {
            return;
        }
        try {
            opening.run();
        } catch (IOException e) {
            if (tries < MOST_TRIES) {
                shard.at(shard.now() + AGAIN_AFTER, () -> untilDone(wanted, opening, tries + 1));
            } else {
                LOG.severe("box " + machine.index() + " can't get " + Addresses.text(address) + ": " + e);
            }
        }
    }

    void close() {
        if (silence != null) {
            silence.close();
            silence = null;
        }
    }
}
