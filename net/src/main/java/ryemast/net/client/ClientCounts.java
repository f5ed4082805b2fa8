package ryemast.net.client;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Logger;
import ryemast.core.Loop;
import ryemast.core.Note;
import ryemast.net.http.MessageMemory;

/**
 * Counts what was done against clients that send too much, too slowly, or leave, and logs it every
 * {@link #PERIOD}, where anything was. Owned by the loop, but for {@link #readInSteps}.
 */
final class ClientCounts {

    /** From one line to the next, in microseconds. */
    static final long PERIOD = 10_000_000;
    private static final int BYTES_PER_KB = 1024;
    private static final Logger LOG = Logger.getLogger(ClientCounts.class.getName());

    private final Loop loop;
    private final MessageMemory memory;
    private final Map<Integer, Long> turnedAway = new TreeMap<>();
    private final AtomicLong steps = new AtomicLong();
    private long left;
    private long notKept;
    private long sentOn;
    private long unread;
    private long unreadBytes;

    /** Begins to count. */
    ClientCounts(Loop loop, MessageMemory memory) {
        this.loop = loop;
        this.memory = memory;
        loop.at(loop.now() + PERIOD, this::log);
    }

    private void log() {
        loop.at(loop.now() + PERIOD, this::log);
        long paused = steps.getAndSet(0);
        long withoutRoom = memory.takeRefused();
        if (!turnedAway.isEmpty() || paused > 0 || withoutRoom > 0 || left > 0 || notKept > 0
                || sentOn > 0 || unread > 0) {
            Note.info(LOG, "clients in the last 10 s: {left} left before their answer; turned away by status"
                    + " {turned_away}; {not_kept} requests refused unkept; {sent_on} jobs refused as their"
                    + " clients sent on; no memory {no_memory} times, {free_kb} KB free; {paused} times read"
                    + " in steps; {unread} ended that read none of their answers, {unread_kb} KB",
                    "left", left, "turned_away", turnedAway.toString(), "not_kept", notKept,
                    "sent_on", sentOn, "no_memory", withoutRoom, "free_kb", memory.left() / BYTES_PER_KB,
                    "paused", paused, "unread", unread, "unread_kb", unreadBytes / BYTES_PER_KB);
        }
        turnedAway.clear();
        left = 0;
        notKept = 0;
        sentOn = 0;
        unread = 0;
        unreadBytes = 0;
    }

    /** A connection's client was at fault, and its connection ends. */
    void turnedAway(int status) {
        turnedAway.merge(status, 1L, Long::sum);
    }

    /** A client closed its connection before its answer. */
    void left() {
        left++;
    }

    /** A request was refused that was not kept. */
    void notKept() {
        notKept++;
    }

    /** A job was refused as its client sent on, so that nobody could tell whether it had left. */
    void sentOn() {
        sentOn++;
    }

    /** A client was ended that read none of its answers, which held so many bytes. */
    void unread(long bytes) {
        unread++;
        unreadBytes += bytes;
    }

    /** A connection is left unread for a moment; called by the thread that reads. */
    void readInSteps() {
        steps.incrementAndGet();
    }
}
