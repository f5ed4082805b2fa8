package ryemast.batch;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Deque;
import java.util.List;
import ryemast.wire.Words.State;

/**
 * The jobs of one submission: one, or an array of many, in parts under a template each. What differs from
 * job to job takes some seven bytes each here; the rest is in the store. Owned by the loop.
 */
final class JobArray {

    /** Bits of a job's key that number it within its array. */
    static final int SLOT_BITS = 20;
    static final int MOST_JOBS = 1 << SLOT_BITS;
    private static final State[] STATES = State.values();

    final long number;
    final BatchSession session;
    final String submission;
    /** In the order of their jobs. */
    final List<Part> parts;
    /** So many may be out at once; 0: any number. */
    final int parallel;
    /** Nothing goes out before (Unix, microseconds); 0: at once. */
    final long startAt;
    /** What tells another submission under the same id. */
    final long digest;
    final long first;
    final long step;
    final int count;
    final long takenAt;
    /** By part: behind its last job. */
    private final int[] ends;
    /** Whether the platform knows all of its classes. */
    private final boolean isKnown;
    private final byte[] states;
    /** Turns that may have left something at a worker: the next one's name must differ. */
    private final int[] turns;
    private final byte[] failures;
    private final BitSet reaped = new BitSet();
    /** Jobs that are to go out again, before those that never have. */
    private final Deque<Integer> again = new ArrayDeque<>();
    private int next;
    private int running;
    private int over;
    private int failed;
    private int held;
    private int gone;
    /** It is on the disk. */
    boolean durable;
    long lastEndAt;

    /** Jobs in a row that share a template. */
    record Part(Template template, int count) {
    }

    /** What a whole array is told beside its parts; {@code held}: its jobs wait for a release. */
    record Terms(long first, long step, int parallel, long startAt, boolean held) {
    }

    JobArray(long number, BatchSession session, String submission, List<Part> parts, Terms terms, long digest,
            long takenAt) {
        this.number = number;
        this.session = session;
        this.submission = submission;
        this.parts = List.copyOf(parts);
        this.digest = digest;
        first = terms.first;
        step = terms.step;
        parallel = terms.parallel;
        startAt = terms.startAt;
        count = parts.stream().mapToInt(Part::count).sum();
        isKnown = parts.stream().allMatch(each -> each.template.jobClass() >= 0);
        ends = new int[parts.size()];
        int end = 0;
        for (int i = 0; i < ends.length; i++) {
            end += parts.get(i).count;
            ends[i] = end;
        }
        this.takenAt = takenAt;
        states = new byte[count];
        turns = new int[count];
        failures = new byte[count];
        if (terms.held) {
            Arrays.fill(states, (byte) State.HELD.ordinal());
            held = count;
        }
    }

    static long key(long array, int slot) {
        return array << SLOT_BITS | slot;
    }

    static long arrayOf(long key) {
        return key >>> SLOT_BITS;
    }

    static int slotOf(long key) {
        return (int) (key & MOST_JOBS - 1);
    }

    long key(int slot) {
        return key(number, slot);
    }

    /** Which part a job is of. */
    int part(int slot) {
        int at = Arrays.binarySearch(ends, slot + 1);
        return at >= 0 ? at : -at - 1;
    }

    Template template(int slot) {
        return parts.get(part(slot)).template;
    }

    Terms terms(boolean isHeld) {
        return new Terms(first, step, parallel, startAt, isHeld);
    }

    /** The index that the submitter gave it. */
    long index(int slot) {
        return first + slot * step;
    }

    /** The slot of an index, -1 if it is none of this array's. */
    int slot(long index) {
        long from = index - first;
        return from % step != 0 || from / step < 0 || from / step >= count ? -1 : (int) (from / step);
    }

    /** What submitters know it by. */
    String id(int slot) {
        return isSingle() ? Long.toString(number) : number + "." + index(slot);
    }

    /** What a worker knows a turn by: no other turn ever bears the same name. */
    String name(int slot) {
        return submission + "." + number + "." + slot + "." + turns[slot];
    }

    State state(int slot) {
        return STATES[states[slot]];
    }

    int turn(int slot) {
        return turns[slot];
    }

    int failures(int slot) {
        return failures[slot];
    }

    boolean isReaped(int slot) {
        return reaped.get(slot);
    }

    /** Jobs that are not over. */
    int open() {
        return count - over;
    }

    int running() {
        return running;
    }

    int held() {
        return held;
    }

    int done() {
        return over - failed;
    }

    int failed() {
        return failed;
    }

    /** One job that was not submitted as an array. */
    boolean isSingle() {
        return count == 1 && step == 1 && first == 1;
    }

    /** Whether there is a job that may go out now. */
    boolean hasNext() {
        if (!durable || !isKnown || parallel > 0 && running >= parallel) {
            return false;
        }
        while (!again.isEmpty() && state(again.getFirst()) != State.QUEUED) {
            again.removeFirst();
        }
        while (next < count && state(next) != State.QUEUED) {
            next++;
        }
        return !again.isEmpty() || next < count;
    }

    /** The one that {@link #take} would take; only if there is one. */
    int peek() {
        return again.isEmpty() ? next : again.getFirst();
    }

    /** Takes the next one out, which runs from now on; to be called only if there is one. */
    int take() {
        int slot = again.isEmpty() ? next++ : again.removeFirst();
        // Only one that is queued is there, as hasNext has passed by the others.
        become(slot, State.RUNNING);
        return slot;
    }

    /** A running one is out no more; it goes out again once {@link #comeBack}. */
    void putBack(int slot, boolean failed) {
        if (failed) {
            failures[slot]++;
        }
        become(slot, State.QUEUED);
    }

    /** One that was put back may go out from now on. */
    void comeBack(int slot) {
        if (state(slot) == State.QUEUED) {
            again.addLast(slot);
        }
    }

    /** It is to end without going out: nobody may take it meanwhile. */
    void keepBack(int slot) {
        become(slot, State.RUNNING);
    }

    /** An attempt of this turn may have left: the next turn has another name. */
    void named(int slot) {
        turns[slot]++;
    }

    void hold(int slot) {
        become(slot, State.HELD);
    }

    void release(int slot) {
        become(slot, State.QUEUED);
        if (slot < next) {
            again.addLast(slot);
        }
    }

    void end(int slot, State how) {
        become(slot, how);
        over++;
        failed += how == State.FAILED ? 1 : 0;
    }

    /** Its submitter has what it wanted of it; true if nothing of the array is left. */
    boolean reap(int slot) {
        if (!reaped.get(slot)) {
            reaped.set(slot);
            gone++;
        }
        return gone == count;
    }

    private void become(int slot, State state) {
        var before = state(slot);
        running += (state == State.RUNNING ? 1 : 0) - (before == State.RUNNING ? 1 : 0);
        held += (state == State.HELD ? 1 : 0) - (before == State.HELD ? 1 : 0);
        states[slot] = (byte) state.ordinal();
    }

    /** As the store has it, at the start; those that are over count as such. */
    void restore(int slot, State state, int turn, int failed, boolean wasReaped) {
        become(slot, state);
        turns[slot] = turn;
        failures[slot] = (byte) failed;
        if (state == State.DONE || state == State.FAILED) {
            over++;
            failed += state == State.FAILED ? 1 : 0;
        }
        if (wasReaped) {
            reap(slot);
        }
    }
}
