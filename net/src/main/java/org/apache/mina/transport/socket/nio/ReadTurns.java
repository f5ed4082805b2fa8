package org.apache.mina.transport.socket.nio;

import java.nio.channels.SelectionKey;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * In which order ready connections are read: those that the program opened come first, as jobs in hand wait
 * for them; those that were accepted take turns, the longest ready first, for a short while in each round. So
 * whatever a crowd sends, no round is long. For the one thread that reads.
 */
final class ReadTurns {

    /** After so long the rest of the accepted ones wait for the next round, in nanoseconds. */
    private static final long LONGEST_ROUND = TimeUnit.MILLISECONDS.toNanos(3);

    private final LongSupplier nanoClock;
    /** Accepted connections that are ready, in the order of their turns. */
    private final Set<SelectionKey> waiting = new LinkedHashSet<>();

    ReadTurns(LongSupplier nanoClock) {
        this.nanoClock = nanoClock;
    }

    /** Whether connections are ready whose turn did not come in the last round. */
    boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    /** The connections of one round; each that is taken is to be removed, as MINA does. */
    Iterator<NioSession> round(Set<SelectionKey> selected) {
        var first = new ArrayDeque<SelectionKey>();
        waiting.retainAll(selected);
        for (var key : selected) {
            if (isAccepted(key)) {
                waiting.add(key);
            } else {
                first.add(key);
            }
        }
        return new Round(first, new ArrayDeque<>(waiting), selected);
    }

    private static boolean isAccepted(SelectionKey key) {
        return ((NioSession) key.attachment()).getService() instanceof SocketAcceptor;
    }

    private final class Round implements Iterator<NioSession> {
        private final Queue<SelectionKey> first;
        private final Queue<SelectionKey> others;
        private final Set<SelectionKey> selected;
        private final long until = nanoClock.getAsLong() + LONGEST_ROUND;
        private SelectionKey current;
        private boolean othersBegan;

        Round(Queue<SelectionKey> first, Queue<SelectionKey> others, Set<SelectionKey> selected) {
            this.first = first;
            this.others = others;
            this.selected = selected;
        }

        /** One of the others has its turn in each round, however long it takes. */
        @Override
        public boolean hasNext() {
            return !first.isEmpty()
                    || !others.isEmpty() && (!othersBegan || nanoClock.getAsLong() < until);
        }

        @Override
        public NioSession next() {
            if (first.isEmpty()) {
                othersBegan = true;
                current = others.remove();
            } else {
                current = first.remove();
            }
            return (NioSession) current.attachment();
        }

        @Override
        public void remove() {
            selected.remove(current);
            waiting.remove(current);
        }
    }
}
