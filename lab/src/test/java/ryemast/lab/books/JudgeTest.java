package ryemast.lab.books;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ryemast.lab.books.Tale.FREE;
import static ryemast.lab.books.Tale.MS;
import static ryemast.lab.books.Tale.ONCE;
import static ryemast.lab.books.Tale.result;

import java.util.Map;
import org.junit.jupiter.api.Test;
import ryemast.lab.books.Books.BoxState;
import ryemast.lab.books.Books.DispatcherState;
import ryemast.lab.books.Books.End;
import ryemast.lab.books.Books.Reply;

/**
 * Each rule against hand-worked histories: a wrong just over the limit names it alone, one just inside none.
 */
class JudgeTest {

    private final Tale tale = new Tale();

    private void kept() {
        assertEquals(Map.of(), tale.verdict().byRule());
        assertEquals(0, tale.verdict().broken());
    }

    private Breach broken(Rule rule) {
        assertEquals(Map.of(rule, 1), tale.verdict().byRule(), () -> "broken: " + tale.verdict().first());
        return tale.verdict().first().get(0);
    }

    @Test
    void aCorrectHistoryBreaksNothing() {
        tale.dispatcher(0, DispatcherState.STARTED).dispatcher(10, DispatcherState.READY);
        tale.served("a", ONCE, 100).served("b", FREE, 150);
        tale.ask("turned", ONCE, 300);
        tale.arrives("turned", 1, 305).replies("turned", 1, 306, Reply.TURNED_AWAY).runs("turned", 2, 308)
                .told("turned", 410, 200, result("turned", 2));
        tale.ask("back", ONCE, 500);
        tale.arrives("back", 1, 505).replies("back", 1, 506, Reply.TAKEN).ends("back", 1, 520, End.RETURNED,
                0).told("back", 530, 503, "");
        tale.ask("copied", FREE, 600);
        tale.runs("copied", 0, 605).runs("copied", 1, 650).told("copied", 710, 200, result("copied", 0));
        tale.ask("gone", ONCE, 800);
        tale.arrives("gone", 0, 805).replies("gone", 0, 806, Reply.TAKEN).books.left("gone", 900 * MS);
        kept();
    }

    @Test
    void aJobSentTwiceIsNamedWhereverItWasSent() {
        tale.ask("x", ONCE, 0);
        tale.runs("x", 0, 5).runs("x", 1, 20).told("x", 110, 200, result("x", 0));
        Breach breach = broken(Rule.NO_EFFECT_TWICE);
        assertEquals("Request x ran at s-0 and again at s-1.", breach.what());
        assertEquals(1, breach.box());
        assertEquals(Map.of(Verdict.Fault.DISPATCHER, 1), tale.verdict().doubleRuns());
    }

    @Test
    void anErrorIsNoProofThatAJobHasNotRun() {
        tale.ask("x", ONCE, 0);
        tale.arrives("x", 0, 5).replies("x", 0, 6, Reply.ERROR).runs("x", 1, 20)
                .told("x", 130, 200, result("x", 1));
        assertEquals("Request x was sent to s-1 though it may have run at s-0.",
                broken(Rule.NO_EFFECT_TWICE).what());
    }

    @Test
    void aProofThatComesAfterTheSecondSendIsTooLate() {
        tale.ask("x", ONCE, 0);
        tale.arrives("x", 0, 5).replies("x", 0, 30, Reply.TURNED_AWAY).runs("x", 1, 20)
                .told("x", 130, 200, result("x", 1));
        broken(Rule.NO_EFFECT_TWICE);
    }

    @Test
    void aJobRefusedThoughItRanIsNamed() {
        tale.ask("x", ONCE, 0);
        tale.runs("x", 0, 5).told("x", 110, 429, "");
        assertTrue(broken(Rule.NO_EFFECT_TWICE).what().contains("refused"));
    }

    @Test
    void whatMayRunTwiceMayBeRefusedAfterItRan() {
        tale.ask("x", FREE, 0);
        tale.runs("x", 0, 5).told("x", 110, 503, "");
        kept();
    }

    @Test
    void moreAttemptsThanAllowedAreNamed() {
        tale.ask("x", FREE, 0);
        for (int i = 0; i < 3; i++) {
            tale.arrives("x", i, 5 + 10 * i).replies("x", i, 6 + 10 * i, Reply.TURNED_AWAY);
        }
        tale.told("x", 50, 503, "");
        kept();
        tale.arrives("x", 0, 40).replies("x", 0, 41, Reply.TURNED_AWAY);
        broken(Rule.NO_EFFECT_TWICE);
    }

    @Test
    void aSecondCopyIsNamedWhereItIsForbiddenUnlessTheFirstWasGivenUp() {
        tale.noSecondCopies().ask("x", FREE, 0);
        tale.runs("x", 0, 5).runs("x", 1, 50).told("x", 110, 200, result("x", 0));
        assertEquals("Request x was sent to s-1 while s-0 still had it, and second copies are not allowed.",
                broken(Rule.NO_EFFECT_TWICE).what());
        tale.books.givenUp(0, 0, "x", 49 * MS);
        kept();
    }

    @Test
    void aSecondAttemptAtABoxThatStillHasTheFirstIsNamed() {
        tale.ask("x", FREE, 0);
        tale.runs("x", 0, 5).arrives("x", 0, 50).replies("x", 0, 51, Reply.UNUSABLE)
                .told("x", 110, 200, result("x", 0));
        broken(Rule.NO_EFFECT_TWICE);
    }

    @Test
    void aLostAnswerIsNamedUnlessTheTryWasNeverTaken() {
        tale.ask("x", FREE, 0);
        tale.ask("y", FREE, 0);
        tale.runs("x", 0, 5);
        tale.books.broke("y", 80 * MS, false);
        kept();
        tale.books.broke("x", 105 * MS, true);
        assertEquals("Request x was lost: its connection ended without a whole answer.",
                broken(Rule.ONE_ANSWER).what());
    }

    @Test
    void anInventedResultIsNamed() {
        tale.ask("x", FREE, 0);
        tale.runs("x", 0, 5).told("x", 110, 200, result("y", 0));
        broken(Rule.ONE_ANSWER);
        tale.ask("y", FREE, 200);
        tale.told("y", 210, 200, result("y", 0));
        assertEquals(Map.of(Rule.ONE_ANSWER, 2), tale.verdict().byRule());
    }

    @Test
    void anAnswerIsLateAfterTheGraceAndFiftyMilliseconds() {
        tale.ask("x", FREE, 0);
        tale.runs("x", 0, 5).books.told("x", 1_070 * MS, 504, 0, "");
        kept();
        tale.ask("y", FREE, 0);
        tale.books.told("y", 1_070 * MS + 1, 504, 0, "");
        broken(Rule.ONE_ANSWER);
    }

    @Test
    void anAnswerThatNeverCameIsNamedOnceItIsOverdue() {
        tale.ask("x", FREE, 0);
        tale.books.left("x", 1_069 * MS);
        tale.ask("open", FREE, 100);
        kept();
        tale.ask("y", FREE, 0);
        tale.books.left("y", 1_071 * MS);
        broken(Rule.ONE_ANSWER);
    }

    @Test
    void timeStandsWhileTheScenarioHoldsTheDispatcher() {
        tale.dispatcher(0, DispatcherState.STARTED).dispatcher(100, DispatcherState.PAUSED)
                .dispatcher(2_100, DispatcherState.RESUMED);
        tale.ask("x", FREE, 50);
        tale.books.told("x", 3_120 * MS, 504, 0, "");
        kept();
        tale.ask("y", FREE, 50);
        tale.books.told("y", 3_120 * MS + 1, 504, 0, "");
        broken(Rule.ONE_ANSWER);
    }

    @Test
    void nothingIsOwedByADispatcherThatTheScenarioKilled() {
        tale.dispatcher(0, DispatcherState.STARTED);
        tale.ask("x", ONCE, 50);
        tale.runs("x", 0, 55).dispatcher(120, DispatcherState.KILLED).dispatcher(125, DispatcherState.ENDED);
        tale.books.broke("x", 121 * MS, true);
        kept();
    }

    @Test
    void aDispatcherThatWasToldToEndOwesWhatItHasTaken() {
        tale.dispatcher(0, DispatcherState.STARTED).dispatcher(100, DispatcherState.TOLD_TO_END);
        tale.ask("x", FREE, 700);
        tale.books.broke("x", 900 * MS, true);
        tale.dispatcher(905, DispatcherState.ENDED);
        assertTrue(broken(Rule.ONE_ANSWER).what().contains("told to end"));
    }

    @Test
    void aKillAfterTheOrderToEndExcusesOnlyWhatCameSoonAfterIt() {
        tale.dispatcher(0, DispatcherState.STARTED).dispatcher(100, DispatcherState.TOLD_TO_END);
        tale.ask("early", FREE, 800);
        tale.dispatcher(1_700, DispatcherState.KILLED);
        tale.books.broke("early", 1_701 * MS, true);
        kept();
        tale.ask("late", FREE, 801);
        tale.books.broke("late", 1_701 * MS, true);
        assertEquals("late", broken(Rule.ONE_ANSWER).txn());
    }

    @Test
    void aDispatcherThatDiedIsNamedAloneWithoutWhatDiedWithIt() {
        tale.dispatcher(0, DispatcherState.STARTED);
        tale.ask("x", FREE, 50);
        tale.books.broke("x", 120 * MS, true);
        tale.dispatcher(123, DispatcherState.DIED);
        broken(Rule.ALIVE);
    }

    @Test
    void aDrainedBoxIsNotUsedAfterTheGraceUntilItIsReadyAgain() {
        tale.listed(0, 0, 0, BoxState.READY, 0).listed(0, 0, 1_000, BoxState.DRAINING, 0);
        tale.served("inside", FREE, 1_545);
        kept();
        tale.served("after", FREE, 1_546);
        assertEquals("Request after was sent to s-0 551 ms after dispatcher 0 was told that this box drains "
                + "or is gone; the grace is 500 ms.", broken(Rule.DRAIN).what());
        tale.listed(0, 0, 4_000, BoxState.READY, 3_000).served("again", FREE, 4_000);
        broken(Rule.DRAIN);
    }

    @Test
    void whatDiscoveryHadToTellCountsAsToldSixSecondsLater() {
        tale.listed(0, 0, 0, BoxState.READY, 0);
        tale.books.listable(0, 1_000 * MS, BoxState.DRAINING, 0);
        tale.served("inside", FREE, 7_545);
        kept();
        tale.served("after", FREE, 7_546);
        broken(Rule.DRAIN);
    }

    /** Box 0 starts at 1 s and falls over at 5 s; work from 4 s on counts, 300 ms of it. */
    private void flood(int knowing) {
        tale.box(0, 0, BoxState.DOWN).box(0, 1_000, BoxState.READY).listed(0, 0, 2_000, BoxState.READY, 1_000)
                .listed(1, 0, 2_000, BoxState.READY, 0);
        for (int i = 0; i < 3; i++) {
            int dispatcher = i < knowing ? 0 : 1;
            tale.again("x" + i, tale.job(FREE, 0, Tale.WORK, 4_900), 0, 4_900, dispatcher);
            tale.arrives("x" + i, 0, dispatcher, 4_950);
        }
        tale.ask("old", FREE, 3_900);
        tale.arrives("old", 0, 3_950).told("old", 4_000, 504, "").box(0, 5_000, BoxState.FELL_OVER);
    }

    @Test
    void aColdBoxPushedOverByThoseWhoKnewIsNamed() {
        flood(2);
        Breach breach = broken(Rule.COLD);
        assertEquals(0, breach.dispatcher());
        assertTrue(breach.what().contains("67% of the 300 ms"), breach.what());
    }

    @Test
    void aColdBoxPushedOverByThoseWhoDidNotKnowIsNobodysFault() {
        flood(1);
        kept();
    }

    @Test
    void aNameThatNoClientSentIsNamedButNotOneWithoutAName() {
        tale.served("x", FREE, 0).arrives(null, 0, 10);
        kept();
        tale.arrives("stranger", 1, 20).replies("stranger", 1, 21, Reply.UNUSABLE);
        assertEquals("stranger", broken(Rule.STRANGER).txn());
    }

    @Test
    void aBodyThatItsClientDidNotSendIsNamed() {
        Job job = tale.job(FREE, 0, Tale.WORK, 0);
        long body = Fingerprint.of("{\"puzzle\":1}");
        tale.books.asked(new Try("x", job, 0, job.deadlineAt()), 0, 0, body);
        tale.books.arrived(0, 0, "x", 5 * MS, 5 * MS, body);
        kept();
        tale.books.arrived(1, 0, "x", 9 * MS, 9 * MS, Fingerprint.of("{\"puzzle\":2}"));
        broken(Rule.STRANGER);
    }

    @Test
    void aClientThatAsksAgainUnaskedIsToBlameForASecondRun() {
        Job job = tale.ask("x", ONCE, 0);
        tale.runs("x", 0, 5).told("x", 110, 502, "");
        tale.again("y", job, 1, 200);
        tale.runs("y", 1, 205).told("y", 310, 200, result("y", 1));
        kept();
        assertEquals(Map.of(Verdict.Fault.CLIENT, 1), tale.verdict().doubleRuns());
    }

    @Test
    void everyBreachIsCountedAndTheFirstTwentyAreListed() {
        for (int i = 29; i >= 0; i--) {
            tale.arrives("stranger " + i, 0, i);
        }
        assertEquals(30, tale.verdict().broken());
        assertEquals(20, tale.verdict().first().size());
        assertEquals("stranger 0", tale.verdict().first().get(0).txn());
    }
}
