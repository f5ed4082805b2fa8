package ryemast.lab.books;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;

/**
 * The books of a run, kept in memory. Any thread writes at the cost of one look-up and one append: each has
 * pages of its own, whose lock nobody else wants while the run lasts. {@link #read} may be called at any
 * time, also in the middle of a run, and gives what was written so far as histories.
 *
 * <p>Entries are immutable and small, names are those that {@link Tries} holds, kept once, and of bodies
 * and results only the {@link Fingerprint} is kept. A job that is served at its first try takes about 480
 * bytes, its try and name included, and its history 360 more once it is read (300,000 jobs, Java 17, heap
 * after collection); lateness goes into a histogram.
 */
public final class MemoryBooks implements Books {

    private static final int PAGE = 4_096;
    /** Lateness beyond an hour counts as an hour. */
    private static final long LATEST = 3_600_000_000L;

    private final Tries tries;
    private final Queue<Pages> written = new ConcurrentLinkedQueue<>();
    private final ThreadLocal<Pages> own = ThreadLocal.withInitial(this::begin);

    public MemoryBooks() {
        this(new Tries());
    }

    /** {@code tries}: the same that the clients add to; it tells which names are known. */
    public MemoryBooks(Tries tries) {
        this.tries = tries;
    }

    public Tries tries() {
        return tries;
    }

    /** What was written so far, put together by try, job, box and dispatcher. */
    public History read() {
        Historian historian = new Historian(tries);
        for (Pages pages : written) {
            pages.each(historian::take);
        }
        return historian.history(lateness());
    }

    /** Microseconds that the emulator was late, over everything that it told of. */
    public Histogram lateness() {
        Histogram all = new Histogram(LATEST, 2);
        for (Pages pages : written) {
            pages.addLateness(all);
        }
        return all;
    }

    /** How many entries there are, for those who watch the room that they take. */
    public long entries() {
        return written.stream().mapToLong(Pages::size).sum();
    }

    @Override
    public void asked(Try sent, int dispatcher, long at) {
        asked(sent, dispatcher, at, Fingerprint.UNKNOWN);
    }

    @Override
    public void asked(Try sent, int dispatcher, long at, long body) {
        if (tries.find(sent.txn()) == null) {
            tries.add(sent);
        }
        add(new Entry.Asked(known(sent.txn()), dispatcher, at, body));
    }

    @Override
    public void told(String txn, long at, int status, long retryAfter, String result) {
        int retryAfterMs = (int) Math.min(Integer.MAX_VALUE, retryAfter / 1_000);
        add(new Entry.Told(known(txn), at, status, retryAfterMs, Fingerprint.of(result)));
    }

    @Override
    public void left(String txn, long at) {
        add(new Entry.Left(known(txn), at));
    }

    @Override
    public void broke(String txn, long at, boolean sent) {
        add(new Entry.Broke(known(txn), at, sent));
    }

    @Override
    public void arrived(int box, int dispatcher, String txn, long firstByteAt, long at) {
        arrived(box, dispatcher, txn, firstByteAt, at, Fingerprint.UNKNOWN);
    }

    @Override
    public void arrived(int box, int dispatcher, String txn, long firstByteAt, long at, long body) {
        add(new Entry.Arrived(box, dispatcher, known(txn), firstByteAt, at, body));
    }

    @Override
    public void replied(int box, int dispatcher, String txn, long at, Reply reply) {
        add(new Entry.Replied(box, dispatcher, known(txn), at, reply));
    }

    @Override
    public void began(int box, int dispatcher, String txn, long at) {
        add(new Entry.Began(box, dispatcher, known(txn), at));
    }

    @Override
    public void ended(int box, int dispatcher, String txn, long at, End end, double work, String result) {
        add(new Entry.Ended(box, dispatcher, known(txn), at, end, work, Fingerprint.of(result)));
    }

    @Override
    public void givenUp(int box, int dispatcher, String txn, long at) {
        add(new Entry.GivenUp(box, dispatcher, known(txn), at));
    }

    @Override
    public void box(int box, long at, BoxState state, double capacity) {
        add(new Entry.BoxIs(box, at, state, capacity));
    }

    @Override
    public void listed(int dispatcher, int box, long at, BoxState state, long startedAt) {
        add(new Entry.Listed(dispatcher, box, at, state, startedAt));
    }

    @Override
    public void listable(int box, long at, BoxState state, long startedAt) {
        add(new Entry.Listable(box, at, state, startedAt));
    }

    @Override
    public void dispatcher(int dispatcher, long at, DispatcherState state) {
        add(new Entry.DispatcherIs(dispatcher, at, state));
    }

    @Override
    public void late(long at, long by) {
        own.get().late(by);
    }

    private void add(Entry entry) {
        own.get().add(entry);
    }

    /** The one copy of a name that is kept; a name that no client has used stays as it came. */
    private String known(String txn) {
        Try sent = txn == null ? null : tries.find(txn);
        return sent == null ? txn : sent.txn();
    }

    private Pages begin() {
        Pages pages = new Pages();
        written.add(pages);
        return pages;
    }

    /** What one thread wrote. */
    private static final class Pages {

        private final List<Entry[]> full = new ArrayList<>();
        private Entry[] page = new Entry[PAGE];
        private int next;
        private final Histogram lateness = new Histogram(LATEST, 2);

        synchronized void add(Entry entry) {
            if (next == PAGE) {
                full.add(page);
                page = new Entry[PAGE];
                next = 0;
            }
            page[next++] = entry;
        }

        synchronized void late(long by) {
            lateness.recordValue(Math.max(0, Math.min(LATEST, by)));
        }

        synchronized void addLateness(Histogram all) {
            all.add(lateness);
        }

        synchronized long size() {
            return (long) full.size() * PAGE + next;
        }

        void each(Consumer<Entry> reader) {
            List<Entry[]> pages;
            int last;
            synchronized (this) {
                pages = new ArrayList<>(full);
                pages.add(page);
                last = next;
            }
            for (int i = 0; i < pages.size(); i++) {
                int end = i == pages.size() - 1 ? last : PAGE;
                for (int j = 0; j < end; j++) {
                    reader.accept(pages.get(i)[j]);
                }
            }
        }
    }
}
