package org.apache.mina.transport.socket.nio;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;

/**
 * MINA's processor, which takes a read or write that a signal interrupted for the end of the connection
 * (the JDK's channels return a negative count other than -1 then). Here it moved nothing, and is tried again.
 *
 * <p>It goes on at once where the system fails its selector, and watches a connection anew that the system
 * may not have watched: the JDK drops the error of epoll_ctl, and such a connection would stay silent.
 *
 * <p>It knows of each connection whether all that had come was read, without which nobody can tell whether
 * the peer has ended it.
 *
 * <p>It also looks, where it is asked to, whether anything has come on a connection before something is
 * written to it. In MINA's package, so that the compiler checks what it overrides.
 */
public class SocketProcessor extends NioProcessor {

    private static final AttributeKey EXPECTS_SILENCE = new AttributeKey(SocketProcessor.class, "silence");
    private static final int END_OF_INPUT = -1;

    /** A connection that has said nothing for so long since it came up is watched anew, in milliseconds. */
    private static final long WATCHED_ANEW_MS = 20;
    /** Each time after twice as long; the last time after 1.3 s. */
    private static final int MOST_WATCHED_ANEW = 7;

    private static final AttributeKey UNREAD_SINCE = new AttributeKey(SocketProcessor.class, "unread");

    /** Connections of which more may be there than was read; for the one thread that reads. */
    private final Set<NioSession> notReadToTheEnd = new HashSet<>();
    /** Connections that have said nothing yet; for the one thread that reads. */
    private final Map<NioSession, Unheard> unheard = new LinkedHashMap<>();
    private final AtomicBoolean woken = new AtomicBoolean();
    private final ReadTurns turns = new ReadTurns(System::nanoTime);

    /** Since when a connection is up, in nanoseconds, and how often it was watched anew. */
    private record Unheard(long since, int times) {
        boolean isDue(long now) {
            return now - since >= TimeUnit.MILLISECONDS.toNanos(WATCHED_ANEW_MS << times);
        }
    }

    /** As MINA's pools make their processors. */
    public SocketProcessor(Executor executor) {
        super(executor);
    }

    /**
     * The next write on the connection fails, and writes nothing, if by then something has come that was not
     * read, or the peer has ended it.
     */
    public static void expectSilence(IoSession session) {
        session.setAttribute(EXPECTS_SILENCE);
    }

    /**
     * For how many nanoseconds more has been there to be read on the connection than was read; 0 if all that
     * was there has been read, its end included.
     */
    public static long unreadFor(IoSession session) {
        var since = (Long) session.getAttribute(UNREAD_SINCE);
        return since == null ? 0 : Math.max(1, System.nanoTime() - since);
    }

    @Override
    protected void init(NioSession session) throws Exception {
        super.init(session);
        unheard.put(session, new Unheard(System.nanoTime(), 0));
    }

    /**
     * Returns only with what was found, when woken, or after the whole time: MINA takes selections that find
     * nothing sooner than that for a fault of the JDK's, and makes a new selector.
     */
    @Override
    protected int select(long timeout) throws Exception {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeout);
        while (true) {
            int found = watchAnew();
            long left = Math.max(1, TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime()));
            // To watch a connection anew takes a selection of its own, which a wake-up may have ended.
            boolean hasWork = found > 0 || woken.get() || turns.hasWaiting();
            long wait = Math.min(left, hasWork ? 1 : FaultySelector.LONGEST_WAIT_MS);
            found += FaultySelector.select(() -> super.select(wait), super::selectedSessions);
            found += turns.hasWaiting() ? 1 : 0;
            forgetReadToTheEnd();
            boolean wasWoken = woken.getAndSet(false);
            if (found > 0 || wasWoken || left <= wait) {
                return found;
            }
        }
    }

    @Override
    protected Iterator<NioSession> selectedSessions() {
        return turns.round(selector.selectedKeys());
    }

    @Override
    protected void wakeup() {
        woken.set(true);
        FaultySelector.wake(super::wakeup);
    }

    /** How much the selections found that this made on its way. */
    private int watchAnew() {
        int found = 0;
        long now = System.nanoTime();
        for (var each = unheard.entrySet().iterator(); each.hasNext();) {
            var entry = each.next();
            var state = entry.getValue();
            var key = entry.getKey().getSelectionKey();
            boolean over = key == null || !key.isValid() || state.times() == MOST_WATCHED_ANEW;
            if (over || entry.getKey().getReadBytes() > 0) {
                each.remove();
            } else if (state.isDue(now)) {
                entry.setValue(new Unheard(state.since(), state.times() + 1));
                found += watchAnew(key);
            }
        }
        return found;
    }

    /** Takes it off the system's list and adds it again, which changes nothing where it was there. */
    private static int watchAnew(SelectionKey key) {
        try {
            int wanted = key.interestOps();
            key.interestOps(0);
            int found = key.selector().selectNow();
            key.interestOps(wanted);
            return found;
        } catch (IOException | CancelledKeyException e) {
            return 0;
        }
    }

    @Override
    protected int read(NioSession session, IoBuffer buffer) throws Exception {
        int count = super.read(session, buffer);
        if (count > 0 && !buffer.hasRemaining()) {
            if (notReadToTheEnd.add(session)) {
                session.setAttribute(UNREAD_SINCE, System.nanoTime());
            }
        } else if (notReadToTheEnd.remove(session)) {
            session.removeAttribute(UNREAD_SINCE);
        }
        return count < END_OF_INPUT ? 0 : count;
    }

    /** A read that filled its buffer may have taken all there was: then the next selection finds nothing. */
    private void forgetReadToTheEnd() {
        for (var each = notReadToTheEnd.iterator(); each.hasNext();) {
            var session = each.next();
            var key = session.getSelectionKey();
            boolean gone = key == null || !key.isValid();
            if (gone || !session.isReadSuspended() && !selector.selectedKeys().contains(key)) {
                each.remove();
                session.removeAttribute(UNREAD_SINCE);
            }
        }
    }

    @Override
    protected int write(NioSession session, IoBuffer buffer, int length) throws IOException {
        if (session.removeAttribute(EXPECTS_SILENCE) != null) {
            checkSilence(session);
        }
        return Math.max(0, super.write(session, buffer, length));
    }

    private static void checkSilence(NioSession session) throws IOException {
        int count = session.getChannel().read(ByteBuffer.allocate(1));
        if (count > 0) {
            throw new IOException("something unasked has come on the connection");
        }
        if (count == END_OF_INPUT) {
            throw new IOException("the peer has ended the connection");
        }
    }
}
