package ryemast.lab.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * One address in the place of another: whoever connects here is carried there. All that can be done to it
 * holds once the call returns; any thread may call. What it does to bytes it notes down by time, for those
 * who judge what could have been known where.
 */
public final class ProxyLink implements Proxy.Channeled {

    /** Of bytes: from the process towards what it asks, and back. */
    public enum Way { UP, DOWN }

    /** What is written has been read here by then, also on a machine with much else to do; microseconds. */
    private static final long READ_BY = 1_000_000;
    /** What is read so closely after one another may be of either of two writings. */
    private static final long TOGETHER = 20_000;

    /** Of what was lost. */
    public static final long NEVER = Long.MAX_VALUE;

    /** Bytes on their way over a link. */
    static final class Passage {
        private final long readAt;
        private long passedAt = NEVER;

        Passage(long readAt) {
            this.readAt = readAt;
        }

        void passed(long at) {
            passedAt = at;
        }
    }

    private final Proxy proxy;
    private final InetSocketAddress to;
    private final InetSocketAddress address;
    private final ServerSocketChannel listener = ServerSocketChannel.open();
    private final Set<ProxyPipe> pipes = new LinkedHashSet<>();
    private final Set<Way> cut = EnumSet.noneOf(Way.class);
    private final Map<Way, TreeMap<Long, Passage>> passages = new EnumMap<>(Way.class);
    private long delay;
    private int answersToLose;
    private String ofRequests = "";
    private long answersLost;

    /** On the proxy's thread. */
    ProxyLink(Proxy proxy, InetSocketAddress to) throws IOException {
        this.proxy = proxy;
        this.to = to;
        for (var way : Way.values()) {
            passages.put(way, new TreeMap<>());
        }
        listener.configureBlocking(false);
        listener.bind(new InetSocketAddress(to.getAddress(), 0));
        address = (InetSocketAddress) listener.getLocalAddress();
        listener.register(proxy.selector(), SelectionKey.OP_ACCEPT, this);
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return address;
    }

    /**
     * From here on bytes of that direction are swallowed and nothing is said. A connection that comes up
     * meanwhile finds somebody who takes all it says and never answers.
     */
    public void cut(Set<Way> ways) {
        proxy.ask(() -> cut.addAll(ways));
    }

    /** Both directions are whole again, for new connections and for those that have lost nothing. */
    public void heal() {
        proxy.ask(() -> {
            cut.clear();
            return null;
        });
    }

    /** Bytes pass so many microseconds late in each direction; 0: at once. */
    public void delay(long micros) {
        proxy.ask(() -> {
            delay = micros;
            return null;
        });
    }

    /** Resets every connection that is open. */
    public void reset() {
        proxy.ask(() -> {
            List.copyOf(pipes).forEach(ProxyPipe::reset);
            return null;
        });
    }

    /**
     * Of the next requests that begin so, as many as are said pass, and what is answered does not: the
     * connection is reset in its place. Takes the place of what was said before; 0 takes it back.
     */
    public void loseAnswers(int count, String beginning) {
        proxy.ask(() -> {
            answersToLose = count;
            ofRequests = beginning;
            return null;
        });
    }

    /** How many answers were lost so far after their requests had passed. */
    public long answersLost() {
        return proxy.ask(() -> answersLost);
    }

    /**
     * When something that was written at that time had passed on; {@link #NEVER} if it was lost on its way.
     * What was written at nearly the same time on two connections counts as lost if either was.
     */
    public long passedAt(Way way, long writtenAt) {
        return proxy.ask(() -> {
            long passedAt = 0;
            long until = writtenAt + READ_BY;
            for (var each : passages.get(way).tailMap(writtenAt).values()) {
                if (each.readAt > until) {
                    break;
                }
                if (each.passedAt == NEVER) {
                    return NEVER;
                }
                until = passedAt == 0 ? each.readAt + TOGETHER : until;
                passedAt = passedAt == 0 ? each.passedAt : passedAt;
            }
            return Math.max(writtenAt, passedAt);
        });
    }

    Proxy proxy() {
        return proxy;
    }

    boolean isCut(Way way) {
        return cut.contains(way);
    }

    long delay() {
        return delay;
    }

    /** Bytes have been read that are to pass; they are lost until they have. */
    Passage read(Way way) {
        var passage = new Passage(proxy.now());
        // Of some read in the same microsecond the first stands for all.
        return passages.get(way).computeIfAbsent(passage.readAt, key -> passage);
    }

    /** Whether the answer to a request that began so is to be lost; counts it if so. */
    boolean losesAnswer(String request) {
        if (answersToLose == 0 || !request.startsWith(ofRequests)) {
            return false;
        }
        answersToLose--;
        answersLost++;
        return true;
    }

    int longestBeginning() {
        return ofRequests.length();
    }

    void ended(ProxyPipe pipe) {
        pipes.remove(pipe);
    }

    @Override
    public void ready(SelectionKey key) throws IOException {
        for (var come = listener.accept(); come != null; come = listener.accept()) {
            pipes.add(new ProxyPipe(this, come, cut.isEmpty() ? SocketChannel.open() : null, to));
        }
    }

    @Override
    public void failed() {
        // One that was to be accepted went before; the listener itself goes on.
    }

    /** On the proxy's thread. */
    void shut() {
        List.copyOf(pipes).forEach(ProxyPipe::reset);
        try {
            listener.close();
        } catch (IOException e) {
            // It is gone either way.
        }
    }
}
