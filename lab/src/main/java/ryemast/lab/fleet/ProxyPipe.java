package ryemast.lab.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import ryemast.lab.fleet.ProxyLink.Passage;
import ryemast.lab.fleet.ProxyLink.Way;

/** One connection over a link: two sockets, and a flow of bytes in each direction. On the proxy's thread. */
final class ProxyPipe {

    private static final int CHUNK = 16 * 1024;
    /** Of one direction; beyond it nothing more is read until some of it has gone. */
    private static final int MOST_HELD = 256 * 1024;

    private record Chunk(ByteBuffer bytes, long due, Passage passage) {
    }

    private final ProxyLink link;
    private final Side near;
    private final Side far;
    private final Flow up;
    private final Flow down;
    /** How the request began whose answer is next; null: nothing was asked since the last answer. */
    private StringBuilder asked;
    private boolean over;

    /** {@code onward}: null for one that leads nowhere. */
    ProxyPipe(ProxyLink link, SocketChannel come, SocketChannel onward, InetSocketAddress to)
            throws IOException {
        this.link = link;
        near = new Side(come, true);
        far = onward == null ? null : new Side(onward, false);
        up = new Flow(Way.UP, near, far);
        down = new Flow(Way.DOWN, far, near);
        near.attach(SelectionKey.OP_READ);
        if (far == null) {
            up.deaf = true;
            down.done = true;
            return;
        }
        try {
            far.attach(far.channel.connect(to) ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT);
        } catch (IOException e) {
            reset();
        }
    }

    /** Both ends learn of it at once. */
    void reset() {
        end(true);
    }

    private void end(boolean abruptly) {
        if (over) {
            return;
        }
        over = true;
        link.ended(this);
        near.end(abruptly);
        if (far != null) {
            far.end(abruptly);
        }
    }

    /** Every direction has said its last, and all of it has arrived or was lost. */
    private void endIfDone() {
        if (up.done && down.done || near.gone && (far == null || far.gone)) {
            end(false);
        }
    }

    /** One of the two sockets. */
    private final class Side implements Proxy.Channeled {
        private final SocketChannel channel;
        private final boolean isNear;
        private SelectionKey key;
        private boolean gone;

        Side(SocketChannel channel, boolean isNear) throws IOException {
            this.channel = channel;
            this.isNear = isNear;
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        }

        void attach(int interest) throws IOException {
            key = channel.register(link.proxy().selector(), interest, this);
        }

        private Flow outOf() {
            return isNear ? up : down;
        }

        private Flow into() {
            return isNear ? down : up;
        }

        @Override
        public void ready(SelectionKey ready) throws IOException {
            if (ready.isConnectable()) {
                channel.finishConnect();
                interest();
                into().send();
            }
            if (ready.isValid() && ready.isReadable()) {
                outOf().read();
            }
            if (ready.isValid() && ready.isWritable()) {
                into().send();
            }
        }

        /** What it waits for at present. */
        void interest() {
            if (key == null || !key.isValid() || !channel.isConnected()) {
                return;
            }
            boolean reads = !outOf().ended && outOf().held < MOST_HELD;
            boolean writes = into().blocked;
            key.interestOps((reads ? SelectionKey.OP_READ : 0) | (writes ? SelectionKey.OP_WRITE : 0));
        }

        /** An end by reset: the other side hears of it, unless that is lost. */
        @Override
        public void failed() {
            if (over) {
                return;
            }
            gone = true;
            if (outOf().isLost()) {
                end(false);
                endIfDone();
            } else {
                ProxyPipe.this.reset();
            }
        }

        void end(boolean abruptly) {
            try {
                if (abruptly) {
                    channel.setOption(StandardSocketOptions.SO_LINGER, 0);
                }
                channel.close();
            } catch (IOException e) {
                // It has ended already.
            }
        }
    }

    /** Bytes of one direction on their way. */
    private final class Flow {
        private final Way way;
        private final Side source;
        private final Side sink;
        private final Deque<Chunk> chunks = new ArrayDeque<>();
        private int held;
        private boolean deaf;
        private boolean ended;
        private boolean done;
        private boolean blocked;

        Flow(Way way, Side source, Side sink) {
            this.way = way;
            this.source = source;
            this.sink = sink;
        }

        /** Whether what comes now is swallowed; once it was, all that comes later is, too. */
        private boolean isLost() {
            if (!deaf && !link.isCut(way)) {
                return false;
            }
            deaf = true;
            link.read(way);
            return true;
        }

        void read() throws IOException {
            var bytes = ByteBuffer.allocate(CHUNK);
            int count = source.channel.read(bytes);
            if (count == 0) {
                return;
            }
            if (isLost()) {
                chunks.clear();
                held = 0;
                if (count < 0) {
                    ended = true;
                    done = true;
                    endIfDone();
                }
            } else if (count < 0) {
                ended = true;
                chunks.add(new Chunk(ByteBuffer.allocate(0), due(), link.read(way)));
                send();
            } else if (!losesAnswer(bytes)) {
                held += count;
                chunks.add(new Chunk(bytes.flip(), due(), link.read(way)));
                send();
            }
            if (!over) {
                source.interest();
            }
        }

        /** Notes what is asked, and loses what is answered if that is to be lost. */
        private boolean losesAnswer(ByteBuffer bytes) {
            if (way == Way.UP) {
                asked = asked == null ? new StringBuilder() : asked;
                int wanted = Math.min(bytes.position(), link.longestBeginning() - asked.length());
                if (wanted > 0) {
                    asked.append(new String(bytes.array(), 0, wanted, StandardCharsets.ISO_8859_1));
                }
                return false;
            }
            var request = asked;
            asked = null;
            if (request == null || !link.losesAnswer(request.toString())) {
                return false;
            }
            ProxyPipe.this.reset();
            return true;
        }

        private long due() {
            return link.delay() == 0 && chunks.isEmpty() ? 0 : link.proxy().now() + link.delay();
        }

        /** Passes on what is due; the rest when it is, or when there is room. */
        void send() throws IOException {
            blocked = false;
            while (!over && !chunks.isEmpty() && sink.channel.isConnected()) {
                var next = chunks.peek();
                if (next.due > link.proxy().now()) {
                    link.proxy().at(next.due, this::sendLater);
                    break;
                }
                if (next.bytes.capacity() == 0) {
                    chunks.poll();
                    next.passage.passed(link.proxy().now());
                    sink.channel.shutdownOutput();
                    done = true;
                    endIfDone();
                    return;
                }
                held -= sink.channel.write(next.bytes);
                if (next.bytes.hasRemaining()) {
                    blocked = true;
                    break;
                }
                chunks.poll();
                next.passage.passed(link.proxy().now());
            }
            if (!over) {
                sink.interest();
                source.interest();
            }
        }

        private void sendLater() {
            if (over || chunks.isEmpty()) {
                return;
            }
            try {
                send();
            } catch (IOException e) {
                sink.failed();
            }
        }
    }
}
