package ryemast.lab.books;

import java.util.concurrent.atomic.AtomicLong;

/**
 * The boxes' books of jobs that no emulated client sends: what only clients, discovery or the supervisor
 * write is none of theirs, and goes to the run's own books. Any thread may use it.
 */
public abstract class BoxBooks implements OtherJobs, Books {

    private static final long NEVER = Long.MAX_VALUE / 2;

    private final AtomicLong numbers;

    /** {@code first}: the jobs are numbered from there on; far from clients' and from others' like these. */
    protected BoxBooks(long first) {
        numbers = new AtomicLong(first);
    }

    /** A try that nobody waits for; {@code work}: in microseconds on a core of speed 1. */
    protected final Try attempt(String txn, int jobClass, double work) {
        return new Try(txn, new Job(numbers.incrementAndGet(), jobClass, 0, work, 1, 0, 0, NEVER, false), 0,
                NEVER);
    }

    @Override
    public final Books books() {
        return this;
    }

    @Override
    public final void replied(int box, int dispatcher, String txn, long at, Reply reply) {
        // What counts is whether it began.
    }

    @Override
    public final void asked(Try sent, int dispatcher, long at) {
    }

    @Override
    public final void told(String txn, long at, int status, long retryAfter, String result) {
    }

    @Override
    public final void left(String txn, long at) {
    }

    @Override
    public final void broke(String txn, long at, boolean sent) {
    }

    @Override
    public final void box(int box, long at, BoxState state, double capacity) {
    }

    @Override
    public final void listed(int dispatcher, int box, long at, BoxState state, long startedAt) {
    }

    @Override
    public final void listable(int box, long at, BoxState state, long startedAt) {
    }

    @Override
    public final void dispatcher(int dispatcher, long at, DispatcherState state) {
    }

    @Override
    public final void late(long at, long by) {
    }
}
