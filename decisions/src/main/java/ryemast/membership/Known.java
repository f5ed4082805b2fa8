package ryemast.membership;

/** A worker in the book of one source: what the source said last, and what of it is believed. */
final class Known {

    final String id;
    /** The last word; kept, as gone, after the source named the worker no more. */
    Sighting last;
    /** What is believed. */
    Sighting believed;
    /** Since when a loss is withheld; 0: none is. */
    long withheldAt;
    /** When it was believed lost without an order; only while it still is. */
    long lostAt;
    /** Null until it has fallen once. */
    Flaps flaps;
    /** When a process of unknown age was seen to begin, or 0. */
    long begunAt;

    Known(String id) {
        this.id = id;
    }

    boolean serves() {
        return believed != null && believed.condition().serves();
    }

    boolean held(long now) {
        return flaps != null && flaps.held(now);
    }
}
