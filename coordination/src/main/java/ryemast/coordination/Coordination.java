package ryemast.coordination;

import java.util.List;
import java.util.function.Consumer;

/**
 * Records by key that all dispatchers of a fleet share. Guarantees that a {@link Step} takes effect whole or
 * not at all, and only if each record it names is still at the version that it says (compare-and-set), so
 * that of two who change the same record one learns that it was too late. Reads may be old unless they are
 * asked to be certain; a step never rests on an old read, as the versions tell.
 *
 * <p>Owned by the loop: called on it, and answers on it, each call exactly once, in a later step, within the
 * call's limit; never after {@link #close}. Keys are of the characters {@code A-Z a-z 0-9 . _ - /}, 1 to 512
 * of them, with no {@code /} at either end; values hold 64 KiB at most, those of a step 256 KiB together; a
 * step names 1 to {@value #MOST_IN_A_STEP} records. A put of what the record already holds may leave
 * its version as it is; a version that a record has had never comes back, also where it was removed between.
 */
public interface Coordination extends AutoCloseable {

    /** A version that no record has: the record is absent. */
    long ABSENT = 0;
    /** Consul takes 64 operations in one transaction, and a removal is two of them. */
    int MOST_IN_A_STEP = 32;
    /** Consul takes 512 KiB for a transaction, in which values grow by a third. */
    int MOST_BYTES_IN_A_STEP = 256 * 1024;
    int LONGEST_VALUE = 64 * 1024;
    int LONGEST_KEY = 512;

    /** A record as it was read. {@code value} is not to be changed. Versions grow with each change. */
    record Entry(String key, byte[] value, long version) {
    }

    /**
     * What came of a read.
     *
     * @param entries  in the order of their keys; null where nothing could be had
     * @param why      in words where nothing could be had, else null
     */
    record Reading(List<Entry> entries, String why) {

        public boolean good() {
            return entries != null;
        }

        /** The one record that was asked for; null where it is absent. */
        public Entry only() {
            return entries.isEmpty() ? null : entries.get(0);
        }
    }

    /** What became of a step. */
    enum Fate {
        /** All of it took effect. */
        DONE,
        /** None of it did: a record was at another version. */
        CONFLICT,
        /** None of it did, and none will: it never left, or was refused. */
        NOT_DONE,
        /** It may have taken effect, or may yet: read, or say the same again (see {@link Settled}). */
        UNKNOWN
    }

    /**
     * @param versions  by the step's order, what the records are at now; of a record that went, or was only
     *                  required, what it was required at; empty unless done
     * @param why       in words, unless done
     */
    record Result(Fate fate, List<Long> versions, String why) {
    }

    /** Hears of what has changed. */
    interface Watcher {

        /** All that is under the prefix, in the order of the keys; the first time soon after the start. */
        void changed(List<Entry> all);

        /** Nothing was to be had; what was told last may be old. Told once until {@link #changed} again. */
        void blind(String why);
    }

    /** One record. {@code certain}: no older than the call, at some cost; else it may be old. */
    void read(String key, boolean certain, Consumer<Reading> then);

    /** All records whose keys begin with the prefix. */
    void list(String prefix, boolean certain, Consumer<Reading> then);

    void commit(Step step, Consumer<Result> then);

    /** The returned step ends it; several watches may be open. */
    Runnable watch(String prefix, Watcher watcher);

    @Override
    void close();
}
