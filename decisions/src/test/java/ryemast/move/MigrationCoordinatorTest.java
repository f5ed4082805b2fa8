package ryemast.move;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * What the state search does not cover: times, versions, third sites, and requests that are rejected at the
 * start.
 */
class MigrationCoordinatorTest {

    private static final Load LOAD = new Load(2_000_000, 7);
    private static final MigrationRequest TO_B = new MigrationRequest("bills", "B", LOAD);
    private static final long READING_VALIDITY = 2_970_000;
    private static final long SETTLE_TIME = 3_030_000;
    private static final long START = 10_000_000;

    private static SiteRecord record(Phase phase, String other) {
        return new SiteRecord(1, phase, other, LOAD, SiteRecord.FROM_START, SiteRecord.UNBOUNDED, true,
                SETTLE_TIME);
    }

    /** Read once, requested and answered at that time. */
    private static RecordReading reading(SiteRecord record, long version, long at) {
        return RecordReading.UNREAD.updated(record, version, at, at, true);
    }

    private static MigrationContext context(String peer, long now, boolean leaseValid, long claimedAt) {
        return new MigrationContext("A", peer, now, leaseValid, START, TO_B, true, READING_VALIDITY,
                SETTLE_TIME, 0, claimedAt, 0, true, true,
                true);
    }

    private static boolean isWrite(Decision next, Phase phase) {
        return next instanceof Decision.RecordWrite step && step.record().phase() == phase;
    }

    @Test
    void targetOpensOnceTheSourceVersionIsUnchangedForTheSettleTime() {
        var own = reading(record(Phase.ACQUIRED, "B"), 4, START);
        var closed = record(Phase.CLOSED, "A");
        var first = RecordReading.UNREAD.updated(closed, 9, START, START + 5_000, true);
        long due = START + 5_000 + SETTLE_TIME;
        assertEquals(due,
                ((Decision.Wait) MigrationCoordinator.next(context("B", START, true, 0), own, first))
                .rereadAt());
        var early = first.updated(closed, 9, due - 1, due + 1, true);
        assertFalse(isWrite(MigrationCoordinator.next(context("B", due + 1, true, 0), own, early),
                Phase.OPEN));
        var other = first.updated(closed, 10, due, due + 1, true);
        assertFalse(isWrite(MigrationCoordinator.next(context("B", due + 1, true, 0), own, other),
                Phase.OPEN));
        var settled = first.updated(closed, 9, due, due + 1, true);
        assertTrue(isWrite(MigrationCoordinator.next(context("B", due + 1, true, 0), own, settled),
                Phase.OPEN));
    }

    @Test
    void staleResponseIsIgnored() {
        var known = reading(SiteRecord.INITIAL, 3, START);
        assertSame(known, known.updated(SiteRecord.NONE, 2, START + 1, START + 2, false));
    }

    @Test
    void nothingIsWrittenWithoutALeaseOrBeforeBothRecordsAreRead() {
        var own = reading(SiteRecord.INITIAL, 0, START);
        var there = reading(SiteRecord.NONE, 0, START);
        assertTrue(isWrite(MigrationCoordinator.next(context("B", START, true, 0), own, there),
                Phase.REQUESTED));
        assertTrue(MigrationCoordinator.next(context("B", START, false, 0), own, there)
                instanceof Decision.Wait);
        assertTrue(MigrationCoordinator.next(context("B", START, true, 0), RecordReading.UNREAD, there)
                instanceof Decision.Wait);
        assertTrue(MigrationCoordinator.next(context("B", START, true, 0), own, RecordReading.UNREAD)
                instanceof Decision.Wait);
        var before = reading(SiteRecord.NONE, 0, START - 1);
        assertTrue(MigrationCoordinator.next(context("B", START, true, 0), own, before)
                instanceof Decision.Wait);
    }

    @Test
    void sourceClosesOnlyWithWatermarksReadAtItsRecordVersion() {
        var own = reading(record(Phase.CLOSING, "B").bounded(Phase.CLOSING, 60), 5, START);
        var ready = reading(record(Phase.READY, "A"), 2, START);
        assertTrue(MigrationCoordinator.next(context("B", START, true, 4), own, ready)
                instanceof Decision.Wait);
        var step = (Decision.RecordWrite) MigrationCoordinator.next(context("B", START, true, 5), own, ready);
        assertEquals(List.of(5L, Phase.CLOSED, 60L, Decision.Reservation.RELEASE),
                List.of(step.version(), step.record().phase(), step.record().scheduledUpTo(),
                step.reservation()));
    }

    @Test
    void thirdSiteDoesNotAffectTheMigration() {
        var own = reading(record(Phase.REQUESTED, "B"), 5, START);
        var ready = reading(record(Phase.READY, "A"), 2, START);
        assertTrue(MigrationCoordinator.next(context("C", START, true, 5), own, ready)
                instanceof Decision.Wait);
        var away = reading(new SiteRecord(4, Phase.DEPARTED, "D", LOAD, 60, 90, true, SETTLE_TIME), 2, START);
        assertTrue(isWrite(MigrationCoordinator.next(context("C", START, true, 5), own, away),
                Phase.CLOSING));
    }

    @Test
    void readingIsValidForLessThanTheLease() {
        var own = reading(record(Phase.REQUESTED, "B"), 5, START);
        var there = reading(record(Phase.RESERVED, "A"), 2, START);
        assertTrue(MigrationCoordinator.servingState(context("B", START + READING_VALIDITY - 1, true, 5), own,
                there).active());
        var late = MigrationCoordinator.servingState(context("B", START + READING_VALIDITY, true, 5), own,
                there);
        assertFalse(late.active());
        assertTrue(late.rejecting());
    }

    @Test
    void impossibleRequestIsRejectedBeforeTheFirstStep() throws MigrationException {
        var services = List.of("bills", "mail");
        var sites = List.of("B", "C");
        TO_B.validate("A", services, sites, List.of(new MigrationRequest("mail", "C", LOAD)), 2_000_000);
        TO_B.validate("A", services, sites, List.of(), MigrationRequest.UNKNOWN_CAPACITY);
        assertRejected(MigrationException.SameSite.class, "B", services, sites, List.of(), 2_000_000);
        assertRejected(MigrationException.UnknownSite.class, "A", services, List.of("C"), List.of(),
                2_000_000);
        assertRejected(MigrationException.NoSuchService.class, "A", List.of("mail"), sites, List.of(),
                2_000_000);
        assertRejected(MigrationException.AlreadyMigrating.class, "A", services, sites,
                List.of(new MigrationRequest("bills", "C", LOAD)),
                2_000_000);
        assertRejected(MigrationException.InsufficientCapacity.class, "A", services, sites, List.of(),
                1_999_999);
    }

    private static void assertRejected(Class<? extends MigrationException> type, String ownSite,
            List<String> services,
            List<String> sites, List<MigrationRequest> others, long capacity) {
        var rejection = assertThrows(type, () -> TO_B.validate(ownSite, services, sites, others, capacity));
        assertEquals("bills", rejection.service());
        assertTrue(rejection.getMessage().contains("It is not started"));
    }
}
