package org.apache.mina.transport.socket.nio;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import ryemast.net.http.HttpCodec;

/**
 * MINA's processor, which takes a read or write that a signal interrupted for the end of the connection
 * (the JDK's channels return a negative count other than -1 then). Here it moved nothing, and is tried again.
 *
 * <p>It goes on at once where the system fails its selector, and watches and reads a connection anew that the
 * system may not watch: the JDK drops the error of epoll_ctl, and such a connection would stay silent.
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

    /** A connection that no selection has found for so long is watched anew, in milliseconds. */
    private static final long WATCHED_ANEW_MS = 20;
    /** Each time after twice as long; the last time after 1.3 s. */
    private static final int MOST_WATCHED_ANEW = 7;

    private static final AttributeKey UNREAD_SINCE = new AttributeKey(SocketProcessor.class, "unread");

    private static final AttributeKey PROCESSOR = new AttributeKey(SocketProcessor.class, "processor");

    /** Connections that are left unread, and until when; for the one thread that reads. */
    private final Map<NioSession, Long> paused = new HashMap<>();
    private final Queue<NioSession> toResume = new ConcurrentLinkedQueue<>();
    /** Connections of which more may be there than was read; for the one thread that reads. */
    private final Set<NioSession> notReadToTheEnd = new HashSet<>();
    /**
     * Connections that no selection has found since they are to be watched: maybe the system does not watch
     * them. For the one thread that reads.
     */
    private final Map<NioSession, Unproven> unproven = new LinkedHashMap<>();
    /** Connections that are read whether or not a selection finds them; for the one thread that reads. */
    private final Set<SelectionKey> toRead = new LinkedHashSet<>();
    private final AtomicBoolean woken = new AtomicBoolean();
    private final ReadTurns turns = new ReadTurns(System::nanoTime, SocketProcessor::rank);
    /** When the last selection was over, in nanoseconds: what had come by then and is not read is known. */
    private volatile long selectedAt = System.nanoTime();

    /** Since when a connection is to be watched, in nanoseconds, and how often it was watched anew. */
    private record Unproven(long since, int times) {
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
     * Whether all that had come on the connection so many nanoseconds ago has been read, its end included;
     * for any thread.
     */
    public static boolean isReadToTheEnd(IoSession session, long nanosAgo) {
        if (!(session.getAttribute(PROCESSOR) instanceof SocketProcessor processor)) {
            return false;
        }
        long now = System.nanoTime();
        var unreadSince = (Long) session.getAttribute(UNREAD_SINCE);
        return now - processor.selectedAt < nanosAgo && (unreadSince == null || now - unreadSince < nanosAgo);
    }

    /** Whether more may have come on the connection than was read; for any thread. */
    public static boolean isLeftUnread(IoSession session) {
        return session.containsAttribute(UNREAD_SINCE);
    }

    /** Leaves the connection unread for so many nanoseconds; to be called by the thread that reads it. */
    public static void pause(IoSession session, long nanos) {
        if (session.getAttribute(PROCESSOR) instanceof SocketProcessor processor) {
            session.suspendRead();
            processor.leftUnread((NioSession) session);
            processor.paused.put((NioSession) session, System.nanoTime() + nanos);
        }
    }

    /**
     * Reads the connection again; for any thread. MINA changes what a connection is watched for without a
     * lock, so that only the thread that reads may do it, or one change is lost.
     */
    public static void resume(IoSession session) {
        if (session.getAttribute(PROCESSOR) instanceof SocketProcessor processor) {
            processor.toResume.add((NioSession) session);
            processor.wakeup();
        }
    }

    private void resumeDue() {
        for (var next = toResume.poll(); next != null; next = toResume.poll()) {
            paused.remove(next);
            watchAgain(next);
        }
        if (!paused.isEmpty()) {
            long now = System.nanoTime();
            paused.entrySet().removeIf(each -> {
                boolean due = now - each.getValue() >= 0;
                if (due) {
                    watchAgain(each.getKey());
                }
                return due || !each.getKey().isConnected();
            });
        }
    }

    /** The system may fail to, and does not say so: what has come meanwhile is read in any case. */
    private void watchAgain(NioSession session) {
        session.resumeRead();
        unproven.put(session, new Unproven(System.nanoTime(), 0));
        readSoon(session);
    }

    @Override
    protected void init(NioSession session) throws Exception {
        super.init(session);
        session.setAttribute(PROCESSOR, this);
        unproven.put(session, new Unproven(System.nanoTime(), 0));
    }

    private void readSoon(NioSession session) {
        if (!isOver(session)) {
            toRead.add(session.getSelectionKey());
        }
    }

    /**
     * Returns only with what was found, when woken, or after the whole time: MINA takes selections that find
     * nothing sooner than that for a fault of the JDK's, and makes a new selector.
     */
    @Override
    protected int select(long timeout) throws Exception {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeout);
        while (true) {
            resumeDue();
            int found = watchAnew();
            long left = Math.max(1, TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime()));
            // To watch a connection anew takes a selection of its own, which a wake-up may have ended.
            boolean hasWork = found > 0 || woken.get() || turns.hasWaiting() || !toRead.isEmpty();
            long wait = Math.min(left, hasWork ? 1 : FaultySelector.LONGEST_WAIT_MS);
            turns.waiting().forEach(this::leftUnread);
            var watched = watchedOf(notReadToTheEnd);
            found += FaultySelector.select(() -> super.select(wait), super::selectedSessions);
            selectedAt = System.nanoTime();
            forgetProven();
            watched.forEach(this::forgetIfReadToTheEnd);
            found += turns.hasWaiting() || !toRead.isEmpty() ? 1 : 0;
            boolean wasWoken = woken.getAndSet(false);
            if (found > 0 || wasWoken || left <= wait) {
                return found;
            }
        }
    }

    @Override
    protected Iterator<NioSession> selectedSessions() {
        toRead.removeIf(key -> !key.isValid());
        return turns.round(selector.selectedKeys(), toRead);
    }

    @Override
    protected boolean isReadable(NioSession session) {
        return super.isReadable(session) || !isOver(session) && toRead.contains(session.getSelectionKey());
    }

    /** What a selection has found to be readable, the system watches. */
    private void forgetProven() {
        if (!unproven.isEmpty()) {
            selector.selectedKeys().stream().filter(SocketProcessor::isFoundReadable)
                    .forEach(key -> unproven.remove((NioSession) key.attachment()));
        }
    }

    private static boolean isFoundReadable(SelectionKey key) {
        try {
            return key.isReadable();
        } catch (CancelledKeyException e) {
            return false;
        }
    }

    private static boolean isOver(NioSession session) {
        var key = session.getSelectionKey();
        return key == null || !key.isValid();
    }

    private boolean isSelected(NioSession session) {
        return selector.selectedKeys().contains(session.getSelectionKey());
    }

    /** The connections that the program opened first, then those that were accepted. */
    private static ReadTurns.Rank rank(NioSession session) {
        if (!(session.getService() instanceof SocketAcceptor)) {
            return ReadTurns.Rank.OPENED;
        }
        if (HttpCodec.insideFor(session) > 0) {
            return ReadTurns.Rank.INSIDE;
        }
        return HttpCodec.whole(session) > 0 ? ReadTurns.Rank.KNOWN : ReadTurns.Rank.NEW;
    }

    @Override
    protected void wakeup() {
        woken.set(true);
        FaultySelector.wake(super::wakeup);
    }

    /** How much the selection found that this made on its way. */
    private int watchAnew() {
        var due = new ArrayList<SelectionKey>();
        long now = System.nanoTime();
        for (var each = unproven.entrySet().iterator(); each.hasNext();) {
            var entry = each.next();
            var state = entry.getValue();
            if (isOver(entry.getKey()) || state.times() == MOST_WATCHED_ANEW) {
                each.remove();
            } else if (state.isDue(now)) {
                entry.setValue(new Unproven(state.since(), state.times() + 1));
                due.add(entry.getKey().getSelectionKey());
                readSoon(entry.getKey());
            }
        }
        return due.isEmpty() ? 0 : watchAnew(due);
    }

    /** Takes them off the system's list and adds them again, which changes nothing where they were there. */
    private int watchAnew(List<SelectionKey> keys) {
        var wanted = new LinkedHashMap<SelectionKey, Integer>();
        int found = 0;
        try {
            for (var key : keys) {
                takeOff(key, wanted);
            }
            found = selector.selectNow();
        } catch (IOException e) {
            // What is ready is found by the next selection.
        }
        wanted.forEach(SocketProcessor::add);
        return found;
    }

    private static void takeOff(SelectionKey key, Map<SelectionKey, Integer> wanted) {
        try {
            int before = key.interestOps();
            key.interestOps(0);
            wanted.put(key, before);
        } catch (CancelledKeyException e) {
            // The connection is gone.
        }
    }

    private static void add(SelectionKey key, int wanted) {
        try {
            key.interestOps(wanted);
        } catch (CancelledKeyException e) {
            // The connection is gone.
        }
    }

    @Override
    protected int read(NioSession session, IoBuffer buffer) throws Exception {
        int count = super.read(session, buffer);
        if (count > 0 && !buffer.hasRemaining()) {
            leftUnread(session);
        } else if (notReadToTheEnd.remove(session)) {
            session.removeAttribute(UNREAD_SINCE);
        }
        return count < END_OF_INPUT ? 0 : count;
    }

    private void leftUnread(NioSession session) {
        if (notReadToTheEnd.add(session)) {
            session.setAttribute(UNREAD_SINCE, System.nanoTime());
        }
    }

    /** Those that the next selection finds if anything is there to be read. */
    private static List<NioSession> watchedOf(Set<NioSession> sessions) {
        return sessions.isEmpty() ? List.of() : sessions.stream().filter(SocketProcessor::isWatched).toList();
    }

    private static boolean isWatched(NioSession session) {
        var key = session.getSelectionKey();
        try {
            return key == null || (key.interestOps() & SelectionKey.OP_READ) != 0;
        } catch (CancelledKeyException e) {
            return true;
        }
    }

    /**
     * A read that filled its buffer may have taken all there was: then a selection finds nothing. That proves
     * it only where the connection is surely watched; another one is read again.
     */
    private void forgetIfReadToTheEnd(NioSession session) {
        if (unproven.containsKey(session)) {
            readSoon(session);
        } else if (isOver(session) || !isSelected(session)) {
            notReadToTheEnd.remove(session);
            session.removeAttribute(UNREAD_SINCE);
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
