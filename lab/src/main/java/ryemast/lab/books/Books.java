package ryemast.lab.books;

/**
 * What really happened, written down by those it happened to: boxes, clients, discovery and the supervisor
 * of the dispatchers; never by a dispatcher. The rules and the service measure are judged from these books
 * alone. Any thread may write; times are on the run's timeline.
 */
public interface Books {

    /** How a box answered the request itself, before any call-back. */
    enum Reply {
        TAKEN, TURNED_AWAY, ERROR, RESET,
        /** 400 or 404: an id that no client sent, or none. */
        UNUSABLE,
        /** Nothing was said: the box was gone, or silent. */
        NONE
    }

    /** How a job ended at a box. */
    enum End {
        DONE, FAILED,
        /** It began, or may have, and was lost. */
        LOST,
        /** It was stopped, or dropped, because nobody waits for it. */
        CANCELLED,
        /** It never began and was handed back. */
        RETURNED
    }

    enum BoxState { READY, DRAINING, DOWN, FELL_OVER }

    enum DispatcherState { STARTED, READY, TOLD_TO_END, KILLED, PAUSED, RESUMED,
        /** It ended by itself though nobody had told it to. */
        DIED,
        ENDED }

    /** A try's last byte is written to a dispatcher. */
    void asked(Try sent, int dispatcher, long at);

    /** As {@link #asked(Try, int, long)}; {@code body}: what it bears, by {@link Fingerprint}. */
    default void asked(Try sent, int dispatcher, long at, long body) {
        asked(sent, dispatcher, at);
    }

    /** A whole answer has come; {@code result} is its body. */
    void told(String txn, long at, int status, long retryAfter, String result);

    /** The client went away before it had an answer. */
    void left(String txn, long at);

    /** The connection ended before a whole answer had come; {@code sent}: whether the try had left whole. */
    void broke(String txn, long at, boolean sent);

    /** A request has arrived whole at a box; {@code txn} null: it bore no name. */
    void arrived(int box, int dispatcher, String txn, long firstByteAt, long at);

    /** As {@link #arrived(int, int, String, long, long)}; {@code body}: by {@link Fingerprint}. */
    default void arrived(int box, int dispatcher, String txn, long firstByteAt, long at, long body) {
        arrived(box, dispatcher, txn, firstByteAt, at);
    }

    void replied(int box, int dispatcher, String txn, long at, Reply reply);

    /** It runs from now on. */
    void began(int box, int dispatcher, String txn, long at);

    /** Its end at a box; {@code work}: what was done of it, {@code result}: what it made, or null. */
    void ended(int box, int dispatcher, String txn, long at, End end, double work, String result);

    /**
     * A dispatcher gives an attempt up: it asks the box to cancel it, or its connection ends before the box
     * has replied. Whether the box then stops the work is a matter of {@link #ended}.
     */
    default void givenUp(int box, int dispatcher, String txn, long at) {
    }

    /** The truth about a box; {@code capacity}: work in a microsecond, as of now. */
    void box(int box, long at, BoxState state, double capacity);

    /** Discovery has written an entry to a dispatcher. */
    void listed(int dispatcher, int box, long at, BoxState state, long startedAt);

    /** Discovery has something to tell; it counts as told some time after, whether it arrived or not. */
    void listable(int box, long at, BoxState state, long startedAt);

    void dispatcher(int dispatcher, long at, DispatcherState state);

    /**
     * The emulator itself was late with something by so many microseconds. To be told of each step that was
     * due at a time, also of those that were on time: the share that was late counts.
     */
    void late(long at, long by);
}
