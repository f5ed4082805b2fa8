package ryemast.store;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;
import org.h2.mvstore.MVStoreTool;
import org.h2.mvstore.DataUtils;
import org.h2.mvstore.type.ByteArrayDataType;
import org.h2.mvstore.type.LongDataType;
import org.h2.store.fs.FilePath;

/**
 * Tables of bytes by number in one file that survives the process, on H2's MVStore. Guarantees that once
 * {@link #write} has reported success, what was written is on the disk (fsync), all of one {@link Changes}
 * or none; that writes take effect in the order in which they were handed over; and that no caller waits:
 * one thread of its own writes whatever has gathered since the last time, with one commit and one fsync for
 * all of it (group commit, as in DeWitt et al., "Implementation Techniques for Main Memory Database
 * Systems", 1984), and reads are answered by that thread, too.
 *
 * <p>A disk that fails, or is full, costs the writes of that commit, which are told so, and nothing else:
 * MVStore closes itself when a write fails, so the file is opened again, with the last state that was
 * committed, before the next commit; after a sync that failed all of it is written anew first. Files of a
 * newer schema, of another purpose, in use by another process, or torn beyond what MVStore's checksums can
 * find a whole state in, are not opened, and stay as they are.
 *
 * <p>MVStore never overwrites a live chunk, and picks the newest whole one at the start, so that a kill at
 * any time leaves the last commit. What is dead is used again after {@link #RETAIN_MS}; pages that keep a
 * mostly dead chunk alive are moved by the same thread when there is nothing else to do.
 */
public final class DurableStore implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger(DurableStore.class.getName());
    /** As every commit ends with an fsync, a dead chunk need only outlive the commits next to it. */
    private static final int RETAIN_MS = 2_000;
    private static final int CACHE_MB = 4;
    private static final int MOST_TOGETHER = 4_096;
    private static final long IDLE_MS = 500;
    private static final int FILL_PERCENT = 50;
    private static final int MOVE_BYTES = 1 << 20;
    private static final int CLOSE_COMPACT_MS = 200;
    private static final long END_S = 20;
    private static final String ABOUT = "about";
    /** What is added to the file's name while it is written anew. */
    private static final String ANEW = ".anew";

    /** What a store is, and how much it may take. */
    public record Kind(String purpose, int schema, long mostBytes, long reserveBytes) {
    }

    /** How it does; counts since the start. */
    public record Figures(long commits, long changes, long failures, long fileBytes,
            long longestCommitMicros) {
    }

    private record Step(Changes changes, Runnable read, Consumer<IOException> done) {
    }

    private final Path file;
    private final Kind kind;
    private final LinkedBlockingQueue<Step> waiting = new LinkedBlockingQueue<>();
    private final Map<String, MVMap<Long, byte[]>> tables = new HashMap<>();
    private final Thread thread = new Thread(this::run, "store");
    private volatile MVStore store;
    /** The last commit may be in the system's memory alone; of the store's thread, once it runs. */
    private boolean unsynced;
    private volatile boolean ended;
    private volatile long commits;
    private volatile long changed;
    private volatile long failures;
    private volatile long fileBytes;
    private volatile long longest;

    private DurableStore(Path file, Kind kind) {
        this.file = file;
        this.kind = kind;
    }

    /** Opens the file, or begins it; the exception says why it can't be used. */
    public static DurableStore open(Path file, Kind kind) throws StoreException {
        var made = new DurableStore(file, kind);
        try {
            if (file.toAbsolutePath().getParent() != null) {
                Files.createDirectories(file.toAbsolutePath().getParent());
            }
        } catch (IOException e) {
            throw new StoreException(file + ": its folder can't be made: " + e, e);
        }
        made.reopen();
        made.thread.setDaemon(true);
        made.thread.start();
        return made;
    }

    private void reopen() throws StoreException {
        MVStore opened;
        try {
            opened = new MVStore.Builder().fileName(file.toString()).autoCommitDisabled().cacheSize(CACHE_MB)
                    .open();
        } catch (MVStoreException e) {
            throw new StoreException(file + ": " + switch (e.getErrorCode()) {
                case DataUtils.ERROR_FILE_LOCKED -> "is in use by another process";
                case DataUtils.ERROR_UNSUPPORTED_FORMAT -> "is of a newer version of the store's own format";
                case DataUtils.ERROR_FILE_CORRUPT -> "is torn, and no whole state is left in it: "
                        + e.getMessage();
                default -> "can't be opened: " + e.getMessage();
            }, e);
        } catch (RuntimeException e) {
            throw new StoreException(file + ": can't be opened: " + e, e);
        }
        try {
            opened.setRetentionTime(RETAIN_MS);
            opened.setVersionsToKeep(0);
            opened.setReuseSpace(true);
            checkKind(opened);
        } catch (StoreException e) {
            opened.closeImmediately();
            throw e;
        } catch (RuntimeException e) {
            opened.closeImmediately();
            throw new StoreException(file + ": is torn, and can't be read: " + e.getMessage(), e);
        }
        tables.clear();
        store = opened;
    }

    /**
     * Guards what was promised against a sync that failed: the system may have dropped what it could not
     * write, still show it to whoever reads, and say nothing at the next sync. So before anything more is
     * taken all is written anew, to another file, which takes the place of this one once it is on the disk.
     */
    private void rewrite() throws StoreException {
        var from = file.toString();
        var anew = FilePath.get(from + ANEW);
        try {
            anew.delete();
            MVStoreTool.compact(from, anew.toString(), false);
            try (var channel = anew.open("rw")) {
                channel.force(true);
            }
            anew.moveTo(FilePath.get(from), true);
            var folder = Path.of(FilePath.get(from).unwrap().toString()).toAbsolutePath().getParent();
            try (var channel = FileChannel.open(folder, StandardOpenOption.READ)) {
                channel.force(true);
            }
            unsynced = false;
        } catch (IOException | RuntimeException e) {
            throw new StoreException(file + ": a sync failed, and it can't be written anew: " + e.getMessage()
                    + "; nothing more is taken until it can", e);
        }
    }

    private void checkKind(MVStore opened) throws StoreException {
        var about = opened.openMap(ABOUT, new MVMap.Builder<String, String>());
        var purpose = about.get("purpose");
        if (purpose == null && opened.getMapNames().size() <= 1) {
            about.put("purpose", kind.purpose());
            opened.setStoreVersion(kind.schema());
            opened.commit();
            opened.sync();
            return;
        }
        if (!kind.purpose().equals(purpose)) {
            throw new StoreException(file + ": holds something else (" + purpose + ", not " + kind.purpose()
                    + ")");
        }
        if (opened.getStoreVersion() > kind.schema()) {
            throw new StoreException(file + ": was written by a newer version of this program (schema "
                    + opened.getStoreVersion() + "; this one knows " + kind.schema() + ")");
        }
    }

    private MVMap<Long, byte[]> table(String name) {
        return tables.computeIfAbsent(name, key -> store.openMap(key, new MVMap.Builder<Long, byte[]>()
                .keyType(LongDataType.INSTANCE).valueType(ByteArrayDataType.INSTANCE)));
    }

    /** What {@link #each} hands out. */
    public interface Reader {
        void entry(long key, byte[] value);
    }

    /** Goes through a table in the order of its keys; for the start, before anything is written. */
    public void each(String table, Reader reader) throws StoreException {
        try {
            var cursor = table(table).cursor(null);
            while (cursor.hasNext()) {
                long key = cursor.next();
                reader.entry(key, cursor.getValue());
            }
        } catch (MVStoreException e) {
            throw new StoreException(file + ": table " + table + " can't be read: " + e.getMessage(), e);
        }
    }

    /**
     * Writes them together; {@code done} is called on the store's thread, with null once they are on the
     * disk, or with what went wrong, in which case none of them is, or, where it was the sync that failed,
     * all may be: {@link #read} tells.
     */
    public void write(Changes changes, Consumer<IOException> done) {
        if (ended) {
            done.accept(new IOException(file + ": is closed"));
            return;
        }
        waiting.add(new Step(changes, null, done));
    }

    /**
     * Reads one entry as it is in the file, behind the writes that were handed over before; {@code found} is
     * called on the store's thread, with null if there is none, or the file can't be read. After a write that
     * failed this is how to know what became of it, as the file is opened again.
     */
    public void read(String table, long key, Consumer<byte[]> found) {
        waiting.add(new Step(null, () -> {
            byte[] value = null;
            try {
                if (store.isClosed()) {
                    reopen();
                }
                value = table(table).get(key);
            } catch (RuntimeException | StoreException e) {
                LOG.log(Level.WARNING, file + ": an entry can't be read", e);
            }
            found.accept(value);
        }, null));
    }

    /** Whether there is room for so many bytes more, by the bound on the file and what the disk has left. */
    public boolean hasRoom(long bytes) {
        if (fileBytes + bytes > kind.mostBytes()) {
            return false;
        }
        try {
            return Files.getFileStore(file).getUsableSpace() - bytes >= kind.reserveBytes();
        } catch (IOException e) {
            return false;
        }
    }

    /** How many writes and reads wait. */
    public int waiting() {
        return waiting.size();
    }

    public Figures figures() {
        return new Figures(commits, changed, failures, fileBytes, longest);
    }

    private void run() {
        var together = new ArrayList<Step>();
        while (!ended || !waiting.isEmpty()) {
            try {
                var first = waiting.poll(IDLE_MS, TimeUnit.MILLISECONDS);
                if (first == null) {
                    rest();
                    continue;
                }
                together.add(first);
                waiting.drainTo(together, MOST_TOGETHER - 1);
                carryOut(together);
            } catch (InterruptedException e) {
                break;
            } catch (RuntimeException e) {
                LOG.log(Level.SEVERE, "a step of the store failed", e);
            } finally {
                together.clear();
            }
        }
    }

    private void carryOut(List<Step> steps) {
        var writes = new ArrayList<Step>();
        for (var step : steps) {
            if (step.changes != null) {
                writes.add(step);
            }
        }
        var failed = writes.isEmpty() ? null : commit(writes);
        for (var step : steps) {
            try {
                if (step.changes != null) {
                    step.done.accept(failed);
                } else {
                    step.read.run();
                }
            } catch (RuntimeException e) {
                LOG.log(Level.SEVERE, "a step after a write failed", e);
            }
        }
    }

    private IOException commit(List<Step> writes) {
        long begin = System.nanoTime();
        try {
            if (unsynced) {
                store.closeImmediately();
                rewrite();
            }
            if (store.isClosed()) {
                reopen();
            }
            for (var step : writes) {
                for (var change : step.changes.all()) {
                    var table = table(change.table());
                    if (change.value() == null) {
                        table.remove(change.key());
                    } else {
                        table.put(change.key(), change.value());
                    }
                    changed++;
                }
            }
            store.commit();
            unsynced = true;
            store.sync();
            unsynced = false;
            commits++;
            fileBytes = store.getFileStore().size();
            longest = Math.max(longest, (System.nanoTime() - begin) / 1_000);
            return null;
        } catch (RuntimeException | StoreException e) {
            failures++;
            // What is half put must not go out with the next commit.
            store.closeImmediately();
            return new IOException(file + ": can't be written: " + e.getMessage(), e);
        }
    }

    /** Nothing waits: room that is taken up by little is freed. */
    private void rest() {
        try {
            if (!store.isClosed() && !unsynced) {
                if (store.compact(FILL_PERCENT, MOVE_BYTES)) {
                    unsynced = true;
                    store.sync();
                    unsynced = false;
                }
                fileBytes = store.getFileStore().size();
            }
        } catch (RuntimeException e) {
            failures++;
            store.closeImmediately();
        }
    }

    /** Writes what waits, frees what can be freed soon, and closes the file. */
    @Override
    public void close() {
        ended = true;
        // It may be waiting for something to do.
        waiting.add(new Step(null, () -> { }, null));
        try {
            thread.join(TimeUnit.SECONDS.toMillis(END_S));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        try {
            store.close(CLOSE_COMPACT_MS);
        } catch (RuntimeException e) {
            store.closeImmediately();
        }
    }
}
