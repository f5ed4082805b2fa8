package ryemast.coordination;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.logging.Logger;
import ryemast.core.Loop;
import ryemast.core.Note;
import ryemast.store.DurableStore;
import ryemast.store.StoreException;

/**
 * Records in a store of the dispatcher's own, for a site that has one dispatcher. Guarantees that what is
 * read is on the disk, and that a step that was told as done survives the process and the machine. Steps
 * that come while others are being written wait, and are then written together, as if one after another.
 *
 * <p>A write that fails may have reached the file nevertheless, where only the last sync failed. So after a
 * failure nothing goes on until the file has been read: its count of versions says whether the batch is in
 * it. If not, its steps are told as not done; if so, as unknown, as the disk has not promised to keep them.
 *
 * <p>A lock on a file beside the store keeps a second process out for as long as this one lives, also while
 * the store closes and opens itself after a failure. Bounded: the records' memory, and the steps that wait.
 */
public final class EmbeddedCoordination implements Coordination {

    private static final Logger LOG = Logger.getLogger(EmbeddedCoordination.class.getName());
    private static final DurableStore.Kind KIND =
            new DurableStore.Kind("coordination", 1, Long.MAX_VALUE, 0);
    private static final String FILE = "coordination.mv";
    private static final String LOCK = "coordination.lock";
    private static final int MOST_TOGETHER = 256;
    /** A reading of the file that failed is tried again after so long: a full disk is no quicker. */
    private static final long AGAIN = 200_000;
    private static final long FIRST_WRITE_S = 10;

    /**
     * Bounds.
     *
     * @param limit        in which a step or a reading is answered, in microseconds
     * @param mostBytes    what the records may take in memory, about
     * @param mostWaiting  steps that wait for the disk; more are not done
     */
    public record Limits(long limit, long mostBytes, int mostWaiting) {

        /** A disk that takes longer than two seconds for an fsync is as good as none for leases of three. */
        public static final Limits DEFAULT = new Limits(2_000_000, 64 << 20, 4_096);
    }

    /** A step on its way; told once. */
    private static final class Waiting {
        private final Step step;
        private final Consumer<Result> then;
        private Runnable limit;
        private boolean out;
        private boolean told;

        Waiting(Step step, Consumer<Result> then) {
            this.step = step;
            this.then = then;
        }
    }

    private final class Watching {
        private final String prefix;
        private final Watcher watcher;
        private boolean due;
        private boolean ended;

        Watching(String prefix, Watcher watcher) {
            this.prefix = prefix;
            this.watcher = watcher;
        }

        /** Once for all that changes in a turn. */
        void tell() {
            if (!due) {
                due = true;
                later(() -> {
                    due = false;
                    if (!ended) {
                        watcher.changed(records.list(prefix));
                    }
                });
            }
        }

        void blind() {
            if (!ended) {
                watcher.blind("the store failed, and can't be read");
            }
        }
    }

    private final Loop loop;
    private final Limits limits;
    private final FileChannel lockFile;
    private final DurableStore store;
    private final Records records;
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private final List<Watching> watches = new ArrayList<>();
    private boolean due;
    /** Steps are with the store. */
    private boolean writing;
    /** What became of the last write is not known yet. */
    private boolean doubtful;
    /** The file could not be read either. */
    private boolean blind;
    private boolean closed;

    private EmbeddedCoordination(Loop loop, Limits limits, FileChannel lockFile, DurableStore store,
            Records records) {
        this.loop = loop;
        this.limits = limits;
        this.lockFile = lockFile;
        this.store = store;
        this.records = records;
    }

    /** Opens the store in a folder, or begins it; the exception says why it can't be used. */
    public static EmbeddedCoordination open(Loop loop, Path folder, Limits limits)
            throws CoordinationException {
        return open(loop, folder, folder.resolve(FILE), limits);
    }

    static EmbeddedCoordination open(Loop loop, Path folder, Path file, Limits limits)
            throws CoordinationException {
        var lockFile = lock(folder);
        DurableStore store = null;
        try {
            var records = new Records(limits.mostBytes());
            store = DurableStore.open(file, KIND);
            store.each(Records.TABLE, records::loaded);
            store.each(Records.COUNT, (key, value) -> records.counted(value));
            begin(store, records);
            return new EmbeddedCoordination(loop, limits, lockFile, store, records);
        } catch (StoreException | RuntimeException e) {
            if (store != null) {
                store.close();
            }
            release(lockFile);
            throw unusable(folder, e.getMessage(), e);
        }
    }

    /** A new file is given its count, so that none in it always means that it can't be read. */
    private static void begin(DurableStore store, Records records) throws StoreException {
        if (records.last() > 0) {
            return;
        }
        var written = new CompletableFuture<IOException>();
        store.write(records.begin(), written::complete);
        IOException failure;
        try {
            failure = written.get(FIRST_WRITE_S, TimeUnit.SECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            failure = new IOException("it could not be written in " + FIRST_WRITE_S + " s", e);
        }
        if (failure != null) {
            throw new StoreException(failure.getMessage(), failure);
        }
    }

    private static FileChannel lock(Path folder) throws CoordinationException {
        FileChannel channel = null;
        FileLock lock = null;
        try {
            Files.createDirectories(folder);
            channel = FileChannel.open(folder.resolve(LOCK), StandardOpenOption.CREATE,
                    StandardOpenOption.WRITE);
            lock = channel.tryLock();
        } catch (OverlappingFileLockException e) {
            lock = null;
        } catch (IOException e) {
            release(channel);
            throw unusable(folder, "can't be used: " + e, e);
        }
        if (lock == null) {
            release(channel);
            throw new StoreInUseException(folder);
        }
        return channel;
    }

    private static CoordinationException unusable(Path folder, String why, Exception cause) {
        return new CoordinationException("coordination.folder = " + folder, why,
                "The dispatcher does not start, and the folder stays as it is",
                "Mend it or name another folder, which begins with no records", cause);
    }

    private static void release(FileChannel lockFile) {
        try {
            if (lockFile != null) {
                lockFile.close();
            }
        } catch (IOException e) {
            Note.warning(LOG, "the lock file could not be closed: {why}", "why", e.toString());
        }
    }

    @Override
    public void read(String key, boolean certain, Consumer<Reading> then) {
        Step.checkKey(key);
        later(() -> then.accept(reading(certain, () -> {
            var entry = records.get(key);
            return entry == null ? List.of() : List.of(entry);
        })));
    }

    @Override
    public void list(String prefix, boolean certain, Consumer<Reading> then) {
        later(() -> then.accept(reading(certain, () -> records.list(prefix))));
    }

    private Reading reading(boolean certain, Supplier<List<Entry>> found) {
        return certain && doubtful
                ? new Reading(null, "the disk failed, and it is not known yet what it holds")
                : new Reading(found.get(), null);
    }

    @Override
    public void commit(Step step, Consumer<Result> then) {
        if (step.changes().isEmpty()) {
            throw new IllegalArgumentException("a step of nothing");
        }
        var one = new Waiting(step, then);
        if (waiting.size() >= limits.mostWaiting()) {
            later(() -> tell(one, new Result(Fate.NOT_DONE, List.of(), limits.mostWaiting()
                    + " steps wait for the disk already")));
            return;
        }
        one.limit = loop.at(loop.now() + limits.limit(), () -> late(one));
        waiting.add(one);
        goOn();
    }

    /** In the next step of the loop, so that what comes in one turn is written together. */
    private void goOn() {
        if (!due && !writing && !waiting.isEmpty()) {
            due = true;
            later(this::writeNext);
        }
    }

    private void late(Waiting one) {
        if (closed || one.told) {
            return;
        }
        waiting.remove(one);
        tell(one, one.out
                ? new Result(Fate.UNKNOWN, List.of(), "the disk did not say in time whether it was written")
                : new Result(Fate.NOT_DONE, List.of(), "the disk did not come to it in time"));
    }

    private static void tell(Waiting one, Result result) {
        if (!one.told) {
            one.told = true;
            if (one.limit != null) {
                one.limit.run();
            }
            one.then.accept(result);
        }
    }

    private void writeNext() {
        due = false;
        if (writing) {
            return;
        }
        var together = new ArrayList<Waiting>();
        while (!waiting.isEmpty() && together.size() < MOST_TOGETHER) {
            together.add(waiting.poll());
        }
        var batch = records.attempt(together.stream().map(each -> each.step).toList());
        if (batch.over().isEmpty()) {
            tellAll(together, batch, null);
            goOn();
            return;
        }
        writing = true;
        together.forEach(each -> each.out = true);
        store.write(batch.changes(), failure -> loop.post(() -> written(together, batch, failure)));
    }

    private void written(List<Waiting> together, Records.Batch batch, IOException failure) {
        if (closed) {
            return;
        }
        if (failure == null) {
            done(together, batch, null);
            return;
        }
        doubtful = true;
        var why = why(failure);
        Note.warning(LOG, "{count} steps could not be written, and the file is asked what became of them:"
                + " {why}", "count", together.size(), "why", why);
        settle(together, batch, why);
    }

    /** With what the system said, which the store's own words leave out. */
    private static String why(IOException failure) {
        Throwable deepest = failure;
        while (deepest.getCause() != null) {
            deepest = deepest.getCause();
        }
        return failure.getMessage() + (deepest == failure ? "" : " (" + deepest.getMessage() + ")");
    }

    private void settle(List<Waiting> together, Records.Batch batch, String failure) {
        if (closed) {
            return;
        }
        store.read(Records.COUNT, Records.COUNT_KEY,
                found -> loop.post(() -> settle(together, batch, failure, found)));
    }

    /** {@code found}: null where the file can't be read. */
    private void settle(List<Waiting> together, Records.Batch batch, String failure, byte[] found) {
        if (closed) {
            return;
        }
        if (found == null) {
            if (!blind) {
                blind = true;
                watches.forEach(each -> later(each::blind));
            }
            loop.at(loop.now() + AGAIN, () -> settle(together, batch, failure));
            return;
        }
        doubtful = false;
        long count = Records.count(found);
        Note.info(LOG, "the file holds {what} of the steps in doubt", "what",
                count == batch.last() ? "all" : "none");
        if (count == batch.last()) {
            done(together, batch, new Result(Fate.UNKNOWN, List.of(),
                    "it is in the file, but the disk failed to keep it: " + failure));
        } else {
            var not = new Result(Fate.NOT_DONE, List.of(), failure);
            together.forEach(each -> later(() -> tell(each, not)));
            ready();
        }
    }

    private void done(List<Waiting> together, Records.Batch batch, Result ofThoseWritten) {
        records.take(batch);
        tellAll(together, batch, ofThoseWritten);
        for (var each : watches) {
            if (batch.over().keySet().stream().anyMatch(key -> key.startsWith(each.prefix))) {
                each.tell();
            }
        }
        ready();
    }

    /** {@code ofThoseWritten}: in place of their own; null for their own. */
    private void tellAll(List<Waiting> together, Records.Batch batch, Result ofThoseWritten) {
        for (int i = 0; i < together.size(); i++) {
            var one = together.get(i);
            var outcome = batch.outcomes().get(i);
            later(() -> tell(one, ofThoseWritten != null && outcome.writes() ? ofThoseWritten
                    : outcome.result()));
        }
    }

    private void ready() {
        writing = false;
        if (blind) {
            blind = false;
            watches.forEach(Watching::tell);
        }
        goOn();
    }

    @Override
    public Runnable watch(String prefix, Watcher watcher) {
        var watching = new Watching(prefix, watcher);
        watches.add(watching);
        watching.tell();
        return () -> {
            watching.ended = true;
            watches.remove(watching);
        };
    }

    private void later(Runnable step) {
        loop.post(() -> {
            if (!closed) {
                step.run();
            }
        });
    }

    /** Waits for what is being written. */
    @Override
    public void close() {
        if (!closed) {
            closed = true;
            store.close();
            release(lockFile);
        }
    }
}
