package ryemast.net.http;

import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds what the messages of all connections keep in memory together: requests that have come in part, whole
 * ones until whoever took them releases them, and answers until they are written. A connection is bounded by
 * the largest request, but hundreds of connections are not.
 *
 * <p>Unfinished requests leave a part free, so that small whole ones get through while a crowd holds the
 * rest. An answer always has room, as its client is owed it: what answers take, requests don't get. Safe for
 * many threads.
 */
public final class MessageMemory {

    /** For those who bound their peers otherwise. */
    public static final MessageMemory UNBOUNDED = new MessageMemory(Long.MAX_VALUE / 2);

    /** What a message costs in memory beside its texts, in bytes. */
    public static final int EACH = 512;
    /** Of the Java heap, in percent: the rest is the program's own, and what the collector needs. */
    private static final int HEAP_PERCENT = 55;
    private static final int ALL_PERCENT = 100;
    /** One part in so many is kept free of unfinished requests. */
    private static final int WHOLE_SHARE = 16;

    private final long leftFree;
    private final AtomicLong left;
    private final AtomicLong refused = new AtomicLong();
    private final AtomicBoolean notifiedFull = new AtomicBoolean();
    private volatile Runnable full = () -> { };

    /** {@code bytes}: how much all messages may hold together. */
    public MessageMemory(long bytes) {
        left = new AtomicLong(bytes);
        leftFree = bytes / WHOLE_SHARE;
    }

    /** As much as the program's heap allows. */
    public static MessageMemory ofHeap() {
        return new MessageMemory(Runtime.getRuntime().maxMemory() / ALL_PERCENT * HEAP_PERCENT);
    }

    /** Runs {@code step} when something was refused for want of room; once until {@link #madeRoom}. */
    public void whenFull(Runnable step) {
        full = step;
    }

    /** Whoever was notified that it is full has done what can be done. */
    public void madeRoom() {
        notifiedFull.set(false);
    }

    /** False if there is no room for so many more bytes of an unfinished request. */
    boolean reservePart(long bytes) {
        return reserve(bytes, leftFree);
    }

    /** False if there is no room for the message; else it is to be released. */
    boolean reserve(HttpMessage message) {
        return reserve(size(message), 0);
    }

    private boolean reserve(long bytes, long spared) {
        long before = left.getAndAdd(-bytes);
        if (before - bytes >= spared) {
            return true;
        }
        left.addAndGet(bytes);
        refused.incrementAndGet();
        if (notifiedFull.compareAndSet(false, true)) {
            full.run();
        }
        return false;
    }

    void releasePart(long bytes) {
        left.addAndGet(bytes);
    }

    /** What a codec has handed over is not needed any more; what is no message holds nothing. */
    public void release(Object handedOver) {
        if (handedOver instanceof HttpMessage message) {
            left.addAndGet(size(message));
        }
    }

    /** An answer is held from here on, so many bytes; to be released. */
    public void holdAnswer(long bytes) {
        left.addAndGet(-bytes);
    }

    /** An answer of so many bytes is not held any more. */
    public void releaseAnswer(long bytes) {
        left.addAndGet(bytes);
    }

    /** How many bytes are left; fewer than none where answers hold more than was free. */
    public long left() {
        return left.get();
    }

    /** How often there was no room, since this was asked last. */
    public long takeRefused() {
        return refused.getAndSet(0);
    }

    /** What the message holds, in bytes. */
    public static int size(HttpMessage message) {
        int size = EACH + message.body().length + message.head().second().length();
        for (Map.Entry<String, String> header : message.head().headers().entrySet()) {
            size += header.getKey().length() + header.getValue().length();
        }
        return size;
    }
}
