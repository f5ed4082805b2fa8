package pipitladder;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pipitladder.Stage.MS;
import static pipitladder.Stage.S;

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

/** No worker that may drain unheard gets a job, whatever else speaks for it. */
class UnheardListTest {

    private final Stage stage = new Stage(Stage.settings(Effect.REPEATABLE, KeyScope.ALL));
    private long requests;

    @BeforeEach
    void list() {
        stage.list(Stage.worker("a"), Stage.worker("b"));
    }

    /** Where a new job goes in its round; null for nowhere. */
    private String placed() {
        return stage.place(++requests);
    }

    /** Serves the latest job over a connection that was opened at that time. */
    private void serve(String worker, long openedAt) {
        stage.tell(new WorkerLived(worker, openedAt, stage.now));
        stage.serve(requests);
    }

    @Test
    void aSendBeforeTheListIsTooOldMayNotBeginAfterwards() {
        stage.tell(new DiscoveryLost(stage.now - S));
        long outdatedAt = stage.now + 5 * S;
        placed();
        assertEquals(outdatedAt, stage.sends(requests).get(0).beginBy());
    }

    @Test
    void whereNoWorkerHasTakenAJobNoneIsSentAndTheClientIsInvitedToTryElsewhere() {
        stage.tell(new DiscoveryLost(stage.now - 6 * S));
        assertNull(placed());
        assertEquals(1, stage.all(Refuse.class).size());
    }

    @Test
    void onlyTheWorkerThatTookAJobLatelyOnAConnectionOpenSinceBeforeTheLossGetsTheNext() {
        stage.tell(new DiscoveryLost(stage.now - 5 * S));
        long openedAt = stage.now - 9 * S;
        var first = placed();
        serve(first, openedAt);
        stage.pass(S);
        for (int i = 0; i < 20; i++) {
            assertEquals(first, placed());
            serve(first, openedAt);
        }
        stage.pass(7 * S);
        assertNull(placed());
    }

    /** It may have been gone before, which counts as notified 6 s later, and its return not yet. */
    @Test
    void whatWasFirstSeenToLiveAfterTheLossProvesNothingOfTheTimeBefore() {
        stage.tell(new DiscoveryLost(stage.now));
        stage.pass(4 * S);
        placed();
        stage.serve(requests);
        stage.pass(2 * S);
        assertNull(placed());
    }

    /** From then on its process is one that discovery had six seconds before. */
    @Test
    void aWorkerWhoseConnectionIsNineSecondsOldIsUsedAgain() {
        stage.list(Stage.worker("a"));
        stage.tell(new DiscoveryLost(stage.now));
        stage.pass(S);
        long openedAt = stage.now;
        stage.pass(4 * S);
        placed();
        serve("a", openedAt);
        stage.pass(S);
        assertNull(placed());
        stage.pass(openedAt + 9 * S - stage.now);
        assertEquals("a", placed());
    }

    /** Its process may be new, and a cold worker falls over under what a warm one bears. */
    @Test
    void aWorkerThatMayHaveBeenReplacedUnheardGetsNoMoreThanAColdOne() {
        int listed = placedAtOnce(9 * S);
        int perhapsReplaced = placedAtOnce(-S);
        assertTrue(perhapsReplaced < listed, perhapsReplaced + " of " + listed);
        assertTrue(perhapsReplaced > 0);
    }

    /** How many jobs a worker gets at once 10 s after the loss, its connection being that much older. */
    private static int placedAtOnce(long openedBefore) {
        var settings = Stage.settings(Effect.REPEATABLE, KeyScope.ALL);
        var slow = new Rules(10 * S, 60 * S, 0.1, 4, 2 * S);
        var colder = new Stage(new Settings(0, 1, 0, MS, true, false, true, S, settings.classes(), List.of(),
                List.of(), settings.limits(), slow, settings.prices()));
        colder.list(Stage.worker("a"));
        colder.tell(new DiscoveryLost(colder.now));
        long openedAt = colder.now - openedBefore;
        long lostAt = colder.now;
        colder.pass(S);
        for (int i = 0; i < 5; i++) {
            colder.place(i);
            colder.tell(new WorkerLived("a", openedAt, colder.now));
            colder.serve(i);
            colder.pass(600 * MS);
        }
        colder.pass(lostAt + 10 * S - colder.now);
        int before = colder.all(Send.class).size();
        for (int i = 0; i < 60; i++) {
            colder.request(100 + i);
        }
        colder.pass(100 * MS);
        return colder.all(Send.class).size() - before;
    }

    /** Whoever is not seen until the list is out of date can't be used for long after. */
    @Test
    void whileDiscoveryIsNotHeardWorkersThatOutlastTheListAreUsedByTurns() {
        stage.list(Stage.worker("c"), Stage.worker("a"), Stage.worker("b"));
        long openedAt = stage.now - S;
        for (var id : List.of("a", "b")) {
            stage.tell(new WorkerLived(id, openedAt, stage.now));
        }
        stage.tell(new DiscoveryLost(stage.now));
        var used = new ArrayList<String>();
        for (int i = 0; i < 6; i++) {
            used.add(placed());
            serve(used.get(i), openedAt);
        }
        assertEquals(Set.of("a", "b"), Set.copyOf(used));
        assertEquals(3, Collections.frequency(used, "a"));
    }

    /** A job there would open a new one, which says nothing of the time before. */
    @Test
    void workersWhoseConnectionsAreClosedByNowAreNotPreferred() {
        assertEquals(List.of("a", "a", "a", "b", "b", "b"), usedAfterARest(5 * S));
        assertTrue(usedAfterARest(S).contains("c"));
    }

    /** Where jobs go that come 0.8 s after two of three workers were last seen. */
    private static List<String> usedAfterARest(long connIdle) {
        var settings = Stage.settings(Effect.REPEATABLE, KeyScope.ALL);
        var limits = new Limits(4, true, true, false, false, false, 0, 250 * MS, connIdle);
        var rested = new Stage(new Settings(0, 1, 0, MS, true, false, true, S, settings.classes(), List.of(),
                List.of(), limits, settings.rules(), settings.prices()));
        rested.list(Stage.worker("c"), Stage.worker("a"), Stage.worker("b"));
        for (var id : List.of("a", "b")) {
            rested.tell(new WorkerLived(id, rested.now - S, rested.now));
        }
        rested.tell(new DiscoveryLost(rested.now));
        rested.pass(800 * MS);
        for (int i = 0; i < 6; i++) {
            rested.request(i);
        }
        rested.pass(100 * MS);
        return rested.all(Send.class).stream().map(Send::worker).sorted().toList();
    }

    @Test
    void anOperatorsDrainIsNoWordOfDiscovery() {
        stage.tell(new DiscoveryLost(stage.now - 6 * S));
        stage.tell(new WorkerList(ListKind.AMENDED, List.of(Stage.worker("a"))));
        assertNull(placed());
        stage.change();
        assertNotNull(placed());
    }

    /** An outage must not stop a site that was quiet before: nobody is told of anything then. */
    @Test
    void inAnOutageJobsGoByTheListAsItWas() {
        stage.tell(new DiscoveryLost(stage.now));
        for (int i = 0; i < 30; i++) {
            stage.pass(2 * S);
            stage.tell(new WorkerList(ListKind.UNREACHABLE, List.of()));
        }
        assertNotNull(placed());
        stage.tell(new WorkerList(ListKind.FAILED, List.of()));
        stage.pass(6 * S);
        assertNull(placed());
    }

    /** In the simulator nothing tells when discovery was last heard. */
    @Test
    void aFailedCallAloneCountsFromThen() {
        stage.tell(new WorkerList(ListKind.FAILED, List.of()));
        stage.pass(6 * S - 200 * MS);
        assertNotNull(placed());
        stage.pass(200 * MS);
        assertNull(placed());
    }
}
