package ryemast.move;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Breadth-first search of all states of a {@link MigrationModel} up to a depth, each visited once. From
 * each state all faults end, to check that the migration completes. A state is identified by 64 bits of
 * hash of its bytes (hash compaction: Wolper and Leroy, 1993): among n states one is missed with a
 * probability of about n² / 2^65, one in 300,000 for ten million.
 */
final class StateSearch {

    /** A migration takes about ten rounds. */
    private static final int MAX_ROUNDS = 100;

    /** {@code violation}: the violated invariant with the events that led to it; null: none. */
    record Result(int states, int depth, boolean complete, String violation) {
    }

    /** Open addressing, as ten million boxed numbers would fill the heap. */
    private static final class FingerprintSet {
        private long[] slots = new long[1 << 16];
        private int size;

        private int indexOf(long fingerprint) {
            int at = (int) (fingerprint ^ fingerprint >>> 32) & slots.length - 1;
            while (slots[at] != 0 && slots[at] != fingerprint) {
                at = at + 1 & slots.length - 1;
            }
            return at;
        }

        boolean contains(long fingerprint) {
            return slots[indexOf(fingerprint)] == fingerprint;
        }

        boolean add(long fingerprint) {
            if (size * 2 > slots.length) {
                var old = slots;
                slots = new long[old.length * 2];
                size = 0;
                for (long each : old) {
                    if (each != 0) {
                        add(each);
                    }
                }
            }
            int at = indexOf(fingerprint);
            boolean added = slots[at] == 0;
            size += added ? 1 : 0;
            slots[at] = fingerprint;
            return added;
        }
    }

    private static long fingerprint(byte[] state) {
        long hash = 0x9E3779B97F4A7C15L;
        for (byte each : state) {
            hash = (hash ^ each & 255) * 0xD6E8FEB86659FD93L;
            hash ^= hash >>> 32;
        }
        return hash == 0 ? 1 : hash;
    }

    /** A reached state and its path. */
    private record State(byte[] bytes, State parent, MigrationModel.Transition transition, int depth) {
    }

    private StateSearch() {
    }

    static Result search(MigrationModel.Setup setup) {
        var model = new MigrationModel(setup);
        var visited = new FingerprintSet();
        var settled = new FingerprintSet();
        Deque<State> queue = new ArrayDeque<>(List.of(new State(model.state, null, null, 0)));
        visited.add(fingerprint(model.state));
        int states = 1;
        int depth = 0;
        boolean complete = true;
        while (!queue.isEmpty()) {
            var state = queue.poll();
            depth = state.depth;
            String violation = livenessViolation(model, state.bytes, settled);
            if (violation != null) {
                return new Result(states, depth, false, violation + trace(state));
            }
            model.state = state.bytes.clone();
            if (depth == setup.depth()) {
                complete = false;
                continue;
            }
            for (var transition : model.events()) {
                model.state = state.bytes.clone();
                model.apply(transition);
                if (model.violation == null && !visited.add(fingerprint(model.state))) {
                    continue;
                }
                var next = new State(model.state, state, transition, depth + 1);
                if (model.violation != null) {
                    return new Result(states, depth + 1, false, model.violation + trace(next));
                }
                states++;
                queue.add(next);
            }
        }
        return new Result(states, depth, complete, null);
    }

    /**
     * The invariant that is violated, or the service that is stuck, once faults end in that state; null:
     * none.
     */
    private static String livenessViolation(MigrationModel model, byte[] state, FingerprintSet settled) {
        model.state = state.clone();
        model.violation = null;
        var path = new ArrayList<Long>();
        for (int round = 0; round < MAX_ROUNDS; round++) {
            long fingerprint = fingerprint(model.state);
            if (settled.contains(fingerprint)
                    || !path.isEmpty() && path.get(path.size() - 1) == fingerprint) {
                break;
            }
            path.add(fingerprint);
            model.round();
            if (model.violation != null) {
                return model.violation;
            }
        }
        var violation = path.isEmpty() || settled.contains(fingerprint(model.state)) ? null
                : model.livenessViolation();
        path.forEach(settled::add);
        return violation;
    }

    private static String trace(State state) {
        var events = new ArrayList<String>();
        for (var current = state; current.transition != null; current = current.parent) {
            events.add(0,
                    current.transition.event() + " " + current.transition.service() + "/"
                    + current.transition.coordinator() + "/" + current.transition.arg());
        }
        return " after " + events;
    }
}
