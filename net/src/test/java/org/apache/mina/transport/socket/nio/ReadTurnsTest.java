package org.apache.mina.transport.socket.nio;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.mina.transport.socket.nio.ReadTurns.Rank;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import ryemast.net.Transport;

class ReadTurnsTest {

    private final Map<NioSession, Rank> ranks = new HashMap<>();
    private final Map<NioSession, String> names = new HashMap<>();
    private final Set<SelectionKey> selected = new LinkedHashSet<>();
    private final Set<SelectionKey> toRead = new LinkedHashSet<>();
    private final SocketAcceptor acceptor = new SocketAcceptor(new Transport().processor());
    private Selector selector;
    private long now;
    private final ReadTurns turns = new ReadTurns(() -> now, ranks::get);

    @BeforeEach
    void open() throws IOException {
        selector = Selector.open();
    }

    @AfterEach
    void close() throws IOException {
        for (var key : selector.keys()) {
            key.channel().close();
        }
        selector.close();
        acceptor.dispose();
    }

    private void ready(String name, Rank rank) throws IOException {
        var channel = SocketChannel.open();
        channel.configureBlocking(false);
        var session = SocketAccess.session(acceptor, null, channel);
        ranks.put(session, rank);
        names.put(session, name);
        selected.add(channel.register(selector, 0, session));
    }

    /** No selection has found those that are ready, and they are to be read all the same. */
    private void notFound() {
        toRead.addAll(selected);
        selected.clear();
    }

    /** The names of a round, where each connection takes so long to read, in nanoseconds. */
    private List<String> round(long each) {
        var taken = new ArrayList<String>();
        for (var next = turns.round(selected, toRead); next.hasNext();) {
            taken.add(names.get(next.next()));
            next.remove();
            now += each;
        }
        return taken;
    }

    private List<String> namesOf(Collection<NioSession> sessions) {
        return sessions.stream().map(names::get).toList();
    }

    @Test
    void thoseThatTheProgramOpenedComeFirstAndOthersByRank() throws IOException {
        ready("first", Rank.KNOWN);
        ready("inside", Rank.INSIDE);
        ready("new", Rank.NEW);
        ready("known", Rank.KNOWN);
        ready("opened", Rank.OPENED);
        assertEquals(List.of("opened", "first", "known", "new", "inside"), round(0));
        assertTrue(selected.isEmpty());
        assertFalse(turns.hasWaiting());
    }

    /** Guards workers' answers against a crowd: they wait for no more than a short round. */
    @Test
    void acceptedOnesWaitForTheNextRoundWhereOneHasBeenLong() throws IOException {
        for (int i = 0; i < 5; i++) {
            ready("known-" + i, Rank.KNOWN);
        }
        ready("opened", Rank.OPENED);
        assertEquals(List.of("opened", "known-0", "known-1"), round(ReadTurns.LONGEST_ROUND / 2));
        assertEquals(List.of("known-2", "known-3", "known-4"), namesOf(turns.waiting()));
        ready("later", Rank.OPENED);
        assertEquals(List.of("later", "known-2", "known-3"), round(ReadTurns.LONGEST_ROUND / 2));
    }

    /** Guards large requests against many that send small ones all the time. */
    @Test
    void theOneThatHasBeenReadyForLongestHasItsTurnWhateverItsRank() throws IOException {
        ready("known", Rank.KNOWN);
        ready("inside", Rank.INSIDE);
        assertEquals(List.of("known"), round(ReadTurns.LONGEST_ROUND));
        ready("known again", Rank.KNOWN);
        assertEquals(List.of("inside"), round(ReadTurns.LONGEST_ROUND));
        assertEquals(List.of("known again"), round(ReadTurns.LONGEST_ROUND));
    }

    /** Guards the others against many that are read though no selection has found them. */
    @Test
    void thoseThatNoSelectionHasFoundTakeTurnsLikeOthers() throws IOException {
        for (int i = 0; i < 3; i++) {
            ready("known-" + i, Rank.KNOWN);
        }
        ready("opened", Rank.OPENED);
        notFound();
        assertEquals(List.of("opened", "known-0", "known-1"), round(ReadTurns.LONGEST_ROUND / 2));
        assertEquals(List.of("known-2"), namesOf(turns.waiting()));
        assertEquals(List.of("known-2"), round(0));
        assertTrue(toRead.isEmpty());
    }

    @Test
    void whatIsNotReadyAnyMoreIsForgotten() throws IOException {
        ready("one", Rank.KNOWN);
        ready("two", Rank.KNOWN);
        round(ReadTurns.LONGEST_ROUND);
        selected.clear();
        assertEquals(List.of(), round(0));
        assertFalse(turns.hasWaiting());
    }
}
