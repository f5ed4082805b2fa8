package ryemast.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import pipitladder.Dispatcher.WorkerState;

/** One case for each rule of membership. */
class MembershipTest {

    private static final long S = 1_000_000;
    private static final String CONSUL = "consul/box";
    private final Membership members = new Membership(MembershipLimits.DEFAULT);
    private final List<String> messages = new ArrayList<>();
    private long now = 100 * S;
    private long version = 10;

    static ListedWorker worker(String id, HealthStatus condition) {
        return new ListedWorker(id, "10.0.0." + id.charAt(id.length() - 1) + ":80", condition, 0, 0, 0, 1, 0,
                5,
                0, "");
    }

    private MembershipUpdate update() {
        var change = members.update(now);
        messages.addAll(change.messages());
        return change;
    }

    private MembershipUpdate report(ListedWorker... sightings) {
        members.observe(now, new SourceReport(CONSUL, ++version, true, 0, List.of(sightings)));
        return update();
    }

    private void advanceTo(long time) {
        while (members.nextDue(now) <= time) {
            now = members.nextDue(now);
            update();
        }
        now = time;
        update();
    }

    private String ready() {
        return members.members().stream().filter(each -> each.info().state() == WorkerState.READY)
                .map(each -> each.id() + (each.info().share() < 1 ? "*" : "")).sorted()
                .reduce("", (one, other) -> one.isEmpty() ? other : one + " " + other);
    }

    private void reportFleet(int size) {
        var all = new ArrayList<ListedWorker>();
        for (int i = 0; i < size; i++) {
            all.add(worker("b" + i, HealthStatus.PASSING));
        }
        report(all.toArray(ListedWorker[]::new));
    }

    /** A fleet of five, some with these statuses; GONE: not listed. */
    private void reportFive(Map<String, HealthStatus> statuses) {
        var all = new ArrayList<ListedWorker>();
        for (int i = 0; i < 5; i++) {
            var status = statuses.getOrDefault("b" + i, HealthStatus.PASSING);
            if (status != HealthStatus.GONE) {
                all.add(worker("b" + i, status));
            }
        }
        report(all.toArray(ListedWorker[]::new));
    }

    @Test
    void statusesBecomeStatesWithReasons() {
        report(worker("b0", HealthStatus.PASSING), worker("b1", HealthStatus.WARNING),
                worker("b2", HealthStatus.DRAINING),
                worker("b3", HealthStatus.CRITICAL), worker("b4", HealthStatus.PASSING));
        assertEquals("b0 b1* b4", ready());
        assertEquals(StateReason.DRAINING, members.member("b2").reason());
        assertEquals(WorkerState.DRAINING, members.member("b3").info().state());
        assertEquals(100 * S, members.member("b3").since());
        now += S;
        assertTrue(report(worker("b0", HealthStatus.PASSING), worker("b1", HealthStatus.WARNING),
                worker("b2", HealthStatus.DRAINING),
                worker("b3", HealthStatus.CRITICAL), worker("b4", HealthStatus.PASSING)).isEmpty());
    }

    @Test
    void administrativeChangesApplyHoweverMany() {
        reportFleet(5);
        reportFive(Map.of("b0", HealthStatus.DRAINING, "b1", HealthStatus.DRAINING, "b2",
                HealthStatus.DRAINING, "b3",
                HealthStatus.DRAINING, "b4", HealthStatus.DRAINING));
        assertEquals("", ready());
    }

    @Test
    void emptyReportOnlyMarksTheSourceSuspect() {
        reportFleet(5);
        report();
        assertEquals("b0 b1 b2 b3 b4", ready());
        assertEquals(5, members.sources().get(0).withheld());
        assertTrue(members.sources().get(0).suspectSince() > 0);
        assertEquals(StateReason.RETAINED, members.member("b2").reason());
        reportFleet(5);
        assertEquals(0, members.sources().get(0).suspectSince());
        assertEquals(StateReason.LISTED, members.member("b2").reason());
    }

    @Test
    void fewLossesAreAcceptedAndManyAreWithheld() {
        reportFleet(5);
        reportFive(Map.of("b0", HealthStatus.CRITICAL));
        assertEquals("b1 b2 b3 b4", ready());
        reportFive(Map.of("b0", HealthStatus.CRITICAL, "b1", HealthStatus.CRITICAL, "b2", HealthStatus.GONE));
        assertEquals("b1 b2 b3 b4", ready());
        assertEquals(StateReason.RETAINED, members.member("b1").reason());
        // An administrative drain of one of the two is accepted nevertheless.
        reportFive(Map.of("b0", HealthStatus.CRITICAL, "b1", HealthStatus.DRAINING, "b2", HealthStatus.GONE));
        assertEquals("b2 b3 b4", ready());
    }

    @Test
    void withheldLossIsAcceptedWithoutSignsOfLife() {
        reportFleet(3);
        report(worker("b0", HealthStatus.PASSING));
        assertEquals("b0 b1 b2", ready());
        for (int i = 0; i < 58; i++) {
            now += S;
            members.recordAlive(now, "b1");
            members.recordUnchanged(now, CONSUL);
        }
        advanceTo(now + 5 * S);
        assertEquals("b0 b1", ready());
        advanceTo(now + 20 * S);
        assertEquals("b0", ready());
        assertTrue(messages.stream().anyMatch(line -> line.contains("b2 was retained for 60 s")),
                messages::toString);
    }

    @Test
    void failingSourceRemovesNothingHoweverLong() {
        reportFleet(2);
        report(worker("b0", HealthStatus.CRITICAL), worker("b1", HealthStatus.CRITICAL));
        members.recordFailure(now, CONSUL);
        advanceTo(now + 3600 * S);
        assertEquals("b0 b1", ready());
    }

    @Test
    void secondQueryConfirmsLosses() {
        reportFleet(5);
        report(worker("b0", HealthStatus.PASSING));
        members.confirmGone(now, CONSUL, Set.of("b0", "b4"));
        update();
        assertEquals("b0 b4", ready());
        report();
        members.confirmGone(now, CONSUL, Set.of());
        update();
        assertEquals("b4", ready(), "the last worker is never removed by a report alone");
    }

    @Test
    void sourceWithDecreasedVersionMayOnlyRestrict() {
        reportFive(Map.of("b4", HealthStatus.DRAINING, "b3", HealthStatus.GONE));
        assertEquals("b0 b1 b2", ready());
        version = 2;
        reportFive(Map.of("b0", HealthStatus.DRAINING, "b2", HealthStatus.GONE));
        assertEquals("b1 b2", ready(), "b3 is not back, b4 still drains, and b2 is not lost");
        advanceTo(now + 9 * S);
        assertEquals("b1 b2", ready());
        advanceTo(now + 2 * S);
        assertEquals("b1 b3 b4", ready());
    }

    @Test
    void oldReportMayOnlyRestrict() {
        reportFive(Map.of("b4", HealthStatus.DRAINING));
        members.observe(now, new SourceReport(CONSUL, ++version, true, 30 * S,
                List.of(worker("b0", HealthStatus.DRAINING), worker("b4", HealthStatus.PASSING))));
        update();
        assertEquals("b1 b2 b3", ready());
    }

    @Test
    void flappingWorkerGetsASmallShareUntilItIsStable() {
        reportFleet(5);
        for (int i = 0; i < 6; i++) {
            reportFive(Map.of("b0", HealthStatus.CRITICAL));
            advanceTo(now + S);
            assertEquals("b1 b2 b3 b4", ready());
            reportFive(Map.of());
            advanceTo(now + S);
            assertEquals(i < 2 ? "b0 b1 b2 b3 b4" : "b0* b1 b2 b3 b4", ready(), "after fall " + i);
        }
        assertEquals(StateReason.SUPPRESSED, members.member("b0").reason());
        advanceTo(now + 21 * S);
        assertEquals("b0 b1 b2 b3 b4", ready());
    }

    @Test
    void maintenanceIsNoFlap() {
        reportFleet(5);
        for (int i = 0; i < 10; i++) {
            reportFive(Map.of("b0", HealthStatus.DRAINING));
            reportFive(Map.of());
        }
        assertEquals("b0 b1 b2 b3 b4", ready());
    }

    @Test
    void operatorDrainOverridesAllSources() {
        reportFleet(2);
        members.drain(Map.of("b0", "new disk", "b9", ""));
        update();
        assertEquals("b1", ready());
        assertEquals("new disk", members.member("b0").detail());
        reportFleet(3);
        assertEquals("b1 b2", ready());
        members.drain(Map.of());
        update();
        assertEquals("b0 b1 b2", ready());
    }

    @Test
    void reportsOfAnAuthorityAreAcceptedAtOnce() {
        members.addAuthority("discovery");
        var all = List.of(worker("b0", HealthStatus.PASSING), worker("b1", HealthStatus.PASSING));
        members.observe(now, new SourceReport("discovery", 5, true, 0, all));
        update();
        assertEquals("b0 b1", ready());
        members.observe(now, new SourceReport("discovery", 3, true, 0, List.of()));
        update();
        assertEquals("", ready());
        assertEquals(0, members.member("b0").info().startedAt());
    }

    @Test
    void drainByAnySourceApplies() {
        reportFleet(2);
        members.observe(now,
                new SourceReport("other", 1, true, 0, List.of(worker("b0", HealthStatus.DRAINING))));
        update();
        assertEquals("b1", ready());
        members.observe(now, new SourceReport("other", 2, true, 0, List.of()));
        update();
        assertEquals("b0 b1", ready(), "a source that no longer lists it has no effect");
    }

    @Test
    void twoWorkersWithOneAddressAreOneProcess() {
        var old = new ListedWorker("old", "10.0.0.1:80", HealthStatus.PASSING, 0, 0, 0, 1, 0, 5, 0, "");
        var young = new ListedWorker("young", "10.0.0.1:80", HealthStatus.PASSING, 0, 0, 0, 1, 0, 9, 0, "");
        report(old, young);
        assertEquals("young", ready());
        assertEquals("young is at 10.0.0.1:80", members.member("old").detail());
        report(old, young.withStatus(HealthStatus.DRAINING, ""));
        assertEquals("", ready(), "the old entry is the same, drained process");
        report(old);
        assertEquals("old", ready());
    }

    @Test
    void ofTwoEntriesForOneWorkerTheLaterOrElseTheStricterCounts() {
        var late = new ListedWorker("b0", "10.0.0.9:80", HealthStatus.WARNING, 0, 0, 0, 1, 0, 9, 0.25, "");
        report(worker("b0", HealthStatus.PASSING), late, worker("b1", HealthStatus.PASSING),
                worker("b1", HealthStatus.DRAINING));
        assertEquals("10.0.0.9:80", members.member("b0").address());
        assertEquals(0.25, members.member("b0").info().share());
        assertEquals("b0*", ready());
    }

    @Test
    void newProcessNeedsWarmUpEvenIfItsSourceReportsNoStartTime() {
        reportFleet(4);
        assertEquals(0, members.member("b0").info().startedAt(), "known since the first report");
        now += S;
        reportFleet(5);
        assertEquals(now, members.member("b4").info().startedAt(), "new on the list");
        reportFive(Map.of("b1", HealthStatus.CRITICAL));
        now += S;
        reportFive(Map.of());
        assertEquals(0, members.member("b1").info().startedAt(), "its check failed and passes again");
        reportFive(Map.of("b1", HealthStatus.CRITICAL));
        members.recordUnreachable(now, "b1");
        now += S;
        reportFive(Map.of());
        assertEquals(now, members.member("b1").info().startedAt(), "a connection failed meanwhile");
        now += S;
        var reregistered =
                new ListedWorker("b2", "10.0.0.7:80", HealthStatus.PASSING, 0, 0, 0, 1, 0, 77, 0, "");
        report(worker("b0", HealthStatus.PASSING), worker("b1", HealthStatus.PASSING), reregistered,
                worker("b3", HealthStatus.PASSING),
                worker("b4", HealthStatus.PASSING));
        assertEquals(now, members.member("b2").info().startedAt(), "registered anew at another address");
        assertEquals("10.0.0.7:80", members.member("b2").address());
    }

    @Test
    void stateOfGoneWorkersExpires() {
        reportFleet(5);
        reportFive(Map.of("b0", HealthStatus.GONE));
        assertEquals(WorkerState.GONE, members.member("b0").info().state());
        advanceTo(now + 599 * S);
        assertEquals(5, members.members().size());
        now += 2 * S;
        assertEquals(List.of("b0"), update().expired());
        assertNull(members.member("b0"));
    }

    @Test
    void invalidWorkersAreRejected() {
        assertThrows(IllegalArgumentException.class,
                () -> new ListedWorker("", "a:1", HealthStatus.PASSING, 0, 0, 0, 1, 0, 0, 0,
                ""));
        assertThrows(IllegalArgumentException.class,
                () -> new ListedWorker("b", null, HealthStatus.PASSING, 0, 0, 0, 1, 0, 0, 0,
                ""));
        assertThrows(IllegalArgumentException.class,
                () -> new ListedWorker("b", "a:1", HealthStatus.PASSING, 0, 0, 0, 0, 0, 0,
                0, ""));
        assertFalse(members.alive("nobody", now));
    }
}
