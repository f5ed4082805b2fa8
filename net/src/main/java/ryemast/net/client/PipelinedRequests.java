package ryemast.net.client;

import java.util.ArrayDeque;
import java.util.Deque;
import ryemast.net.http.HttpCodec;
import ryemast.net.http.HttpMessage;
import ryemast.net.http.MessageMemory;

/**
 * What has come on one connection behind the request that is being served, in order.
 *
 * <p>A connection is read on while its request is served, as nothing else tells that its client has closed
 * it. So what clients send ahead is bounded here: beyond some bytes of one client, or of all together,
 * requests are no longer kept but counted, and each is refused when its turn comes, which costs no memory.
 * Beyond {@link #MOST_COUNTED} the client is at fault. Owned by the loop.
 */
final class PipelinedRequests {

    /** More than a thousand small requests. */
    private static final int MOST_BYTES = 1024 * 1024;
    /** So many answers of a hundred bytes are more than a client's buffers hold: it does not read them. */
    private static final int MOST_COUNTED = 16_384;

    /** In place of a request that was not kept. */
    static final Object NOT_KEPT = HttpCodec.NOT_KEPT;

    /** What came, and when. */
    record Arrival(Object message, long at) {
    }

    /** What all connections together may still keep, in bytes. */
    static final class Budget {
        /** A tenth of the memory that the program may have. */
        static final int ALL = 8 * 1024 * 1024;

        private final MessageMemory memory;
        private long left = ALL;

        /** {@code memory}: where requests that are not kept are released. */
        Budget(MessageMemory memory) {
            this.memory = memory;
        }

        private boolean take(int bytes) {
            if (bytes > left) {
                return false;
            }
            left -= bytes;
            return true;
        }

        private void give(int bytes) {
            left += bytes;
        }

        boolean isWhole() {
            return left == ALL;
        }
    }

    private final Budget budget;
    private final Deque<Arrival> kept = new ArrayDeque<>();
    private int bytes;
    private int counted;
    private long lastAt;
    /** What could not be read, behind all else; null for nothing. */
    private Arrival fault;

    PipelinedRequests(Budget budget) {
        this.budget = budget;
    }

    boolean isEmpty() {
        return kept.isEmpty() && counted == 0 && fault == null;
    }

    /** False if there are too many. */
    boolean add(Object message, long at) {
        lastAt = at;
        if (message == NOT_KEPT) {
            counted++;
        } else if (!(message instanceof HttpMessage request)) {
            fault = new Arrival(message, at);
        } else if (counted == 0 && keeps(MessageMemory.size(request))) {
            kept.add(new Arrival(request, at));
        } else {
            budget.memory.release(request);
            counted++;
        }
        return counted <= MOST_COUNTED;
    }

    private boolean keeps(int size) {
        boolean keeps = bytes + size <= MOST_BYTES && budget.take(size);
        bytes += keeps ? size : 0;
        return keeps;
    }

    /** The first of them, which is taken off; null if there is none. */
    Arrival next() {
        if (!kept.isEmpty()) {
            var next = kept.poll();
            int size = MessageMemory.size((HttpMessage) next.message);
            bytes -= size;
            budget.give(size);
            return next;
        }
        if (counted > 0) {
            counted--;
            return new Arrival(NOT_KEPT, lastAt);
        }
        var last = fault;
        fault = null;
        return last;
    }

    void clear() {
        kept.forEach(each -> budget.memory.release(each.message));
        kept.clear();
        budget.give(bytes);
        bytes = 0;
        counted = 0;
        fault = null;
    }
}
