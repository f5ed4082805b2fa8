package ryemast.store;

import java.util.ArrayList;
import java.util.List;

/**
 * What is to be written together: all of it is on the disk, or none. Built by one thread, then handed over.
 */
public final class Changes {

    /** {@code value} null: the entry goes. */
    record Change(String table, long key, byte[] value) {
    }

    private final List<Change> all = new ArrayList<>(2);
    private long bytes;

    public Changes put(String table, long key, byte[] value) {
        all.add(new Change(table, key, value));
        bytes += value.length + Long.BYTES;
        return this;
    }

    public Changes remove(String table, long key) {
        all.add(new Change(table, key, null));
        bytes += Long.BYTES;
        return this;
    }

    public boolean isEmpty() {
        return all.isEmpty();
    }

    /** About what it takes, in bytes. */
    public long bytes() {
        return bytes;
    }

    List<Change> all() {
        return all;
    }
}
