package ryemast.lab.site;

import java.util.function.Consumer;

/**
 * A box as its connections see it. Whoever carries the bytes (sockets, or the model's network) calls this
 * on the box's timeline; a box does no I/O of its own.
 */
public interface Machine {

    /** What becomes of those who want to connect. */
    enum Door {
        OPEN,
        /** Connections are refused at once. */
        REFUSES,
        /** Nothing is said: connections never come up, open ones stay silent. */
        SILENT
    }

    /**
     * What has arrived whole.
     *
     * @param dispatcher  which dispatcher's address it came to
     * @param txn         null if it bore no name
     * @param waits       for how long the dispatcher says it will wait, in microseconds; 0: it did not say
     */
    record Parcel(int dispatcher, String txn, long waits, long firstByteAt, long at, byte[] body) {
    }

    int index();

    Door door();

    /** As one dispatcher finds it: silent also where nothing passes between the two. */
    default Door door(int dispatcher) {
        return isCutOff(dispatcher) ? Door.SILENT : door();
    }

    /** Whether nothing passes between this box and a dispatcher, though others may reach it. */
    default boolean isCutOff(int dispatcher) {
        return false;
    }

    /**
     * Tells of each change of the door, or of how a dispatcher finds it, so that a carrier can close and open
     * its ears.
     */
    void onDoor(Consumer<Door> listener);

    /** A connection has come up; false: the box holds too many, and it must end at once. */
    boolean opened(Visit visit);

    /** It has ended, whoever ended it. A job that was taken goes on. */
    void ended(Visit visit);

    /** A job; the box answers it on the visit, now or later, unless it is silent. */
    void take(Visit visit, Parcel parcel);

    /** {@code DELETE /jobs/ID}: stop it, as far as this box does that. */
    void cancel(int dispatcher, String txn);
}
