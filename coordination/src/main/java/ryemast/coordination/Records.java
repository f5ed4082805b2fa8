package ryemast.coordination;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import ryemast.coordination.Coordination.Entry;
import ryemast.coordination.Coordination.Fate;
import ryemast.coordination.Coordination.Result;
import ryemast.store.Changes;

/**
 * The records of an embedded store as they are on the disk, and steps carried out over them. Guarantees that
 * steps that are written together have the outcomes that they would have one after another in their order
 * (serial, as each sees what those before it would leave), and that nothing of them shows before
 * {@link #take}. In the store a record's number is its version, from one count for all records, which is
 * written with each change, so that no version comes twice, not even after the newest record went.
 */
final class Records {

    static final String TABLE = "records";
    static final String COUNT = "count";
    static final long COUNT_KEY = 0;
    /** About what a record takes beside its key and its value. */
    private static final int EACH = 100;

    private final TreeMap<String, Entry> all = new TreeMap<>();
    private final long mostBytes;
    private long last;
    private long bytes;

    /** What a step would do together with those before it. */
    record Outcome(Step step, Result result) {

        boolean writes() {
            return result.fate() == Fate.DONE
                    && step.changes().stream().anyMatch(each -> each.kind() != Step.Kind.REQUIRE);
        }
    }

    /** {@code over}: by key, null for a record that goes. */
    record Batch(List<Outcome> outcomes, Map<String, Entry> over, long last, long bytes, Changes changes) {
    }

    /** {@code mostBytes}: what the records may take in memory, about. */
    Records(long mostBytes) {
        this.mostBytes = mostBytes;
    }

    void loaded(long version, byte[] stored) {
        var buffer = ByteBuffer.wrap(stored);
        var key = new byte[buffer.getShort()];
        buffer.get(key);
        var value = new byte[buffer.remaining()];
        buffer.get(value);
        var entry = new Entry(new String(key, StandardCharsets.US_ASCII), value, version);
        all.put(entry.key(), entry);
        bytes += size(entry);
        last = Math.max(last, version);
    }

    void counted(byte[] stored) {
        last = Math.max(last, count(stored));
    }

    static long count(byte[] stored) {
        return ByteBuffer.wrap(stored).getLong();
    }

    private static Changes count(Changes changes, long last) {
        return changes.put(COUNT, COUNT_KEY, ByteBuffer.allocate(Long.BYTES).putLong(last).array());
    }

    /** What a store begins with. */
    Changes begin() {
        return count(new Changes(), last);
    }

    /** The version given last. */
    long last() {
        return last;
    }

    private static byte[] stored(Entry entry) {
        var key = entry.key().getBytes(StandardCharsets.US_ASCII);
        return ByteBuffer.allocate(Short.BYTES + key.length + entry.value().length)
                .putShort((short) key.length).put(key).put(entry.value()).array();
    }

    private static long size(Entry entry) {
        return EACH + 2L * entry.key().length() + entry.value().length;
    }

    Entry get(String key) {
        return all.get(key);
    }

    List<Entry> list(String prefix) {
        return List.copyOf(all.subMap(prefix, prefix + Character.MAX_VALUE).values());
    }

    /** What these steps would do, in this order. */
    Batch attempt(List<Step> steps) {
        var over = new HashMap<String, Entry>();
        var outcomes = new ArrayList<Outcome>();
        long[] counts = {last, bytes};
        for (var step : steps) {
            outcomes.add(new Outcome(step, attempt(step, over, counts)));
        }
        var changes = new Changes();
        over.forEach((key, entry) -> {
            if (all.containsKey(key)) {
                changes.remove(TABLE, all.get(key).version());
            }
            if (entry != null) {
                changes.put(TABLE, entry.version(), stored(entry));
            }
        });
        if (!over.isEmpty()) {
            count(changes, counts[0]);
        }
        return new Batch(outcomes, over, counts[0], counts[1], changes);
    }

    private Result attempt(Step step, Map<String, Entry> over, long[] counts) {
        long growth = 0;
        for (var change : step.changes()) {
            var entry = seen(change.key(), over);
            long version = entry == null ? Coordination.ABSENT : entry.version();
            if (version != change.version()) {
                return new Result(Fate.CONFLICT, List.of(), change.key() + " is at version " + version
                        + ", not " + change.version());
            }
            if (change.kind() != Step.Kind.REQUIRE) {
                growth -= entry == null ? 0 : size(entry);
                growth += change.value() == null ? 0 : size(new Entry(change.key(), change.value(), 0));
            }
        }
        if (growth > 0 && counts[1] + growth > mostBytes) {
            return new Result(Fate.NOT_DONE, List.of(), "the records would take over " + mostBytes
                    + " bytes of memory");
        }
        counts[1] += growth;
        var versions = new Long[step.changes().size()];
        Arrays.setAll(versions, at -> step.changes().get(at).version());
        for (int i = 0; i < versions.length; i++) {
            var change = step.changes().get(i);
            if (change.kind() == Step.Kind.PUT) {
                versions[i] = ++counts[0];
                over.put(change.key(), new Entry(change.key(), change.value(), versions[i]));
            } else if (change.kind() == Step.Kind.REMOVE) {
                // The count moves with each change, as it tells whether a batch is in the file.
                ++counts[0];
                over.put(change.key(), null);
            }
        }
        return new Result(Fate.DONE, List.of(versions), null);
    }

    private Entry seen(String key, Map<String, Entry> over) {
        return over.containsKey(key) ? over.get(key) : all.get(key);
    }

    /** The batch is on the disk. */
    void take(Batch batch) {
        batch.over().forEach((key, entry) -> {
            if (entry == null) {
                all.remove(key);
            } else {
                all.put(key, entry);
            }
        });
        last = batch.last();
        bytes = batch.bytes();
    }
}
