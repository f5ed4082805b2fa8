package org.apache.mina.transport.socket.nio;

import java.nio.channels.SelectionKey;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * In which order ready connections are read, so that whatever a crowd sends, no round is long and nobody
 * waits for the crowd's largest messages. Those that the program opened are all read in each round, as jobs
 * in hand wait for them. Those that were accepted take turns for a short while: first the one that has been
 * ready for longest of all, so that no rank waits for ever; then by rank, and within a rank in the order in
 * which they became ready. For the one thread that reads.
 */
final class ReadTurns {

    /** In the order in which they are read. */
    enum Rank {
        OPENED,
        /** Has sent whole messages. */
        KNOWN,
        /** Has sent nothing yet. */
        NEW,
        /** Is in the middle of a message. */
        INSIDE
    }

    /** After so long the rest of the accepted ones wait for the next round, in nanoseconds. */
    static final long LONGEST_ROUND = TimeUnit.MILLISECONDS.toNanos(3);

    private final LongSupplier nanoClock;
    private final Function<NioSession, Rank> rank;
    /** Accepted connections that are ready, the longest ready first. */
    private final Set<SelectionKey> waiting = new LinkedHashSet<>();
    /** What is still to come in this round. */
    private final Map<Rank, Deque<SelectionKey>> round = new EnumMap<>(Rank.class);

    ReadTurns(LongSupplier nanoClock, Function<NioSession, Rank> rank) {
        this.nanoClock = nanoClock;
        this.rank = rank;
        for (var each : Rank.values()) {
            round.put(each, new ArrayDeque<>());
        }
    }

    /** Whether connections are ready whose turn did not come in the last round. */
    boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    /** The connections that are ready and whose turn did not come in the last round. */
    List<NioSession> waiting() {
        return waiting.isEmpty() ? List.of() : waiting.stream().map(ReadTurns::session).toList();
    }

    /**
     * The connections of one round; each that is taken is to be removed, as MINA does.
     *
     * @param selected  those that the selection has found
     * @param toRead    those that are to be read whether or not it has found them
     */
    Iterator<NioSession> round(Set<SelectionKey> selected, Set<SelectionKey> toRead) {
        round.values().forEach(Deque::clear);
        if (!waiting.isEmpty()) {
            waiting.removeIf(key -> !selected.contains(key) && !toRead.contains(key));
        }
        selected.forEach(this::place);
        toRead.stream().filter(key -> !selected.contains(key)).forEach(this::place);
        var others = waiting.iterator();
        var longestReady = others.hasNext() ? others.next() : null;
        others.forEachRemaining(key -> round.get(rank.apply(session(key))).add(key));
        return new Round(selected, toRead, longestReady);
    }

    private void place(SelectionKey key) {
        if (!waiting.contains(key) && rank.apply(session(key)) == Rank.OPENED) {
            round.get(Rank.OPENED).add(key);
        } else {
            waiting.add(key);
        }
    }

    private static NioSession session(SelectionKey key) {
        return (NioSession) key.attachment();
    }

    private final class Round implements Iterator<NioSession> {
        private final Set<SelectionKey> selected;
        private final Set<SelectionKey> toRead;
        /** When the accepted ones' time is over; set as the first one has its turn. */
        private long until;
        /** The accepted one that has been ready for longest, until it has had its turn. */
        private SelectionKey longestReady;
        private SelectionKey current;

        Round(Set<SelectionKey> selected, Set<SelectionKey> toRead, SelectionKey longestReady) {
            this.selected = selected;
            this.toRead = toRead;
            this.longestReady = longestReady;
        }

        @Override
        public boolean hasNext() {
            return longestReady != null || !round.get(Rank.OPENED).isEmpty()
                    || isAnyLeft() && nanoClock.getAsLong() - until < 0;
        }

        private boolean isAnyLeft() {
            for (var each : round.values()) {
                if (!each.isEmpty()) {
                    return true;
                }
            }
            return false;
        }

        @Override
        public NioSession next() {
            current = round.get(Rank.OPENED).poll();
            if (current == null && longestReady != null) {
                until = nanoClock.getAsLong() + LONGEST_ROUND;
                current = longestReady;
                longestReady = null;
            }
            for (var each = round.values().iterator(); current == null && each.hasNext();) {
                current = each.next().poll();
            }
            return session(current);
        }

        @Override
        public void remove() {
            selected.remove(current);
            toRead.remove(current);
            waiting.remove(current);
        }
    }
}
