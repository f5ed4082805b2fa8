package ryemast.batch;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import ryemast.core.Loop;
import ryemast.store.Changes;
import ryemast.store.DurableStore;
import ryemast.wire.Fields;
import ryemast.wire.WireException;
import ryemast.wire.Words;
import ryemast.wire.Words.Action;
import ryemast.wire.Words.State;

/**
 * Changes the book and writes each change down: takes arrays in, holds, releases and ends jobs, forgets
 * what is reaped or old. Guarantees that nothing is told before it is on the disk, that an array is
 * forgotten before its jobs are, so that a kill in between never brings a job back to life, and that the
 * loop is kept for no longer than {@link #SLICE} jobs take, however many a request concerns. Owned by the
 * loop.
 */
final class Keeper {

    private static final int SLICE = 1_000;
    private static final long SWEEP = 60_000_000;

    private final Loop loop;
    private final DurableStore store;
    private final Book book;
    private final Turns turns;
    private final Waits waits;
    private final Bodies bodies;
    private final long retain;
    /** Those who wait for an array to be on the disk; each is told null, or why it is not taken. */
    private final Map<Long, List<Consumer<String>>> awaited = new HashMap<>();
    private final Map<Long, Reply> closing = new HashMap<>();

    Keeper(Loop loop, DurableStore store, Book book, Turns turns, Waits waits, Bodies bodies, long retain) {
        this.loop = loop;
        this.store = store;
        this.book = book;
        this.turns = turns;
        this.waits = waits;
        this.bodies = bodies;
        this.retain = retain;
    }

    /** The array is in the book at once, and its jobs may go out once it is on the disk. */
    void take(JobArray array, boolean held, List<byte[]> partBodies) {
        book.add(array);
        awaited.put(array.number, new ArrayList<>());
        store.write(Records.array(new Changes(), array, held, partBodies),
                failed -> loop.post(() -> taken(array, failed)));
    }

    /** {@code then}: called with null once the array is on the disk, or with why it can't be. */
    void whenDurable(JobArray array, Consumer<String> then) {
        var waiting = awaited.get(array.number);
        if (waiting == null) {
            then.accept(null);
        } else {
            waiting.add(then);
        }
    }

    private void taken(JobArray array, IOException failed) {
        var waiting = awaited.remove(array.number);
        if (failed == null) {
            array.durable = true;
            turns.ready(array);
        } else {
            book.remove(array);
            bodies.forget(array);
        }
        waiting.forEach(each -> each.accept(failed == null ? null : "it can't be written: "
                + failed.getMessage()));
    }

    /** All jobs of a session, in order; what is forgotten meanwhile is passed over. */
    Iterator<Long> keys(BatchSession session) {
        var arrays = List.copyOf(session.arrays.values()).iterator();
        return new Iterator<>() {
            private JobArray array;
            private int slot;

            @Override
            public boolean hasNext() {
                while (array == null || slot >= array.count) {
                    if (!arrays.hasNext()) {
                        return false;
                    }
                    array = arrays.next();
                    slot = 0;
                }
                return true;
            }

            @Override
            public Long next() {
                if (!hasNext()) {
                    throw new java.util.NoSuchElementException();
                }
                return array.key(slot++);
            }
        };
    }

    /**
     * Goes through keys a slice at a time; {@code done}: once all are through and what was written is on
     * the disk.
     */
    private void slices(Iterator<Long> keys, BatchSession session, Slice slice, Consumer<IOException> done) {
        var changes = new Changes();
        int count = 0;
        while (count < SLICE && keys.hasNext()) {
            long key = keys.next();
            var array = session.array(key);
            if (array != null && array.durable) {
                slice.job(array, JobArray.slotOf(key), changes);
            }
            count++;
        }
        boolean more = keys.hasNext();
        Consumer<IOException> next = failed -> {
            if (failed != null || !more) {
                done.accept(failed);
            } else {
                slices(keys, session, slice, done);
            }
        };
        if (changes.isEmpty()) {
            loop.post(() -> next.accept(null));
        } else {
            store.write(changes, failed -> loop.post(() -> next.accept(failed)));
        }
    }

    private interface Slice {
        void job(JobArray array, int slot, Changes changes);
    }

    /**
     * Holds, releases or terminates. {@code lenient}: what can't be is passed over, as of a whole session.
     */
    void control(Iterator<Long> keys, BatchSession session, Action action, boolean lenient, Reply reply) {
        var counts = new long[2];
        slices(keys, session, (array, slot, changes) -> {
            boolean changed = switch (action) {
                case HOLD -> hold(array, slot, changes);
                case RELEASE -> release(array, slot, changes);
                default -> turns.terminate(array, slot);
            };
            counts[changed ? 0 : 1]++;
        }, failed -> {
            if (failed != null) {
                reply.error(Words.TRY_LATER, "it can't be written: " + failed.getMessage());
            } else if (!lenient && counts[0] == 0 && action != Action.TERMINATE) {
                reply.error(Words.WRONG_STATE, action == Action.HOLD ? "only a job that waits can be held"
                        : "only a job that is held can be released");
            } else {
                // Ends are written by themselves: what is handed over behind them is on the disk after them.
                store.write(new Changes(), late -> loop.post(() -> changed(counts, late, reply)));
            }
        });
    }

    private static void changed(long[] counts, IOException failed, Reply reply) {
        if (failed != null) {
            reply.error(Words.TRY_LATER, "it can't be written: " + failed.getMessage());
        } else {
            reply.ok(new Fields().with("changed", counts[0]).with("unchanged", counts[1]));
        }
    }

    private static boolean hold(JobArray array, int slot, Changes changes) {
        if (array.state(slot) != State.QUEUED) {
            return false;
        }
        array.hold(slot);
        waiting(array, slot, State.HELD, changes);
        return true;
    }

    private boolean release(JobArray array, int slot, Changes changes) {
        if (array.state(slot) != State.HELD) {
            return false;
        }
        array.release(slot);
        waiting(array, slot, State.QUEUED, changes);
        turns.ready(array);
        return true;
    }

    private static void waiting(JobArray array, int slot, State state, Changes changes) {
        Records.job(changes, array.key(slot), new Records.Job(state, array.turn(slot), array.failures(slot),
                false,
                false, "", "", Ends.End.NOTHING, 0, 0));
    }

    /** Forgets jobs that are over; others are passed over. */
    void reap(Iterator<Long> keys, BatchSession session, Reply reply) {
        var count = new long[1];
        slices(keys, session, (array, slot, changes) -> {
            if (isOver(array, slot) && !array.isReaped(slot)) {
                count[0]++;
                reap(array, slot, changes);
            }
        }, failed -> {
            if (failed != null) {
                reply.error(Words.TRY_LATER, "it can't be written: " + failed.getMessage());
            } else {
                reply.ok(new Fields().with("reaped", count[0]));
            }
        });
    }

    private void reap(JobArray array, int slot, Changes changes) {
        waits.reaped(array.session, array.key(slot));
        if (array.reap(slot)) {
            forget(array, changes);
        } else {
            Records.job(changes, array.key(slot), new Records.Job(array.state(slot), array.turn(slot), 0,
                    false,
                    true, "", "", Ends.End.NOTHING, 0, array.lastEndAt));
        }
    }

    /** First the array, then its jobs: what a kill leaves of the latter is cleared away at the start. */
    private void forget(JobArray array, Changes changes) {
        book.remove(array);
        turns.gone(array);
        bodies.forget(array);
        remove(array, changes);
    }

    private void remove(JobArray array, Changes changes) {
        changes.remove(Records.ARRAYS, array.number);
        for (int part = 0; part < array.parts.size(); part++) {
            if (array.parts.get(part).template().body() > 0) {
                changes.remove(Records.BODIES, Records.body(array.number, part));
            }
        }
        long first = array.key(0);
        loop.post(() -> clear(first, first + array.count));
    }

    private void clear(long from, long to) {
        var changes = new Changes();
        long end = Math.min(to, from + SLICE);
        for (long key = from; key < end; key++) {
            changes.remove(Records.JOBS, key);
        }
        store.write(changes, failed -> {
            if (failed == null && end < to) {
                loop.post(() -> clear(end, to));
            }
        });
    }

    /** Forgets an array that is in no book. */
    void drop(JobArray array) {
        var changes = new Changes();
        remove(array, changes);
        store.write(changes, failed -> { });
    }

    /** What a kill left of arrays that are forgotten. */
    void clear(List<Long> orphans) {
        for (int from = 0; from < orphans.size(); from += SLICE) {
            var changes = new Changes();
            orphans.subList(from, Math.min(orphans.size(), from + SLICE))
                    .forEach(key -> changes.remove(Records.JOBS, key));
            store.write(changes, failed -> { });
        }
    }

    /** Ends all that is open in a session, and forgets it once that is over. */
    void destroy(BatchSession session, Reply reply) {
        session.closing = true;
        store.write(Records.session(new Changes(), session), failed -> loop.post(() -> {
            if (failed != null) {
                session.closing = false;
                reply.error(Words.TRY_LATER, "it can't be written: " + failed.getMessage());
                return;
            }
            closing.put(session.number, reply);
            close(session);
        }));
    }

    /** A session that was to go when the program ended goes on going. */
    void close(BatchSession session) {
        slices(keys(session), session, (array, slot, changes) -> {
            if (!isOver(array, slot)) {
                turns.terminate(array, slot);
            }
        }, failed -> closed(session));
    }

    private void closed(BatchSession session) {
        if (!session.closing || session.open > 0 || !book.sessions.containsKey(session.number)) {
            return;
        }
        var changes = new Changes().remove(Records.SESSIONS, session.number);
        List.copyOf(session.arrays.values()).forEach(array -> forget(array, changes));
        book.remove(session);
        waits.gone(session);
        store.write(changes, failed -> loop.post(() -> {
            var reply = closing.remove(session.number);
            if (reply != null) {
                reply.ok(new Fields());
            }
        }));
    }

    /** A job is over. */
    void over(JobArray array) {
        if (array.session.closing) {
            closed(array.session);
        }
    }

    /** Every minute: arrays that have been over for long are forgotten. */
    void sweep() {
        for (var array : List.copyOf(book.arrays.values())) {
            if (array.open() == 0 && loop.now() - array.lastEndAt >= retain) {
                var changes = new Changes();
                forget(array, changes);
                store.write(changes, failed -> { });
            }
        }
        loop.at(loop.now() + SWEEP, this::sweep);
    }

    private static boolean isOver(JobArray array, int slot) {
        var state = array.state(slot);
        return state == State.DONE || state == State.FAILED;
    }

    /** A job in a list. */
    static Fields line(JobArray array, int slot) {
        var fields = new Fields().with("id", array.id(slot)).with("state", word(array.state(slot)))
                .with("class", array.template(slot).className());
        if (!array.template(slot).name().isEmpty()) {
            fields.with("name", array.template(slot).name());
        }
        if (array.failures(slot) > 0) {
            fields.with("failures", array.failures(slot));
        }
        return fields;
    }

    static String word(State state) {
        return state.name().toLowerCase(java.util.Locale.ROOT);
    }

    /** All that is known of a job; what is on the disk comes later. */
    void info(JobArray array, int slot, Consumer<Fields> found) {
        var line = line(array, slot).with("taken_us", array.takenAt).with("turns", array.turn(slot) + 1);
        if (!isOver(array, slot)) {
            found.accept(line);
            return;
        }
        store.read(Records.JOBS, array.key(slot), bytes -> {
            var full = bytes == null ? line : full(line, bytes);
            loop.post(() -> found.accept(full));
        });
    }

    private static Fields full(Fields line, byte[] bytes) {
        try {
            var job = Records.job(bytes);
            return line.with("worker", job.worker()).with("reason", job.reason()).with("result", job.result())
                    .with("began_us", job.beganAt()).with("ended_us", job.endedAt());
        } catch (WireException e) {
            return line.with("reason", "what the disk has of it can't be read: " + e.getMessage());
        }
    }

    /** For figures: how many jobs there are, counted as asked. */
    int count(ToIntFunction<JobArray> of) {
        return book.arrays.values().stream().mapToInt(of).sum();
    }
}
