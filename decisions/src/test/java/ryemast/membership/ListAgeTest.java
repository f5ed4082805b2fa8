package ryemast.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ListAgeTest {

    private static final long S = 1_000_000;
    private static final long UNPROVEN = Long.MIN_VALUE;

    private final ListAge age = new ListAge();
    private final ProcessLife life = new ProcessLife();

    /** The worker is one process since long ago. */
    @BeforeEach
    void live() {
        life.seen(0, 10 * S);
    }

    private boolean permits(long provenAt, long now) {
        return age.permits(life, provenAt, now);
    }

    @Test
    void whileDiscoveryIsHeardNothingNeedsProof() {
        assertTrue(permits(UNPROVEN, 1_000 * S));
        age.lost(10 * S, 12 * S);
        age.heard();
        assertTrue(permits(UNPROVEN, 1_000 * S));
        assertFalse(age.isOutdated(1_000 * S));
    }

    /** It was dated from when the loss was noticed, 3 to 6 s later. */
    @Test
    void theListIsOutdatedSixSecondsAfterTheLastWordAndNotAfterTheLossWasNoticed() {
        age.lost(10 * S, 13 * S);
        assertTrue(permits(UNPROVEN, 16 * S - 1));
        assertFalse(permits(UNPROVEN, 16 * S));
        assertTrue(age.isOutdated(16 * S));
    }

    @Test
    void furtherLossesMakeItNoYounger() {
        age.lost(10 * S, 13 * S);
        age.lost(13 * S, 14 * S);
        assertTrue(age.isOutdated(16 * S));
    }

    @Test
    void aJobProvesItsWorkerForSixSecondsFromItsSending() {
        age.lost(10 * S, 13 * S);
        assertTrue(permits(14 * S, 20 * S - 1));
        assertFalse(permits(14 * S, 20 * S));
        assertEquals(20 * S, age.usableUntil(life, 14 * S, 14 * S));
    }

    /** What a broken watch missed counts as notified 6 s after its last word, however late it happened. */
    @Test
    void aJobSentBeforeTheLossProvesNothing() {
        age.lost(10 * S, 13 * S);
        assertFalse(permits(13 * S - 1, 16 * S));
        assertEquals(16 * S, age.usableUntil(life, 13 * S - 1, 14 * S));
    }

    /** One failure may be this machine's; from the third on nobody can have been notified. */
    @Test
    void whileNoConnectionComesUpTheListIsAsGoodAsItWas() {
        age.lost(10 * S, 10 * S);
        age.unreachable(11 * S);
        age.unreachable(11 * S + 1);
        age.unreachable(13 * S - 1);
        assertTrue(age.isOutdated(16 * S));
        age.unreachable(17 * S);
        assertFalse(age.isOutdated(23 * S - 1));
        assertTrue(age.isOutdated(23 * S));
        age.unreachable(30 * S);
        assertTrue(permits(UNPROVEN, 36 * S - 1));
    }

    @Test
    void aCallThatIsTurnedAwayEndsThatCount() {
        age.lost(10 * S, 10 * S);
        age.unreachable(11 * S);
        age.unreachable(12 * S);
        age.failed();
        age.unreachable(14 * S);
        age.unreachable(15 * S);
        assertTrue(age.isOutdated(16 * S));
    }

    /** It may have been gone in between, which counts as notified for as long as its return does not. */
    @Test
    void aJobProvesNothingForAProcessThatDiscoveryMayNotHaveHadSixSecondsBefore() {
        age.lost(10 * S, 10 * S);
        var replaced = new ProcessLife();
        replaced.seen(0, 9 * S);
        replaced.seen(12 * S, 20 * S);
        long listed = 12 * S + ListAge.LISTED_AFTER;
        assertFalse(age.permits(replaced, 20 * S, listed + 6 * S - 1));
        assertTrue(age.permits(replaced, 20 * S, listed + 6 * S));
        assertEquals(16 * S, age.usableUntil(replaced, 15 * S, 15 * S));
        assertEquals(26 * S, age.usableUntil(replaced, 20 * S, listed + 6 * S));
    }

    /** Else none could ever be used until discovery is heard. */
    @Test
    void afterAStartAProcessThatWasSeenBeforeTheFirstListWasTooOldIsTheListedOne() {
        age.startedWithList(10 * S);
        age.lost(7 * S, 10 * S);
        var seen = new ProcessLife();
        seen.seen(13 * S, 14 * S);
        assertTrue(age.permits(seen, 12 * S, 17 * S));
        assertEquals(18 * S, age.usableUntil(seen, 12 * S, 12 * S));
        seen.seen(14 * S + 1, 15 * S);
        assertFalse(age.permits(seen, 14 * S, 17 * S));
        age.heard();
        age.lost(11 * S, 14 * S);
        var other = new ProcessLife();
        other.seen(12 * S, 14 * S);
        assertFalse(age.permits(other, 14 * S, 18 * S));
    }

    /** A watch that said something two seconds before would have told of an end in between. */
    @Test
    void aProcessThatWasSeenBeforeTheWatchEndedIsTheListedOneUnlessTheWatchWasSilent() {
        life.seen(11 * S, 13 * S);
        age.lost(10 * S, 12 * S);
        assertTrue(permits(13 * S, 18 * S));
        age.heard();
        age.lost(10 * S, 13 * S);
        assertFalse(permits(13 * S, 18 * S));
    }

    @Test
    void aProcessThatTheListDoesNotMeanIsAsColdAsIfItHadStartedWhenItWasFirstSeen() {
        age.lost(10 * S, 10 * S);
        assertEquals(0, age.mayHaveStartedAt(life, 17 * S));
        assertEquals(0, age.mayHaveStartedAt(new ProcessLife(), 17 * S));
        life.seen(11 * S, 20 * S);
        assertEquals(0, age.mayHaveStartedAt(life, 16 * S - 1));
        assertEquals(11 * S, age.mayHaveStartedAt(life, 20 * S));
        age.heard();
        assertEquals(0, age.mayHaveStartedAt(life, 20 * S));
    }

    @Test
    void onlyAProcessThatIsOldEnoughOutlastsTheList() {
        age.lost(10 * S, 10 * S);
        assertTrue(age.outlastsList(life, 11 * S));
        life.seen(11 * S, 12 * S);
        assertFalse(age.outlastsList(life, 13 * S));
        assertTrue(age.outlastsList(life, 20 * S));
    }

    @Test
    void aWorkerThatWasNeverSeenIsNotUsed() {
        age.lost(10 * S, 10 * S);
        assertFalse(age.permits(new ProcessLife(), 15 * S, 16 * S));
    }

    @Test
    void aProofIsNeverWorthLessThanTheListItself() {
        age.lost(10 * S, 10 * S);
        assertEquals(16 * S, age.usableUntil(life, UNPROVEN, 11 * S));
        assertEquals(17 * S, age.usableUntil(life, 11 * S, 11 * S));
    }
}
