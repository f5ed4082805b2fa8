package org.apache.mina.transport.socket.nio;

import java.nio.channels.SelectionKey;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.mina.core.session.IoSession;
import ryemast.net.http.HttpCodec;

/**
 * In which order ready connections are read, so that whatever a crowd sends, no round is long and nobody
 * waits for the crowd's largest messages. Those that the program opened come first, as jobs in hand wait
 * for them. Those that were accepted take turns for a short while in each round: who has sent whole
 * messages before those who have sent nothing yet, and these before those in the middle of a message;
 * within each rank the one that has been ready for longest. For the one thread that reads.
 */
final class ReadTurns {

    /** After so long the rest of the accepted ones wait for the next round, in nanoseconds. */
    private static final long LONGEST_ROUND = TimeUnit.MILLISECONDS.toNanos(3);

    /** In the order in which they are read. */
    private enum Rank { OPENED, KNOWN, NEW, INSIDE }

    private final LongSupplier nanoClock;
    /** Accepted connections that are ready, the longest ready first. */
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
        var ranks = new ArrayList<List<SelectionKey>>();
        for (int i = 0; i < Rank.values().length; i++) {
            ranks.add(new ArrayList<>());
        }
        waiting.retainAll(selected);
        for (var key : selected) {
            if (rank(session(key)) == Rank.OPENED) {
                ranks.get(0).add(key);
            } else {
                waiting.add(key);
            }
        }
        waiting.forEach(key -> ranks.get(rank(session(key)).ordinal()).add(key));
        var first = new ArrayDeque<>(ranks.get(0));
        return new Round(first, new ArrayDeque<>(inTurn(ranks.subList(1, ranks.size()))), selected);
    }

    /** By rank, but for the one that has been ready for longest: no rank waits for ever behind the others. */
    private Set<SelectionKey> inTurn(List<List<SelectionKey>> ranks) {
        var turns = new LinkedHashSet<SelectionKey>();
        waiting.stream().limit(1).forEach(turns::add);
        ranks.forEach(turns::addAll);
        return turns;
    }

    private static NioSession session(SelectionKey key) {
        return (NioSession) key.attachment();
    }

    private static Rank rank(IoSession session) {
        if (!(session.getService() instanceof SocketAcceptor)) {
            return Rank.OPENED;
        }
        if (HttpCodec.insideFor(session) > 0) {
            return Rank.INSIDE;
        }
        return HttpCodec.whole(session) > 0 ? Rank.KNOWN : Rank.NEW;
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
            return session(current);
        }

        @Override
        public void remove() {
            selected.remove(current);
            waiting.remove(current);
        }
    }
}
