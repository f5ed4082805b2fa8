package ryemast.batch;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Logger;
import ryemast.core.Loop;
import ryemast.core.Note;
import ryemast.store.Changes;
import ryemast.store.DurableStore;
import ryemast.wire.Words.State;

/**
 * Ends jobs. Guarantees that an end is on the disk before anybody is told of it, that each job ends once,
 * and that one which could not be written, as the disk was full, is written once it can be: until then the
 * job counts as running. Owned by the loop.
 */
final class Ends {

    /** Who hears that a job is over. */
    interface Listener {
        void over(JobArray array, int slot);
    }

    /** How a job ended. */
    record End(State how, String worker, String reason, byte[] result, long beganAt) {

        static final byte[] NOTHING = new byte[0];

        static End done(String worker, byte[] result, long beganAt) {
            return new End(State.DONE, worker, "", result, beganAt);
        }

        static End failed(String worker, String reason, long beganAt) {
            return new End(State.FAILED, worker, reason, NOTHING, beganAt);
        }
    }

    private static final Logger LOG = Logger.getLogger(Ends.class.getName());
    private static final long AGAIN = 1_000_000;

    private record Ending(JobArray array, int slot, End end, long at) {
    }

    private final Loop loop;
    private final DurableStore store;
    private final Book book;
    private final Listener listener;
    private final List<Ending> unwritten = new ArrayList<>();
    private boolean waits;
    private int writing;

    Ends(Loop loop, DurableStore store, Book book, Listener listener) {
        this.loop = loop;
        this.store = store;
        this.book = book;
        this.listener = listener;
    }

    /** Of a job that is running, or kept back. */
    void end(JobArray array, int slot, End end) {
        write(new Ending(array, slot, end, loop.now()));
    }

    /** Whether all ends are on the disk. */
    boolean quiet() {
        return writing == 0 && unwritten.isEmpty();
    }

    /** How many ends the disk has not taken yet. */
    int waiting() {
        return writing + unwritten.size();
    }

    private void write(Ending ending) {
        var array = ending.array;
        int slot = ending.slot;
        var end = ending.end;
        var record = new Records.Job(end.how, array.turn(slot), array.failures(slot), false, false,
                end.worker,
                end.reason, end.result, end.beganAt, ending.at);
        writing++;
        store.write(Records.job(new Changes(), array.key(slot), record),
                failed -> loop.post(() -> written(ending, failed)));
    }

    private void written(Ending ending, IOException failed) {
        writing--;
        if (failed != null) {
            Note.warning(LOG, "the end of job {job} can't be written yet: {why}",
                    "job", ending.array.id(ending.slot), "why", failed.getMessage());
            unwritten.add(ending);
            if (!waits) {
                waits = true;
                loop.at(loop.now() + AGAIN, this::again);
            }
            return;
        }
        var array = ending.array;
        array.end(ending.slot, ending.end.how);
        array.lastEndAt = ending.at;
        array.session.open--;
        array.session.ended.add(array.key(ending.slot));
        book.open--;
        if (ending.end.how == State.DONE) {
            book.done++;
        } else {
            book.failed++;
        }
        listener.over(array, ending.slot);
    }

    private void again() {
        waits = false;
        var all = List.copyOf(unwritten);
        unwritten.clear();
        all.forEach(this::write);
    }
}
