package pipitladder;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pipitladder.Rig.MS;
import static pipitladder.Rig.S;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pipitladder.Dispatcher.DiscoveryLost;
import pipitladder.Dispatcher.Effect;
import pipitladder.Dispatcher.KeyScope;
import pipitladder.Dispatcher.Limits;
import pipitladder.Dispatcher.ListKind;
import pipitladder.Dispatcher.Refuse;
import pipitladder.Dispatcher.Rules;
import pipitladder.Dispatcher.Send;
import pipitladder.Dispatcher.Settings;
import pipitladder.Dispatcher.WorkerList;
import pipitladder.Dispatcher.WorkerLived;

/** A worker that may be draining, unknown to this dispatcher, gets no job, whatever else favours it. */
class OutdatedListTest {

    private final Rig rig = new Rig(Rig.settings(Effect.REPEATABLE, KeyScope.ALL));
    private long requests;

    @BeforeEach
    void list() {
        rig.list(Rig.worker("a"), Rig.worker("b"));
    }

    /** The worker of a new job in its round; null if there is none. */
    private String placeNext() {
        return rig.place(++requests);
    }

    /** Serves the latest job over a connection opened at that time. */
    private void serve(String worker, long openedAt) {
        rig.handle(new WorkerLived(worker, openedAt, rig.now));
        rig.serve(requests);
    }

    @Test
    void anAttemptMayNotStartOnceTheListIsOutOfDate() {
        rig.handle(new DiscoveryLost(rig.now - S));
        long outdatedAt = rig.now + 5 * S;
        placeNext();
        assertEquals(outdatedAt, rig.sends(requests).get(0).beginBy());
    }

    @Test
    void withoutAProvenWorkerTheRequestIsRefused() {
        rig.handle(new DiscoveryLost(rig.now - 6 * S));
        assertNull(placeNext());
        assertEquals(1, rig.actionsOfType(Refuse.class).size());
    }

    @Test
    void onlyARecentlyUsedWorkerWithAnOldConnectionIsUsed() {
        rig.handle(new DiscoveryLost(rig.now - 5 * S));
        long openedAt = rig.now - 9 * S;
        var first = placeNext();
        serve(first, openedAt);
        rig.advance(S);
        for (int i = 0; i < 20; i++) {
            assertEquals(first, placeNext());
            serve(first, openedAt);
        }
        rig.advance(7 * S);
        assertNull(placeNext());
    }

    /**
     * The worker may have been gone before, which counts as notified 6 s later, without its return being
     * known yet.
     */
    @Test
    void aConnectionOpenedAfterTheLossProvesNothingAboutBefore() {
        rig.handle(new DiscoveryLost(rig.now));
        rig.advance(4 * S);
        placeNext();
        rig.serve(requests);
        rig.advance(2 * S);
        assertNull(placeNext());
    }

    /** From then on its process is known to be the one that discovery listed six seconds before. */
    @Test
    void aWorkerWhoseConnectionIsNineSecondsOldIsUsedAgain() {
        rig.list(Rig.worker("a"));
        rig.handle(new DiscoveryLost(rig.now));
        rig.advance(S);
        long openedAt = rig.now;
        rig.advance(4 * S);
        placeNext();
        serve("a", openedAt);
        rig.advance(S);
        assertNull(placeNext());
        rig.advance(openedAt + 9 * S - rig.now);
        assertEquals("a", placeNext());
    }

    /** Its process may be new, and a worker in slow start collapses under the load of a warm one. */
    @Test
    void aWorkerThatMayHaveRestartedIsTreatedAsInSlowStart() {
        int listed = placedAtOnce(9 * S);
        int perhapsReplaced = placedAtOnce(-S);
        assertTrue(perhapsReplaced < listed, perhapsReplaced + " of " + listed);
        assertTrue(perhapsReplaced > 0);
    }

    /**
     * The number of jobs a worker gets at once 10 s after the loss, with a connection opened that long before
     * it.
     */
    private static int placedAtOnce(long openedBefore) {
        var settings = Rig.settings(Effect.REPEATABLE, KeyScope.ALL);
        var slow = new Rules(10 * S, 60 * S, 0.1, 4, 2 * S);
        var colder = new Rig(new Settings(0, 1, 0, MS, true, false, true, S, settings.classes(), List.of(),
                List.of(), settings.limits(), slow, settings.prices()));
        colder.list(Rig.worker("a"));
        colder.handle(new DiscoveryLost(colder.now));
        long openedAt = colder.now - openedBefore;
        long lostAt = colder.now;
        colder.advance(S);
        for (int i = 0; i < 5; i++) {
            colder.place(i);
            colder.handle(new WorkerLived("a", openedAt, colder.now));
            colder.serve(i);
            colder.advance(600 * MS);
        }
        colder.advance(lostAt + 10 * S - colder.now);
        int before = colder.actionsOfType(Send.class).size();
        for (int i = 0; i < 60; i++) {
            colder.request(100 + i);
        }
        colder.advance(100 * MS);
        return colder.actionsOfType(Send.class).size() - before;
    }

    /** A worker that is not contacted until the list is out of date stays unusable for a long time. */
    @Test
    void withoutDiscoveryUpdatesUsableWorkersAreUsedInTurn() {
        rig.list(Rig.worker("c"), Rig.worker("a"), Rig.worker("b"));
        long openedAt = rig.now - S;
        for (var id : List.of("a", "b")) {
            rig.handle(new WorkerLived(id, openedAt, rig.now));
        }
        rig.handle(new DiscoveryLost(rig.now));
        var used = new ArrayList<String>();
        for (int i = 0; i < 6; i++) {
            used.add(placeNext());
            serve(used.get(i), openedAt);
        }
        assertEquals(Set.of("a", "b"), Set.copyOf(used));
        assertEquals(3, Collections.frequency(used, "a"));
    }

    /** A job there would open a new connection, which proves nothing about the time before. */
    @Test
    void workersWithClosedConnectionsAreNotPreferred() {
        assertEquals(List.of("a", "a", "a", "b", "b", "b"), usedAfterARest(5 * S));
        assertTrue(usedAfterARest(S).contains("c"));
    }

    /** The workers of jobs that arrive 0.8 s after two of three workers were last seen. */
    private static List<String> usedAfterARest(long connIdle) {
        var settings = Rig.settings(Effect.REPEATABLE, KeyScope.ALL);
        var limits = new Limits(4, true, true, false, false, false, 0, 250 * MS, connIdle);
        var rested = new Rig(new Settings(0, 1, 0, MS, true, false, true, S, settings.classes(), List.of(),
                List.of(), limits, settings.rules(), settings.prices()));
        rested.list(Rig.worker("c"), Rig.worker("a"), Rig.worker("b"));
        for (var id : List.of("a", "b")) {
            rested.handle(new WorkerLived(id, rested.now - S, rested.now));
        }
        rested.handle(new DiscoveryLost(rested.now));
        rested.advance(800 * MS);
        for (int i = 0; i < 6; i++) {
            rested.request(i);
        }
        rested.advance(100 * MS);
        return rested.actionsOfType(Send.class).stream().map(Send::worker).sorted().toList();
    }

    @Test
    void anOperatorsDrainIsNoDiscoveryUpdate() {
        rig.handle(new DiscoveryLost(rig.now - 6 * S));
        rig.handle(new WorkerList(ListKind.AMENDED, List.of(Rig.worker("a"))));
        assertNull(placeNext());
        rig.change();
        assertNotNull(placeNext());
    }

    /** An outage of discovery must not stop a site without changes: no dispatcher is notified of any then. */
    @Test
    void inAnOutageTheLastKnownListIsUsed() {
        rig.handle(new DiscoveryLost(rig.now));
        for (int i = 0; i < 30; i++) {
            rig.advance(2 * S);
            rig.handle(new WorkerList(ListKind.UNREACHABLE, List.of()));
        }
        assertNotNull(placeNext());
        rig.handle(new WorkerList(ListKind.FAILED, List.of()));
        rig.advance(6 * S);
        assertNull(placeNext());
    }

    /** The simulator does not report when discovery was last available. */
    @Test
    void aFailedCallWithoutLossTimeCountsFromTheCall() {
        rig.handle(new WorkerList(ListKind.FAILED, List.of()));
        rig.advance(6 * S - 200 * MS);
        assertNotNull(placeNext());
        rig.advance(200 * MS);
        assertNull(placeNext());
    }
}
