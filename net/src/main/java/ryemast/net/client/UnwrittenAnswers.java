package ryemast.net.client;

import ryemast.net.http.MessageMemory;

/**
 * The answers of one connection that the system has not taken in yet, as its client does not read: each stays
 * in memory until then. Owned by the loop.
 */
final class UnwrittenAnswers {

    /** So many may wait before the next request of the connection begins. */
    private static final int MOST = 256;
    /** The same in bytes, as a result may be large. */
    private static final long MOST_BYTES = 128 * 1024;

    /**
     * What the answers of all connections may hold together. Beyond a first bound the clients that have taken
     * nothing in for long are to be ended, beyond a second one those that have for longest, however long.
     */
    static final class Budget {
        /** One part in so many of the memory for messages is for answers. */
        private static final int SHARE = 6;
        /** A client that takes nothing in for longer may never do, in microseconds. */
        private static final long LONGEST_STUCK = 500_000;

        private final MessageMemory memory;
        private final long most;
        private long bytes;
        private int count;

        Budget(MessageMemory memory) {
            this.memory = memory;
            most = memory.left() / SHARE;
        }

        private void take(long size) {
            bytes += size;
            count++;
            memory.holdAnswer(size);
        }

        private void give(long size, int answers) {
            bytes -= size;
            count -= answers;
            memory.releaseAnswer(size);
        }

        boolean isEmpty() {
            return count == 0;
        }

        /** Whether the first bound is passed. */
        boolean isOver() {
            return bytes > most;
        }

        /** Whether a client is to be ended that has taken nothing in for so long, in microseconds. */
        boolean ends(long stuckFor) {
            return isOver() && stuckFor > LONGEST_STUCK || bytes > 2 * most && stuckFor > 0;
        }
    }

    private final Budget budget;
    private int count;
    private long bytes;
    /** When the client last took something in, or the first of them was written. */
    private long progressAt;
    /** How many bytes had left the connection by then. */
    private long leftBefore;

    UnwrittenAnswers(Budget budget) {
        this.budget = budget;
    }

    /** What an answer holds, in bytes. */
    static long size(int length) {
        return MessageMemory.EACH + length;
    }

    /** An answer of so many bytes is written; {@code left}: how many have left the connection so far. */
    void add(int length, long left, long now) {
        if (count == 0) {
            progressAt = now;
            leftBefore = left;
        }
        count++;
        bytes += size(length);
        budget.take(size(length));
    }

    /** An answer of so many bytes has left. */
    void left(int length, long now) {
        count--;
        bytes -= size(length);
        budget.give(size(length), 1);
        progressAt = now;
    }

    /** None of them will leave any more. */
    void clear() {
        budget.give(bytes, count);
        count = 0;
        bytes = 0;
    }

    /** Whether the next request has to wait until some have left. */
    boolean isFull() {
        return count >= MOST || bytes >= MOST_BYTES || count > 0 && budget.isOver();
    }

    long bytes() {
        return bytes;
    }

    /** Looks whether the client has taken something in; {@code left}: as in {@link #add}. */
    void look(long left, long now) {
        if (left != leftBefore) {
            leftBefore = left;
            progressAt = now;
        }
    }

    /** For how long some have been there and the client has taken nothing in. */
    long stuckFor(long now) {
        return count == 0 ? 0 : now - progressAt;
    }
}
