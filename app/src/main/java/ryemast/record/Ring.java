package ryemast.record;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Carries what happened from the loop to the writer: so many places made beforehand, used in turn. Neither
 * side ever waits for the other or allocates; a place that is not free is a thing not recorded.
 *
 * <p>One producer, one consumer (Lamport, "Specifying Concurrent Program Modules", 1983): each of the two
 * counters is written by one thread only, and what a place holds is published by the release of its counter.
 */
final class Ring {

    /** One thing that happened; which of its fields mean anything depends on its type. */
    static final class Place {
        Kind type;
        long at;
        long job;
        int attempt;
        int one;
        int other;
        long first;
        long second;
        double slots;
        double memory;
        Object what;
    }

    private final Place[] places;
    private final int mask;
    private final AtomicLong written = new AtomicLong();
    private final AtomicLong read = new AtomicLong();
    /** The producer's last sight of {@link #read}, so that it seldom touches the consumer's cache line. */
    private long seenRead;

    /** {@code least}: how many places at least. */
    Ring(int least) {
        int size = Integer.highestOneBit(Math.max(2, least) * 2 - 1);
        mask = size - 1;
        places = new Place[size];
        for (int i = 0; i < size; i++) {
            places[i] = new Place();
        }
    }

    /** The producer's: a place to fill and then {@link #publish}, or null if none is free. */
    Place claim() {
        long next = written.getPlain();
        if (next - seenRead == places.length) {
            seenRead = read.getAcquire();
            if (next - seenRead == places.length) {
                return null;
            }
        }
        return places[(int) next & mask];
    }

    void publish() {
        written.setRelease(written.getPlain() + 1);
    }

    /** The consumer's: the oldest place that is filled, to be given back by {@link #release}; or null. */
    Place peek() {
        long next = read.getPlain();
        return next == written.getAcquire() ? null : places[(int) next & mask];
    }

    void release() {
        long next = read.getPlain();
        places[(int) next & mask].what = null;
        read.setRelease(next + 1);
    }
}
