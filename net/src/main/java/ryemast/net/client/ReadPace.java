package ryemast.net.client;

/**
 * How fast one connection may hand over requests: a client that waits for each answer never comes near it,
 * one that sends without waiting is read in steps, so that neither the loop nor other clients wait behind
 * it. For the one thread that reads.
 */
final class ReadPace {

    /** How long a step is, and how long a connection that was too fast is left unread, in microseconds. */
    static final long STEP = 20_000;
    /** So many requests may come in a step. */
    private static final int REQUESTS = 64;
    /** So many bytes count as a request. */
    private static final int BYTES_FOR_ONE = 2048;

    private long stepBegan;
    private long bytesBefore;
    private int requests;

    /**
     * A request has come.
     *
     * @param bytes  how many have come on the connection so far
     * @return whether the connection is to be left unread for a step
     */
    boolean isTooFast(long now, long bytes) {
        if (now - stepBegan >= STEP) {
            stepBegan = now;
            bytesBefore = bytes;
            requests = 0;
        }
        requests++;
        return requests + (bytes - bytesBefore) / BYTES_FOR_ONE > REQUESTS;
    }
}
