package ryemast.lab.site;

import java.util.PriorityQueue;
import ryemast.lab.scenario.Scenario.BoxSpec;
import ryemast.lab.scenario.Scenario.WarmBy;
import ryemast.lab.world.Timeline;

/**
 * What a box's cores do: each piece of work has a core to itself while there are enough, else all share the
 * cores evenly; a piece never uses more than one core. The present speed is that of a warm core, times how
 * warm the box is, divided by how slow it is made.
 *
 * <p>As all pieces go equally fast, one sum tells of all of them: how much a piece that is always there would
 * have been given (the virtual time of processor sharing; Parekh and Gallager, IEEE/ACM ToN 1(3), 1993). A
 * piece ends when that sum has grown by its work; each change of the speed is settled at its own time, so
 * that nothing is lost in steps. One timer serves all pieces.
 */
final class Work {

    /** What rounding may leave of a piece that is done, in microseconds of work. */
    private static final double NOTHING = 0.01;
    /** What rounding may add to a time, in microseconds. */
    private static final double MOMENT = 0.001;

    private final Timeline time;
    private final double lanes;
    private final double speed;
    private final PriorityQueue<Piece> pieces = new PriorityQueue<>();
    private Warmth warmth = new Warmth(1, 0, WarmBy.TIME);
    private Timeline.Timer next;
    private double slow = 1;
    private double given;
    private long settledAt;
    private long added;

    Work(BoxSpec spec, Timeline time) {
        this.time = time;
        lanes = Math.min(spec.cores(), spec.slots());
        speed = spec.speed();
    }

    /** Starts anew, with nothing to do. */
    void begin(Warmth startsWith) {
        clear();
        warmth = startsWith;
        settledAt = time.now();
    }

    /** The part of its warm capacity that it has now, leaving aside how slow it is made. */
    double part() {
        settle();
        return warmth.part();
    }

    /** Work in a microsecond, with all cores busy, as of now. */
    double capacity() {
        return lanes * speed * part() / slow;
    }

    /** Goes slower by this factor from now on. */
    void slow(double factor) {
        settle();
        slow = factor;
        plan();
    }

    /** Works on a piece from now on; {@code done} is run once it has been given all its work. */
    Piece add(double work, Runnable done) {
        settle();
        var piece = new Piece(given, given + work, added++, done);
        pieces.add(piece);
        plan();
        return piece;
    }

    /** What a piece has been given up to now. */
    double given(Piece piece) {
        settle();
        return Math.min(given, piece.until) - piece.from;
    }

    /** Works on it no longer; null or one that is done is passed over. */
    void stop(Piece piece) {
        settle();
        if (piece != null && pieces.remove(piece)) {
            plan();
        }
    }

    void clear() {
        settle();
        pieces.clear();
        plan();
    }

    /** A piece of work; ordered by which ends first. */
    static final class Piece implements Comparable<Piece> {
        private final double from;
        private final double until;
        private final long number;
        private final Runnable done;

        private Piece(double from, double until, long number, Runnable done) {
            this.from = from;
            this.until = until;
            this.number = number;
            this.done = done;
        }

        @Override
        public int compareTo(Piece other) {
            int byEnd = Double.compare(until, other.until);
            return byEnd != 0 ? byEnd : Long.compare(number, other.number);
        }
    }

    private void settle() {
        long now = time.now();
        if (now > settledAt) {
            double area = warmth.advance(now - settledAt, use());
            given += area * rate();
            settledAt = now;
        }
    }

    /** What a piece is given in a microsecond by a warm box. */
    private double rate() {
        int count = pieces.size();
        return count == 0 ? 0 : speed / slow * Math.min(1, lanes / count);
    }

    /** The part of a warm box's capacity that would be at work. */
    private double use() {
        return Math.min(pieces.size(), lanes) / lanes / slow;
    }

    private void plan() {
        if (next != null) {
            next.cancel();
            next = null;
        }
        if (pieces.isEmpty()) {
            // begins anew, so that the sum never grows so far that it loses digits
            given = 0;
            return;
        }
        double wait = warmth.timeFor(Math.max(0, pieces.peek().until - given) / rate(), use());
        next = time.at(settledAt + (long) Math.max(1, Math.ceil(wait - MOMENT)), this::due);
    }

    private void due() {
        next = null;
        settle();
        var first = pieces.peek();
        if (first.until - given > NOTHING) {
            plan();
            return;
        }
        pieces.poll();
        // planned before it is told, as what is told may add or stop pieces; others may be due at once too
        plan();
        first.done.run();
    }
}
