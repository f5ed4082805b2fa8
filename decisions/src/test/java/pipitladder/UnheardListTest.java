package pipitladder;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static pipitladder.Stage.MS;
import static pipitladder.Stage.S;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import pipitladder.Dispatcher.DiscoveryLost;
import pipitladder.Dispatcher.Effect;
import pipitladder.Dispatcher.KeyScope;
import pipitladder.Dispatcher.ListKind;
import pipitladder.Dispatcher.Refuse;
import pipitladder.Dispatcher.WorkerList;

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
    void onlyTheWorkerThatTookAJobLatelyGetsTheNext() {
        stage.tell(new DiscoveryLost(stage.now - 5 * S));
        var first = placed();
        stage.serve(requests);
        stage.pass(S);
        for (int i = 0; i < 20; i++) {
            assertEquals(first, placed());
            stage.serve(requests);
        }
        stage.pass(7 * S);
        assertNull(placed());
    }

    /** It may have been gone before, which counts as notified 6 s later, and its return not yet. */
    @Test
    @Tag("known-red")
    void whatWasFirstSeenToLiveAfterTheLossProvesNothingOfTheTimeBefore() {
        stage.tell(new DiscoveryLost(stage.now));
        stage.pass(4 * S);
        placed();
        stage.serve(requests);
        stage.pass(2 * S);
        assertNull(placed());
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
