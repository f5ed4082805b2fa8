package ryemast.lab.consul;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * The key/value store. Guarantees that the steps of one change take effect together, under one index, or not
 * at all; that an entry's index moves only where something of it changed (the same value again is no change);
 * and that the index of a prefix grows by a deletion too, by a gravestone which is kept for a while, as
 * Consul's pages have it. Deterministic in the time of its timeline; one thread.
 */
final class KeyValues {

    /** Consul's own: after it the gravestones of deletions go, and the index of a prefix may fall back. */
    static final long GRAVE_KEPT = 15 * 60_000_000L;
    /** Prefixes whose index is remembered; beyond so many they are forgotten, which costs time alone. */
    private static final int MOST_PREFIXES = 1_000;

    /** {@code session}: which holds its lock; empty for none. {@code value} is never changed. */
    record Entry(String key, byte[] value, long flags, String session, long lockIndex, long createIndex,
            long modifyIndex) {

        private boolean says(byte[] value, long flags, String session, long lockIndex) {
            return this.flags == flags && this.session.equals(session) && this.lockIndex == lockIndex
                    && Arrays.equals(this.value, value);
        }
    }

    private record Grave(String key, long index, long dugAt) {
    }

    private final ConsulState state;
    private final NavigableMap<String, Entry> entries = new TreeMap<>();
    private final NavigableMap<String, Long> graves = new TreeMap<>();
    private final ArrayDeque<Grave> dug = new ArrayDeque<>();
    /** By prefix, the index of the last change under it; 0 where there is no trace of one. */
    private final Map<String, Long> byPrefix = new HashMap<>();
    private final List<Consumer<List<Written>>> listeners = new ArrayList<>();
    /** Of the last change of any key. */
    private long index;
    /** No prefix's index is below it. */
    private long floor;
    /** What keys were before the change that is under way, null for absent ones; null outside of one. */
    private Map<String, Entry> before;

    KeyValues(ConsulState state) {
        this.state = state;
        index = state.index();
    }

    /** All that is there at present, on its own: what happens here later doesn't show there. */
    KeyValues frozen() {
        var copy = new KeyValues(state);
        copy.restore(this);
        return copy;
    }

    /** Becomes what another one is. */
    void restore(KeyValues from) {
        clear();
        entries.putAll(from.entries);
        graves.putAll(from.graves);
        dug.addAll(from.dug);
        index = from.index;
        floor = from.floor;
    }

    void clear() {
        entries.clear();
        graves.clear();
        dug.clear();
        byPrefix.clear();
        index = state.index();
        floor = 0;
    }

    /** All prefixes count as changed at this index, as by a restore that the index doesn't go back for. */
    void restoredAt(long at) {
        index = at;
        floor = at;
    }

    /** It gets all that takes effect together at once, in the order of the keys. */
    void onWrite(Consumer<List<Written>> listener) {
        listeners.add(listener);
    }

    Entry get(String key) {
        return entries.get(key);
    }

    Collection<Entry> under(String prefix) {
        return prefix.isEmpty() ? entries.values()
                : entries.subMap(prefix, prefix + Character.MAX_VALUE).values();
    }

    /** An absent key has that of all keys. */
    long indexOf(String key) {
        var entry = entries.get(key);
        return entry == null ? index : entry.modifyIndex;
    }

    /** Of the last change under a prefix, deletions too; that of all keys where there is no trace of one. */
    long indexUnder(String prefix) {
        reap();
        if (byPrefix.size() >= MOST_PREFIXES) {
            byPrefix.clear();
        }
        long found = byPrefix.computeIfAbsent(prefix, key -> {
            long last = 0;
            for (var each : under(prefix)) {
                last = Math.max(last, each.modifyIndex);
            }
            var gone = prefix.isEmpty() ? graves : graves.subMap(prefix, prefix + Character.MAX_VALUE);
            for (long each : gone.values()) {
                last = Math.max(last, each);
            }
            return last;
        });
        return found == 0 ? index : Math.max(floor, found);
    }

    private void reap() {
        long now = state.time().now();
        while (!dug.isEmpty() && dug.peek().dugAt + GRAVE_KEPT <= now) {
            var grave = dug.poll();
            if (graves.remove(grave.key, grave.index)) {
                byPrefix.clear();
            }
        }
    }

    /** Steps that take effect together under the next index, or, where they say false, not at all. */
    boolean together(BooleanSupplier steps) {
        var was = new HashMap<String, Entry>();
        before = was;
        boolean good = false;
        try {
            good = steps.getAsBoolean();
        } finally {
            before = null;
            if (!good) {
                was.forEach((key, old) -> {
                    if (old == null) {
                        entries.remove(key);
                    } else {
                        entries.put(key, old);
                    }
                });
            }
        }
        if (good) {
            committed(was);
        }
        return good;
    }

    private void committed(Map<String, Entry> was) {
        was.entrySet().removeIf(each -> entries.get(each.getKey()) == each.getValue());
        if (was.isEmpty()) {
            return;
        }
        index = next();
        long now = state.time().now();
        was.keySet().forEach(key -> {
            if (!entries.containsKey(key)) {
                graves.put(key, index);
                dug.add(new Grave(key, index, now));
            }
            byPrefix.replaceAll((prefix, last) -> key.startsWith(prefix) ? index : last);
        });
        var written = was.keySet().stream().sorted().map(key -> written(now, key)).toList();
        listeners.forEach(each -> each.accept(written));
        state.reached(index);
    }

    private Written written(long now, String key) {
        var entry = entries.get(key);
        return new Written(now, key, entry == null ? null : entry.value, index);
    }

    private long next() {
        return state.index() + 1;
    }

    private void keep(String key) {
        if (!before.containsKey(key)) {
            before.put(key, entries.get(key));
        }
    }

    /** What follows are steps of a change, and happen in {@link #together} alone. */
    Entry set(String key, byte[] value, long flags) {
        var old = entries.get(key);
        return put(key, value, flags, old == null ? "" : old.session, old == null ? 0 : old.lockIndex);
    }

    /** Null where the entry is at another index; 0 stands for an absent one. */
    Entry cas(String key, byte[] value, long flags, long expected) {
        var old = entries.get(key);
        return (old == null ? 0 : old.modifyIndex) == expected ? set(key, value, flags) : null;
    }

    /** Null where another session holds it; whether the session lives is the caller's to know. */
    Entry lock(String key, byte[] value, long flags, String session) {
        var old = entries.get(key);
        if (old != null && !old.session.isEmpty()) {
            return old.session.equals(session) ? put(key, value, flags, session, old.lockIndex) : null;
        }
        return put(key, value, flags, session, old == null ? 1 : old.lockIndex + 1);
    }

    /** Null where this session doesn't hold it. */
    Entry unlock(String key, byte[] value, long flags, String session) {
        var old = entries.get(key);
        return old != null && old.session.equals(session) ? put(key, value, flags, "", old.lockIndex) : null;
    }

    private Entry put(String key, byte[] value, long flags, String session, long lockIndex) {
        var old = entries.get(key);
        if (old != null && old.says(value, flags, session, lockIndex)) {
            return old;
        }
        keep(key);
        var entry = new Entry(key, value, flags, session, lockIndex, old == null ? next() : old.createIndex,
                next());
        entries.put(key, entry);
        return entry;
    }

    void delete(String key) {
        if (entries.containsKey(key)) {
            keep(key);
            entries.remove(key);
        }
    }

    void deleteTree(String prefix) {
        List.copyOf(under(prefix)).forEach(each -> delete(each.key));
    }

    /** False where the entry is at another index; what is absent already counts as deleted. */
    boolean deleteCas(String key, long expected) {
        var old = entries.get(key);
        if (old != null && old.modifyIndex != expected) {
            return false;
        }
        delete(key);
        return true;
    }
}
