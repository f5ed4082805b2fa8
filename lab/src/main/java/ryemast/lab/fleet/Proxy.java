package ryemast.lab.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.ExecutionException;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Carries the links of a fleet's processes, byte by byte in one thread, and harms them when a trial says so.
 * It knows nothing of what it carries. No stream ever has a gap: a connection that has lost bytes in one
 * direction says nothing more that way, as behind a firewall that has forgotten it, until somebody ends it.
 */
public final class Proxy implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger(Proxy.class.getName());
    private static final long PATIENCE_S = 5;
    private static final long MICROS_PER_MS = 1_000;

    /** What a channel's key leads to. */
    interface Channeled {
        void ready(SelectionKey key) throws IOException;

        /** It failed: nothing more comes of it. */
        void failed();
    }

    private record Due(long at, Runnable step) {
    }

    private final LongSupplier clock;
    private final Selector selector = Selector.open();
    private final Queue<Runnable> posted = new ConcurrentLinkedQueue<>();
    private final PriorityQueue<Due> dues = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    private final List<ProxyLink> links = new ArrayList<>();
    private final Thread thread = new Thread(this::run, "proxy");
    private volatile boolean closed;

    /** {@code clock}: microseconds, of the books that what is lost is written into. */
    public Proxy(LongSupplier clock) throws IOException {
        this.clock = clock;
        thread.setDaemon(true);
        thread.start();
    }

    /** A link that listens at an address of its own on the host of the one it leads to. */
    public ProxyLink link(InetSocketAddress to) {
        return ask(() -> {
            var link = new ProxyLink(this, to);
            links.add(link);
            return link;
        });
    }

    Selector selector() {
        return selector;
    }

    long now() {
        return clock.getAsLong();
    }

    /** A step on the proxy's thread at that time; to be called there. */
    void at(long due, Runnable step) {
        dues.add(new Due(due, step));
    }

    interface Question<T> {
        T answer() throws IOException;
    }

    /** Has something done on the proxy's thread and waits for it: when this returns, it holds. */
    <T> T ask(Question<T> question) {
        var answer = new CompletableFuture<T>();
        posted.add(() -> {
            try {
                answer.complete(question.answer());
            } catch (IOException | RuntimeException e) {
                answer.completeExceptionally(e);
            }
        });
        selector.wakeup();
        try {
            return answer.get(PATIENCE_S, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException("the proxy: " + e, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    private void run() {
        while (!closed) {
            try {
                selector.select(this::ready, untilNext());
                for (var step = posted.poll(); step != null; step = posted.poll()) {
                    step.run();
                }
                while (!dues.isEmpty() && dues.peek().at <= now()) {
                    dues.poll().step.run();
                }
            } catch (IOException | RuntimeException e) {
                LOG.log(Level.SEVERE, "a step of the proxy failed", e);
            }
        }
    }

    /** 0: until something happens. */
    private long untilNext() {
        return dues.isEmpty() ? 0 : Math.max(1, (dues.peek().at - now() + MICROS_PER_MS - 1) / MICROS_PER_MS);
    }

    private void ready(SelectionKey key) {
        var what = (Channeled) key.attachment();
        try {
            if (key.isValid()) {
                what.ready(key);
            }
        } catch (IOException e) {
            what.failed();
        }
    }

    @Override
    public void close() {
        ask(() -> {
            links.forEach(ProxyLink::shut);
            return null;
        });
        closed = true;
        selector.wakeup();
        try {
            thread.join(TimeUnit.SECONDS.toMillis(PATIENCE_S));
            selector.close();
        } catch (IOException e) {
            LOG.fine(() -> "the proxy's selector: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
