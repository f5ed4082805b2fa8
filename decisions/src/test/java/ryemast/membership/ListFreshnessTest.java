package ryemast.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ListFreshnessTest {

    private static final long S = 1_000_000;
    private static final long UNPROVEN = Long.MIN_VALUE;

    private final ListFreshness freshness = new ListFreshness();
    private final ProcessLifetime life = new ProcessLifetime();

    /** The worker has been one process for a long time. */
    @BeforeEach
    void observeWorker() {
        life.recordAlive(0, 10 * S);
    }

    private boolean mayUse(long provenAt, long now) {
        return freshness.mayUse(life, provenAt, now);
    }

    @Test
    void noProofNeededWhileDiscoverySendsUpdates() {
        assertTrue(mayUse(UNPROVEN, 1_000 * S));
        freshness.discoveryLost(10 * S, 12 * S);
        freshness.updateReceived();
        assertTrue(mayUse(UNPROVEN, 1_000 * S));
        assertFalse(freshness.isStale(1_000 * S));
    }

    /** Guards against counting from when the loss was noticed, which is 3 to 6 s later. */
    @Test
    void listIsStaleSixSecondsAfterTheLastUpdateNotAfterTheLossWasNoticed() {
        freshness.discoveryLost(10 * S, 13 * S);
        assertTrue(mayUse(UNPROVEN, 16 * S - 1));
        assertFalse(mayUse(UNPROVEN, 16 * S));
        assertTrue(freshness.isStale(16 * S));
    }

    @Test
    void furtherLossesDoNotExtendTheList() {
        freshness.discoveryLost(10 * S, 13 * S);
        freshness.discoveryLost(13 * S, 14 * S);
        assertTrue(freshness.isStale(16 * S));
    }

    @Test
    void acceptedJobProvesItsWorkerForSixSecondsFromItsSending() {
        freshness.discoveryLost(10 * S, 13 * S);
        assertTrue(mayUse(14 * S, 20 * S - 1));
        assertFalse(mayUse(14 * S, 20 * S));
        assertEquals(20 * S, freshness.usableUntil(life, 14 * S, 14 * S));
    }

    /**
     * A change that a broken watch missed counts as notified 6 s after its last update, however late it was.
     */
    @Test
    void aJobSentBeforeTheLossProvesNothing() {
        freshness.discoveryLost(10 * S, 13 * S);
        assertFalse(mayUse(13 * S - 1, 16 * S));
        assertEquals(16 * S, freshness.usableUntil(life, 13 * S - 1, 14 * S));
    }

    /** One failure may be this machine's; from the third on nobody can have been notified. */
    @Test
    void listStaysValidWhileNoConnectionCanBeEstablished() {
        freshness.discoveryLost(10 * S, 10 * S);
        freshness.connectFailed(11 * S);
        freshness.connectFailed(11 * S + 1);
        freshness.connectFailed(13 * S - 1);
        assertTrue(freshness.isStale(16 * S));
        freshness.connectFailed(17 * S);
        assertFalse(freshness.isStale(23 * S - 1));
        assertTrue(freshness.isStale(23 * S));
        freshness.connectFailed(30 * S);
        assertTrue(mayUse(UNPROVEN, 36 * S - 1));
    }

    @Test
    void refusedCallResetsTheFailureCount() {
        freshness.discoveryLost(10 * S, 10 * S);
        freshness.connectFailed(11 * S);
        freshness.connectFailed(12 * S);
        freshness.callFailed();
        freshness.connectFailed(14 * S);
        freshness.connectFailed(15 * S);
        assertTrue(freshness.isStale(16 * S));
    }

    /** The process may have been gone in between, which counts as notified until its return does. */
    @Test
    void jobProvesNothingForAProcessThatDiscoveryMayNotHaveListedSixSecondsBefore() {
        freshness.discoveryLost(10 * S, 10 * S);
        var replaced = new ProcessLifetime();
        replaced.recordAlive(0, 9 * S);
        replaced.recordAlive(12 * S, 20 * S);
        long listed = 12 * S + ListFreshness.REGISTRATION_DELAY;
        assertFalse(freshness.mayUse(replaced, 20 * S, listed + 6 * S - 1));
        assertTrue(freshness.mayUse(replaced, 20 * S, listed + 6 * S));
        assertEquals(16 * S, freshness.usableUntil(replaced, 15 * S, 15 * S));
        assertEquals(26 * S, freshness.usableUntil(replaced, 20 * S, listed + 6 * S));
    }

    /** Otherwise no worker could be used until discovery sends an update. */
    @Test
    void afterAStartAProcessSeenBeforeTheInitialListExpiredIsTheListedOne() {
        freshness.startedWithList(10 * S);
        freshness.discoveryLost(7 * S, 10 * S);
        var seen = new ProcessLifetime();
        seen.recordAlive(13 * S, 14 * S);
        assertTrue(freshness.mayUse(seen, 12 * S, 17 * S));
        assertEquals(18 * S, freshness.usableUntil(seen, 12 * S, 12 * S));
        seen.recordAlive(14 * S + 1, 15 * S);
        assertFalse(freshness.mayUse(seen, 14 * S, 17 * S));
        freshness.updateReceived();
        freshness.discoveryLost(11 * S, 14 * S);
        var other = new ProcessLifetime();
        other.recordAlive(12 * S, 14 * S);
        assertFalse(freshness.mayUse(other, 14 * S, 18 * S));
    }

    /** A watch with an update two seconds earlier would have reported the end of a process in between. */
    @Test
    void processSeenBeforeTheWatchEndedIsTheListedOneUnlessTheWatchWasSilent() {
        life.recordAlive(11 * S, 13 * S);
        freshness.discoveryLost(10 * S, 12 * S);
        assertTrue(mayUse(13 * S, 18 * S));
        freshness.updateReceived();
        freshness.discoveryLost(10 * S, 13 * S);
        assertFalse(mayUse(13 * S, 18 * S));
    }

    @Test
    void processNotInTheListNeedsWarmUpFromWhenItWasFirstSeen() {
        freshness.discoveryLost(10 * S, 10 * S);
        assertEquals(0, freshness.mayHaveStartedAt(life, 17 * S));
        assertEquals(0, freshness.mayHaveStartedAt(new ProcessLifetime(), 17 * S));
        life.recordAlive(11 * S, 20 * S);
        assertEquals(0, freshness.mayHaveStartedAt(life, 16 * S - 1));
        assertEquals(11 * S, freshness.mayHaveStartedAt(life, 20 * S));
        freshness.updateReceived();
        assertEquals(0, freshness.mayHaveStartedAt(life, 20 * S));
    }

    @Test
    void onlyProcessesThatAreOldEnoughOutlastTheList() {
        freshness.discoveryLost(10 * S, 10 * S);
        assertTrue(freshness.outlastsList(life, 11 * S));
        life.recordAlive(11 * S, 12 * S);
        assertFalse(freshness.outlastsList(life, 13 * S));
        assertTrue(freshness.outlastsList(life, 20 * S));
    }

    @Test
    void workerThatWasNeverSeenIsNotUsed() {
        freshness.discoveryLost(10 * S, 10 * S);
        assertFalse(freshness.mayUse(new ProcessLifetime(), 15 * S, 16 * S));
    }

    @Test
    void proofNeverExpiresBeforeTheListItself() {
        freshness.discoveryLost(10 * S, 10 * S);
        assertEquals(16 * S, freshness.usableUntil(life, UNPROVEN, 11 * S));
        assertEquals(17 * S, freshness.usableUntil(life, 11 * S, 11 * S));
    }
}
