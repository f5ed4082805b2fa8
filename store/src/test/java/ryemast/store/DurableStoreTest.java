package ryemast.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.ArrayList;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class DurableStoreTest {

    private static final DurableStore.Kind KIND = new DurableStore.Kind("test", 3, 1 << 30, 1 << 20);

    @TempDir
    Path folder;

    private DurableStore open() throws StoreException {
        return DurableStore.open(folder.resolve("a/s.mv"), KIND);
    }

    /** What the write was told: null for success. */
    private static IOException write(DurableStore store, Changes changes) throws Exception {
        var told = new CompletableFuture<IOException>();
        store.write(changes, told::complete);
        return told.get(10, TimeUnit.SECONDS);
    }

    private static TreeMap<Long, String> all(DurableStore store, String table) throws StoreException {
        var found = new TreeMap<Long, String>();
        store.each(table, (key, value) -> found.put(key, new String(value)));
        return found;
    }

    @Test
    void whatWasWrittenIsThereAgain() throws Exception {
        try (var store = open()) {
            assertNull(write(store, new Changes().put("t", 1, "one".getBytes()).put("t", 2, "two".getBytes())
                    .put("u", 1, "other".getBytes())));
            assertNull(write(store, new Changes().remove("t", 1).put("t", 3, "three".getBytes())));
            var read = new CompletableFuture<byte[]>();
            store.read("t", 3, read::complete);
            assertArrayEquals("three".getBytes(), read.get(10, TimeUnit.SECONDS));
            assertTrue(store.figures().commits() >= 2);
        }
        try (var store = open()) {
            assertEquals(new TreeMap<>(java.util.Map.of(2L, "two", 3L, "three")), all(store, "t"));
            assertEquals(new TreeMap<>(java.util.Map.of(1L, "other")), all(store, "u"));
        }
    }

    /**
     * What a kill at any time leaves: copies of the file while it is written, cut anywhere in its last
     * part.
     */
    @Test
    void afterAKillTheLastCommitIsThereWhole() throws Exception {
        var random = new Random(7);
        var file = folder.resolve("a/s.mv");
        var copies = new ArrayList<Path>();
        var durable = new ArrayList<Long>();
        try (var store = open()) {
            for (long i = 0; i < 60; i++) {
                // Two entries of one write: never one without the other.
                assertNull(write(store, new Changes().put("t", 2 * i, new byte[random.nextInt(3_000)])
                        .put("t", 2 * i + 1, new byte[10])));
                if (i % 6 == 0) {
                    var copy = folder.resolve("copy" + i);
                    Files.copy(file, copy);
                    copies.add(copy);
                    durable.add(i);
                }
            }
        }
        for (int i = 0; i < copies.size(); i++) {
            try (var torn = new RandomAccessFile(copies.get(i).toFile(), "rw")) {
                // Bytes that were on their way behind the last whole chunk.
                torn.seek(torn.length());
                var noise = new byte[random.nextInt(9_000)];
                random.nextBytes(noise);
                torn.write(noise);
            }
            try (var store = DurableStore.open(copies.get(i), KIND)) {
                var found = all(store, "t");
                assertEquals(2 * (durable.get(i) + 1), found.size());
            }
        }
    }

    @Test
    void whatCanNotBeUsedIsNamedAndStaysAsItIs() throws Exception {
        var file = folder.resolve("a/s.mv");
        try (var store = open()) {
            write(store, new Changes().put("t", 1, new byte[5]));
            var busy = assertThrows(StoreException.class, this::open);
            assertTrue(busy.getMessage().contains("in use"), busy::getMessage);
        }
        var before = Files.readAllBytes(file);
        var newer = assertThrows(StoreException.class, () -> DurableStore.open(file,
                new DurableStore.Kind("test", 2, 1 << 30, 0)));
        assertTrue(newer.getMessage().contains("newer version") && newer.getMessage().contains("schema 3"),
                newer::getMessage);
        var other = assertThrows(StoreException.class, () -> DurableStore.open(file,
                new DurableStore.Kind("else", 3, 1 << 30, 0)));
        assertTrue(other.getMessage().contains("something else"), other::getMessage);
        assertArrayEquals(before, Files.readAllBytes(file));
        var noise = new byte[20_000];
        new Random(3).nextBytes(noise);
        Files.write(file, noise);
        var torn = assertThrows(StoreException.class, this::open);
        assertTrue(torn.getMessage().startsWith(file.toString()), torn::getMessage);
        assertArrayEquals(noise, Files.readAllBytes(file));
    }

    /**
     * The disk is full for a while: those writes are told so, and nothing of them is there; later ones are.
     */
    @Test
    void aFullDiskCostsTheWritesItCanNotTakeAndNothingElse() throws Exception {
        FullDisk.install();
        var file = Path.of(FullDisk.SCHEME + folder.resolve("s.mv"));
        try (var store = DurableStore.open(file, KIND)) {
            assertNull(write(store, new Changes().put("t", 1, "before".getBytes())));
            FullDisk.full(true);
            assertNotNull(write(store, new Changes().put("t", 2, new byte[100_000])));
            assertNotNull(write(store, new Changes().put("t", 3, "meanwhile".getBytes())));
            var read = new CompletableFuture<byte[]>();
            store.read("t", 1, read::complete);
            FullDisk.full(false);
            assertNull(write(store, new Changes().put("t", 4, "after".getBytes())));
            assertTrue(store.figures().failures() >= 2);
        } finally {
            FullDisk.full(false);
        }
        try (var store = DurableStore.open(file, KIND)) {
            assertEquals(new TreeMap<>(java.util.Map.of(1L, "before", 4L, "after")), all(store, "t"));
        }
    }

    /**
     * A system may drop what it could not sync, show it all the same, and say nothing at the next sync: what
     * is to last must come into a file of which no sync has failed.
     */
    @Test
    void afterASyncThatFailedAllIsWrittenAnew() throws Exception {
        FullDisk.install();
        var real = folder.resolve("s.mv");
        var file = Path.of(FullDisk.SCHEME + real);
        try (var store = DurableStore.open(file, KIND)) {
            assertNull(write(store, new Changes().put("t", 1, "before".getBytes())));
            var former = Files.readAttributes(real, BasicFileAttributes.class).fileKey();
            FullDisk.unsynced(true);
            assertNotNull(write(store, new Changes().put("t", 2, "unsynced".getBytes())));
            assertNotNull(write(store, new Changes().put("t", 3, "nor this".getBytes())),
                    "it can't be written anew");
            FullDisk.unsynced(false);
            assertNull(write(store, new Changes().put("t", 4, "after".getBytes())));
            assertNotEquals(former, Files.readAttributes(real, BasicFileAttributes.class).fileKey());
        } finally {
            FullDisk.unsynced(false);
        }
        try (var store = DurableStore.open(file, KIND)) {
            var found = all(store, "t");
            assertEquals("before", found.get(1L));
            assertEquals("after", found.get(4L));
        }
        var newer = assertThrows(StoreException.class, () -> DurableStore.open(file,
                new DurableStore.Kind("test", 2, 1 << 30, 0)));
        assertTrue(newer.getMessage().contains("schema 3"), newer::getMessage);
    }

    @Test
    void roomIsWhatTheBoundsLeave() throws Exception {
        try (var store = open()) {
            assertNull(write(store, new Changes().put("t", 1, new byte[50_000])));
            assertTrue(store.hasRoom(1_000));
            assertFalse(store.hasRoom(KIND.mostBytes()));
        }
        try (var store = DurableStore.open(folder.resolve("b.mv"),
                new DurableStore.Kind("test", 3, 1 << 30, Long.MAX_VALUE / 2))) {
            assertFalse(store.hasRoom(1));
        }
    }

    /** Many at once share a commit, and each is told of its own. */
    @Test
    void writesGatherIntoOneCommit() throws Exception {
        try (var store = open()) {
            var told = new ArrayList<CompletableFuture<IOException>>();
            for (int i = 0; i < 5_000; i++) {
                var one = new CompletableFuture<IOException>();
                store.write(new Changes().put("t", i, new byte[20]), one::complete);
                told.add(one);
            }
            for (var each : told) {
                assertNull(each.get(20, TimeUnit.SECONDS));
            }
            assertTrue(store.figures().commits() < 1_000, () -> store.figures().toString());
        }
        try (var store = open()) {
            assertEquals(5_000, all(store, "t").size());
        }
    }
}
