package ryemast.lab.world;

/**
 * The time in which a site lives: real where the site is emulated on sockets, virtual where it is modelled.
 *
 * <p>Everything that behaves (boxes, clients, discovery, faults) is written against this one interface, so
 * that the two ways to run a scenario share each description and can't drift apart. One thread at a time
 * uses a timeline; what is set on it runs there. Times are microseconds since 1970, as on the dispatcher's
 * own clock.
 */
public interface Timeline {

    long now();

    /** Runs a step at a time or as soon after as possible, never before it; a time gone by means at once. */
    Timer at(long dueAt, Runnable step);

    /** A step that is still to come. */
    interface Timer {
        /** Takes it back; one that has run or was cancelled is passed over. */
        void cancel();
    }
}
