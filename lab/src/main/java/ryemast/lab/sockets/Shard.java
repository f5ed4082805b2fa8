package ryemast.lab.sockets;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import ryemast.core.Clock;
import ryemast.core.Loop;
import ryemast.lab.books.Books;
import ryemast.lab.world.Timeline;

/**
 * Real time for one part of a site: a thread that owns all of that part's state, on the dispatcher's own
 * {@link Loop}, with ticks short enough for work of a millisecond.
 *
 * <p>How late it was goes into the books with each step: for a timer, since it was due; for bytes, since they
 * had been read. A step that fails is the emulator's own bug; it is counted, so that no run with one passes
 * for a good one.
 */
public final class Shard implements Timeline, AutoCloseable {

    /** Timers are exact to this, in microseconds; at a shorter one an idle shard wakes up for nothing. */
    static final long TICK = 100;
    private static final long PATIENCE_S = 5;
    private static final Logger LOG = Logger.getLogger(Shard.class.getName());

    private final Clock clock;
    private final Books books;
    private final Loop loop;
    private final Thread thread;
    private final AtomicLong failures = new AtomicLong();
    private long now;

    public Shard(String name, Clock clock, Books books) {
        this.clock = clock;
        this.books = books;
        loop = new Loop(clock::now, TICK);
        thread = new Thread(loop::run, name);
        thread.setDaemon(true);
        now = clock.now();
    }

    public void start() {
        thread.start();
    }

    /** For what hands in messages from other threads. */
    public Loop loop() {
        return loop;
    }

    /**
     * Any thread may ask; on the shard's own it stands still within a step. What others post to the loop
     * itself finds the time of the loop's turn, not that of the last step that came through here.
     */
    @Override
    public long now() {
        return Thread.currentThread() == thread ? Math.max(now, loop.now()) : clock.now();
    }

    /** Any thread may set one; only the shard's own may cancel it. */
    @Override
    public Timer at(long dueAt, Runnable step) {
        var due = new Due(dueAt, step);
        if (Thread.currentThread() == thread) {
            loop.at(dueAt, due);
        } else {
            loop.post(() -> loop.at(dueAt, due));
        }
        return due;
    }

    /** A step as soon as possible; any thread may hand one in. */
    public void post(Runnable step) {
        loop.post(() -> {
            refresh();
            guarded(step);
        });
    }

    /** Has something done or looked up there, and waits for it; for other threads. */
    public <T> T ask(Supplier<T> question) {
        var answer = new CompletableFuture<T>();
        loop.post(() -> {
            refresh();
            try {
                answer.complete(question.get());
            } catch (RuntimeException e) {
                answer.completeExceptionally(e);
            }
        });
        try {
            return answer.get(PATIENCE_S, TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            throw new IllegalStateException(thread.getName() + ": " + e.getCause(), e.getCause());
        } catch (TimeoutException e) {
            throw new IllegalStateException(thread.getName() + " is stuck for " + PATIENCE_S + " s", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    /** Runs a step of a connection, on the shard; {@code readAt}: when what it handles was read. */
    void handle(long readAt, Runnable step) {
        refresh();
        late(now - readAt);
        guarded(step);
    }

    /** The same for what nobody knows the time of. */
    void handle(Runnable step) {
        refresh();
        guarded(step);
    }

    /** The emulator was late with something by so many microseconds; to be called on the shard. */
    void late(long by) {
        books.late(now, by);
    }

    /** Steps that failed; anything but 0 makes the run worthless. */
    public long failures() {
        return failures.get();
    }

    @Override
    public void close() {
        loop.end();
        try {
            thread.join(TimeUnit.SECONDS.toMillis(PATIENCE_S));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void refresh() {
        now = Math.max(now, clock.now());
    }

    private void guarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            failures.incrementAndGet();
            LOG.log(Level.SEVERE, "a step of the emulator failed", e);
        }
    }

    private final class Due implements Timer, Runnable {
        private final long dueAt;
        private Runnable step;

        Due(long dueAt, Runnable step) {
            // A time gone by means at once; that is no lateness.
            this.dueAt = Math.max(dueAt, now());
            this.step = step;
        }

        @Override
        public void cancel() {
            step = null;
        }

        @Override
        public void run() {
            var ready = step;
            if (ready != null) {
                step = null;
                handle(dueAt, ready);
            }
        }
    }
}
