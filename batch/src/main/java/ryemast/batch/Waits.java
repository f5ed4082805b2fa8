package ryemast.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import ryemast.core.Loop;
import ryemast.wire.Fields;
import ryemast.wire.Words;
import ryemast.wire.Words.State;

/**
 * Those who wait for jobs to end. Guarantees that an ended job is handed to one waiter at a time: it stays
 * with the connection that it was handed to until it is reaped, or that connection ends, after which it is
 * handed out again, so that a job whose news were lost on the way is not lost itself. Owned by the loop.
 */
final class Waits {

    /** Reads what is known of an ended job, and hands it on, later. */
    interface Infos {
        void of(JobArray array, int slot, Consumer<Fields> found);
    }

    private final class Wait {
        final BatchSession session;
        /** Null: any of the session's, or all of them. */
        final Set<Long> keys;
        final boolean all;
        final Reply reply;
        private Runnable timer = () -> { };

        Wait(BatchSession session, Set<Long> keys, boolean all, Reply reply) {
            this.session = session;
            this.keys = keys;
            this.all = all;
            this.reply = reply;
        }

        void end() {
            timer.run();
            var here = waits.get(session.number);
            if (here != null) {
                here.remove(this);
            }
        }

        void timedOut() {
            end();
            reply.ok(new Fields().with("timed_out", true));
        }
    }

    private final Loop loop;
    private final Infos infos;
    private final Map<Long, List<Wait>> waits = new HashMap<>();
    /** Ended jobs that somebody has been told of. */
    private final Map<Long, Handed> handed = new HashMap<>();

    private record Handed(BatchSession session, Object connection) {
    }

    Waits(Loop loop, Infos infos) {
        this.loop = loop;
        this.infos = infos;
    }

    /**
     * Answers with the first of these jobs that has ended, as soon as there is one.
     *
     * @param keys   null: any of the session's
     * @param until  on the loop's clock
     */
    void any(BatchSession session, Set<Long> keys, long until, Reply reply) {
        var wait = new Wait(session, keys, false, reply);
        var key = keys == null ? firstEnded(session) : keys.stream().filter(each -> isFree(session, each))
                .findFirst().orElse(null);
        if (key != null) {
            hand(wait, key);
        } else if (session.open == 0 && keys == null) {
            reply.error(Words.NO_JOB, "session " + session.name + " has no job that could end");
        } else {
            add(wait, until);
        }
    }

    /** Answers once all of these jobs have ended; {@code keys} null: all of the session's. */
    void all(BatchSession session, Set<Long> keys, long until, Reply reply) {
        var left = keys == null ? null : new HashSet<>(keys);
        if (left != null) {
            left.removeIf(each -> isOver(session, each));
        }
        var wait = new Wait(session, left, true, reply);
        if (left == null ? session.open == 0 : left.isEmpty()) {
            reply.ok(new Fields());
        } else {
            add(wait, until);
        }
    }

    private void add(Wait wait, long until) {
        if (until <= loop.now()) {
            wait.timedOut();
            return;
        }
        waits.computeIfAbsent(wait.session.number, key -> new ArrayList<>()).add(wait);
        wait.timer = loop.at(until, wait::timedOut);
    }

    /** A job is over. */
    void over(JobArray array, int slot) {
        var session = array.session;
        var here = waits.get(session.number);
        if (here == null) {
            return;
        }
        long key = array.key(slot);
        boolean free = true;
        for (var wait : List.copyOf(here)) {
            if (!wait.reply.isHeard()) {
                wait.end();
            } else if (wait.all) {
                if (wait.keys == null ? session.open == 0 : wait.keys.remove(key) && wait.keys.isEmpty()) {
                    wait.end();
                    wait.reply.ok(new Fields());
                }
            } else if (free && (wait.keys == null || wait.keys.contains(key))) {
                free = false;
                wait.end();
                hand(wait, key);
            }
        }
        if (here.isEmpty()) {
            waits.remove(session.number);
        }
    }

    /** The connection is gone: what it was told of is told to others. */
    void ended(Object connection) {
        handed.entrySet().removeIf(each -> {
            if (each.getValue().connection != connection) {
                return false;
            }
            each.getValue().session.ended.addFirst(each.getKey());
            return true;
        });
        waits.values().forEach(here -> List.copyOf(here).forEach(wait -> {
            if (wait.reply.connection() == connection) {
                wait.end();
            }
        }));
    }

    /** Its submitter has it: whoever waited for it alone waits in vain. */
    void reaped(BatchSession session, long key) {
        handed.remove(key);
        for (var wait : List.copyOf(waits.getOrDefault(session.number, List.of()))) {
            if (!wait.all && wait.keys != null && wait.keys.remove(key) && wait.keys.isEmpty()) {
                wait.end();
                wait.reply.error(Words.NO_JOB, "somebody else has fetched what was waited for");
            }
        }
    }

    /** The session is gone. */
    void gone(BatchSession session) {
        var here = waits.remove(session.number);
        if (here != null) {
            List.copyOf(here).forEach(wait -> {
                wait.timer.run();
                wait.reply.error(Words.NO_SESSION, "session " + session.name + " was destroyed");
            });
        }
    }

    private void hand(Wait wait, long key) {
        handed.put(key, new Handed(wait.session, wait.reply.connection()));
        var array = wait.session.array(key);
        infos.of(array, JobArray.slotOf(key), info -> wait.reply.ok(new Fields().with("job", info)));
    }

    private Long firstEnded(BatchSession session) {
        // One that is handed to somebody comes back here if that one goes without having reaped it.
        var order = session.ended;
        while (!order.isEmpty() && !isFree(session, order.getFirst())) {
            order.removeFirst();
        }
        return order.peekFirst();
    }

    private boolean isFree(BatchSession session, long key) {
        return isOver(session, key) && !isReaped(session, key) && !handed.containsKey(key);
    }

    private static boolean isReaped(BatchSession session, long key) {
        var array = session.array(key);
        return array == null || array.isReaped(JobArray.slotOf(key));
    }

    private static boolean isOver(BatchSession session, long key) {
        var array = session.array(key);
        if (array == null) {
            return true;
        }
        var state = array.state(JobArray.slotOf(key));
        return state == State.DONE || state == State.FAILED;
    }
}
