package ryemast.net.client;

import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.SocketProcessor;
import ryemast.core.Terminal.Presence;
import ryemast.net.http.HttpCodec;

/**
 * Tells whether a client is there still. Its close is seen only once all was read that it sent before: it may
 * stand behind what was not read yet, or behind what has not come yet.
 */
final class ClientPresence {

    /** A client whose input has not been read to its end for so long may have left, in nanoseconds. */
    private static final long LONGEST_UNREAD = 50_000_000;
    /**
     * Much that comes behind a request may have more behind it that waits on the client's side, and its close
     * behind that: for so long after it, in nanoseconds, as a pause in reading and the way take.
     */
    static final long SENDS_ON = 60_000_000;
    /** So many bytes at once are never held back on the client's side: any window for receiving is larger. */
    private static final long SURELY_RECEIVED = 16 * 1024;

    private ClientPresence() {
    }

    /** {@code begun}: how many of the connection's requests were begun. */
    static Presence of(IoSession session, long begun) {
        if (!session.isConnected() || session.isClosing()) {
            return Presence.GONE;
        }
        boolean known = !sendsOn(session, begun) && SocketProcessor.isReadToTheEnd(session, LONGEST_UNREAD);
        return known ? Presence.PRESENT : Presence.UNKNOWN;
    }

    private static boolean sendsOn(IoSession session, long begun) {
        return HttpCodec.hasMoreThan(session, begun) && (SocketProcessor.isLeftUnread(session)
                || HttpCodec.hasReadMoreThan(session, SURELY_RECEIVED, SENDS_ON));
    }
}
