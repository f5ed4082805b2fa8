package pipitladder;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import org.junit.jupiter.api.Test;
import pipitladder.Dispatcher.Effect;
import pipitladder.Dispatcher.KeyScope;
import pipitladder.Dispatcher.Limits;
import pipitladder.Dispatcher.Prices;
import pipitladder.Dispatcher.Refuse;
import pipitladder.Dispatcher.Rules;
import pipitladder.Dispatcher.Send;
import pipitladder.Dispatcher.Settings;

/** A refusal is immediate and gives a retry time, as a client without one retries too early. */
class RefusalTest {

    private static Rig rig(boolean retryAfter) {
        return new Rig(new Settings(0, 1, 0, Rig.MS, true, false, true, Rig.S,
                List.of(Rig.jobClass(Effect.REPEATABLE, KeyScope.ALL)), List.of(), List.of(),
                new Limits(4, true, true, false, false, retryAfter, 2 * Rig.S, 250 * Rig.MS),
                new Rules(10 * Rig.S, 9 * Rig.S, 0.3, 4, 2 * Rig.S), new Prices(0, 0, 0, 0)));
    }

    @Test
    void withoutWorkersTheMaximumRetryTimeIsGiven() {
        var rig = rig(true);
        rig.request(1);
        rig.advance(3 * Rig.S);
        assertEquals(List.of(new Refuse(1, 2 * Rig.S)), rig.actionsOfType(Refuse.class));
    }

    @Test
    void noRetryTimeIsGivenWhereItIsDisabled() {
        var rig = rig(false);
        rig.request(1);
        rig.advance(3 * Rig.S);
        assertEquals(List.of(new Refuse(1, 0)), rig.actionsOfType(Refuse.class));
    }

    @Test
    void withWorkersTheRetryTimeIsTheNextRound() {
        var rig = rig(true);
        rig.list(Rig.worker("w"));
        for (int id = 1; id <= 60; id++) {
            rig.request(id, 400 * Rig.MS);
        }
        rig.advance(50 * Rig.MS);
        var refused = rig.actionsOfType(Refuse.class);
        assertFalse(refused.isEmpty());
        refused.forEach(each -> assertEquals(10 * Rig.MS, each.retryAfter()));
    }

    /**
     * Guards startup: jobs that queue up before the first list arrives are not refused based on a guessed run
     * time, which is one second each if clients give no hint.
     */
    @Test
    void noJobIsRefusedForItsRunTimeBeforeOneIsKnown() {
        var rig = rig(true);
        for (int id = 1; id <= 40; id++) {
            rig.request(id, 0);
        }
        rig.advance(50 * Rig.MS);
        rig.list(Rig.worker("a"), Rig.worker("b"));
        rig.advance(50 * Rig.MS);
        assertEquals(List.of(), rig.actionsOfType(Refuse.class));
        assertEquals(40, rig.actionsOfType(Send.class).size());
    }

    @Test
    void onceARunTimeIsKnownJobsAreRefusedForATooLongQueue() {
        var rig = rig(true);
        rig.list(Rig.worker("a"));
        rig.request(1, 0);
        rig.advance(50 * Rig.MS);
        rig.serve(1);
        for (int id = 2; id <= 61; id++) {
            rig.request(id, 0);
        }
        rig.advance(50 * Rig.MS);
        assertFalse(rig.actionsOfType(Refuse.class).isEmpty());
    }

    /** Only the run time is unknown: a worker that never responds is not waited for indefinitely. */
    @Test
    void jobsAreRefusedWhereWorkersNeverRespond() {
        var rig = rig(true);
        rig.list(Rig.worker("a"));
        for (int id = 1; id <= 8; id++) {
            rig.request(id, 0);
        }
        rig.advance(2 * Rig.S);
        rig.request(9, 0);
        rig.advance(50 * Rig.MS);
        assertFalse(rig.actionsOfType(Refuse.class).isEmpty());
    }
}
