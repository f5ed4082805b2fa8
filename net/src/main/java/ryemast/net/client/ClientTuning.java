package ryemast.net.client;

/**
 * How patient the terminals are with those who connect; times in microseconds.
 *
 * @param longestRequest  a request must be whole this long after its first byte, the first one after the
 *                        connection's start
 * @param idleLimit       a connection at rest for so long is ended
 * @param linger          how long a client may take to read the answer to what could not be taken
 * @param young           what a newcomer has sent along with its connection is read and known this soon
 * @param freeShare       one part in so many of the connections is kept free, so that a newcomer need not
 *                        wait until one has ended
 * @param backlog         so many connections may wait in the kernel until they are accepted
 */
public record ClientTuning(long longestRequest, long idleLimit, long linger, long young, int freeShare,
        int backlog) {

    public static final ClientTuning DEFAULT =
            new ClientTuning(2_000_000, 300_000_000, 1_000_000, 50_000, 16, 1024);
}
