package ryemast.timetable;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ryemast.timetable.PeriodicJob.SECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import ryemast.fleet.FleetView;
import ryemast.timetable.RecordContent.How;
import ryemast.timetable.RecordContent.State;
import ryemast.timetable.RecordContent.Watermark;
import ryemast.timetable.ScheduledJob.Missed;
import ryemast.timetable.ScheduledJob.Overlap;

/** The rules one by one, without failures; {@code ryemast.firing} has the model with failures. */
class SchedulerTest {

    private static final long FIRST = 1_020;
    private final SchedulerHarness harness = new SchedulerHarness();

    private Scheduler started(ScheduledJob... entries) {
        var scheduler = harness.replica("a", List.of(entries));
        harness.runUntilIdle(scheduler);
        harness.advance(scheduler, 25 * SECOND);
        return scheduler;
    }

    private static PeriodicJob minutely(boolean once, Overlap overlap) {
        return PeriodicJob.of("e", once, Missed.SKIP, 1, overlap);
    }

    @Test
    void submitsARunOnceJobOnlyUnderItsSentRecord() {
        var scheduler = started(minutely(true, Overlap.ALLOW));
        assertEquals(List.of("e@1020/0"), harness.submitted);
        assertEquals(State.SENT, harness.record("e", FIRST).state());
        harness.reportOutcome(scheduler, "e", FIRST, 0, How.FAILED);
        assertEquals(How.FAILED, harness.record("e", FIRST).outcome());
        assertEquals(1, harness.submitted.size());
    }

    @Test
    void recordsARefusalAndSubmitsAgain() {
        var scheduler = started(minutely(true, Overlap.ALLOW));
        harness.reportOutcome(scheduler, "e", FIRST, 0, How.REFUSED);
        assertEquals(State.CLAIMED, harness.record("e", FIRST).state());
        harness.advance(scheduler, SECOND);
        assertEquals(List.of("e@1020/0", "e@1020/1"), harness.submitted);
        harness.now += 30 * SECOND;
        harness.reportOutcome(scheduler, "e", FIRST, 1, How.REFUSED);
        assertEquals(How.REFUSED, harness.record("e", FIRST).outcome());
    }

    @Test
    void newOwnerEndsSentJobsAsUnknownAndRunsClaimedOnes() {
        started(minutely(true, Overlap.ALLOW), PeriodicJob.of("r", false, Missed.SKIP, 1, Overlap.ALLOW));
        harness.changeOwner("b");
        var next = harness.replica("b", List.of(minutely(true, Overlap.ALLOW),
                PeriodicJob.of("r", false, Missed.SKIP, 1, Overlap.ALLOW)));
        harness.runUntilIdle(next);
        assertEquals(State.UNKNOWN, harness.record("e", FIRST).state());
        assertTrue(harness.log.toString().contains("a was lost between 'sent' and its end"),
                harness.log::toString);
        assertEquals(List.of("r@1020/0", "e@1020/0", "r@1020/100000"), harness.submitted);
        harness.reportOutcome(next, "r", FIRST, 100_000, How.SERVED);
        assertEquals("b", harness.record("r", FIRST).holder());
    }

    /** Without it the takeover would wait for the next recheck of another's execution, up to 30 s. */
    @Test
    void repeatsAReadThatRacedWithAChange() {
        started(minutely(false, Overlap.ALLOW));
        long held = harness.fences.get("a");
        harness.changeOwner("b");
        long moved = harness.fences.put("a", held);
        var next = harness.replica("b", List.of(minutely(false, Overlap.ALLOW)));
        harness.runUntilIdle(next);
        harness.advance(next, (FIRST + 60) * SECOND - SECOND / 10 - harness.now);
        assertEquals(List.of("e@1020/0"), harness.submitted, "its holder is not fenced");
        harness.fences.put("a", moved);
        harness.now = (FIRST + 60) * SECOND;
        next.updateFleet(new FleetView(2, List.of("b"), "b", true, 0), List.of("b"), 5,
                harness.fences.get("b"));
        var actions = next.evaluate(harness.now, harness.now);
        assertTrue(actions.stream().anyMatch(ScheduleAction.Commit.class::isInstance)
                && actions.stream().anyMatch(ScheduleAction.ReadRecords.class::isInstance),
                actions::toString);
        actions.forEach(each -> harness.perform(next, each));
        harness.advance(next, SECOND);
        assertTrue(harness.submitted.contains("e@1020/100000"), harness.submitted::toString);
    }

    /** A commit with an unknown result is sent again after up to 2 s, but at once when the lease returns. */
    @Test
    void regainedLeaseEndsTheCommitBackoff() {
        var scheduler = started(minutely(false, Overlap.ALLOW));
        scheduler.onOutcome("e", FIRST * SECOND, 0, How.SERVED, 0);
        int sent = 0;
        for (long until = harness.now + 20 * SECOND; harness.now < until; harness.now += SECOND / 10) {
            for (var action : scheduler.evaluate(harness.now, harness.now)) {
                sent++;
                scheduler.onCommitted(((ScheduleAction.Commit) action).id(), CommitResult.UNKNOWN, List.of(),
                        harness.now);
            }
        }
        assertTrue(sent > 8 && sent < 20, sent + " sendings");
        assertTrue(scheduler.nextDue() > harness.now, "it backs off");
        harness.updateView(scheduler, "a", false);
        harness.updateView(scheduler, "a", true);
        assertTrue(scheduler.nextDue() <= harness.now, "the lease is back");
    }

    @Test
    void appliesTheOverlapRule() {
        for (var overlap : Overlap.values()) {
            var each = new SchedulerTest();
            var scheduler = each.started(minutely(false, overlap));
            each.harness.advance(scheduler, 60 * SECOND);
            assertEquals(overlap == Overlap.ALLOW ? 2 : 1, each.harness.submitted.size());
            assertEquals(overlap == Overlap.SKIP ? 1 : 0, each.harness.watermark("e").skipped());
            each.harness.reportOutcome(scheduler, "e", FIRST, 0, How.SERVED);
            each.harness.runUntilIdle(scheduler);
            assertEquals(overlap == Overlap.SKIP ? 1 : 2, each.harness.submitted.size());
        }
    }

    @Test
    void appliesTheMissedRule() {
        var expected = List.of(List.of("e@1560/0"), List.of("e@1560/0"),
                List.of("e@1440/0", "e@1500/0", "e@1560/0"));
        for (var missed : Missed.values()) {
            var each = new SchedulerHarness();
            var entry = PeriodicJob.of("e", false, missed, 2, Overlap.ALLOW);
            var scheduler = each.replica("a", List.of(entry));
            each.runUntilIdle(scheduler);
            each.now += 565 * SECOND;
            each.runUntilIdle(scheduler);
            assertEquals(expected.get(missed.ordinal()), each.submitted);
            assertEquals(missed == Missed.ALL ? 7 : 9, each.watermark("e").missed());
        }
    }

    @Test
    void clockSetBackRunsNothingTwice() {
        var scheduler = started(minutely(false, Overlap.ALLOW));
        harness.reportOutcome(scheduler, "e", FIRST, 0, How.SERVED);
        harness.wallOffset = -3_600 * SECOND;
        harness.advance(scheduler, 3_600 * SECOND);
        assertEquals(1, harness.submitted.size());
        harness.advance(scheduler, 60 * SECOND);
        assertEquals(List.of("e@1020/0", "e@1080/0"), harness.submitted);
        assertTrue(harness.log.toString().contains("set back by 3600 s"), harness.log::toString);
    }

    @Test
    void removedJobEndsAsClaimedAndItsWatermarkIsDeletedLater() {
        var scheduler = started(minutely(false, Overlap.ALLOW));
        scheduler.setJobs(List.of());
        harness.reportOutcome(scheduler, "e", FIRST, 0, How.FAILED);
        harness.advance(scheduler, SECOND);
        assertEquals(List.of("e@1020/0", "e@1020/1"), harness.submitted);
        harness.reportOutcome(scheduler, "e", FIRST, 1, How.SERVED);
        assertEquals(How.SERVED, harness.record("e", FIRST).outcome());
        harness.now += Limits.DEFAULT.orphanRetention() + 60 * SECOND;
        harness.updateView(scheduler, "a", true);
        scheduler.setJobs(List.of());
        harness.runUntilIdle(scheduler);
        assertEquals(0, harness.records.size());
    }

    @Test
    void unreadableWatermarkSuspendsItsJobUntilRepaired() {
        harness.records.put("e/" + VersionedRecord.WATERMARK,
                new VersionedRecord("e", VersionedRecord.WATERMARK, null, 7));
        var scheduler = started(minutely(false, Overlap.ALLOW));
        assertEquals(List.of(), harness.submitted);
        harness.records.put("e/" + VersionedRecord.WATERMARK,
                new VersionedRecord("e", VersionedRecord.WATERMARK, new Watermark(FIRST * SECOND, 0, 0), 8));
        harness.advance(scheduler, 60 * SECOND);
        assertEquals(List.of("e@1080/0"), harness.submitted);
    }

    @Test
    void deletesExpiredRecordsWithLaterCommits() {
        var scheduler = started(minutely(false, Overlap.ALLOW));
        for (long at = FIRST; at < FIRST + 7_200; at += 60) {
            harness.reportOutcome(scheduler, "e", at, 0, How.SERVED);
            harness.advance(scheduler, 60 * SECOND);
        }
        assertNull(harness.record("e", FIRST));
        assertEquals(Limits.DEFAULT.maxRetained() + 2, harness.records.size(),
                "retained, the open one, and the watermark");
    }

    /** The costs that docs/timetable.md states. */
    @Test
    void tenThousandJobsCostAsDocumented() {
        var entries = new ArrayList<ScheduledJob>();
        IntStream.range(0, 10_000).forEach(i -> entries.add(new PeriodicJob("entry-" + i, true,
                3_600 * SECOND, Missed.SKIP, 1, Overlap.ALLOW, 86_400 * SECOND)));
        var scheduler = harness.replica("a", entries);
        harness.runUntilIdle(scheduler);
        assertEquals(10_000, harness.writes, "one watermark each");
        assertTrue(harness.commits <= 334, harness.commits + " steps");
        int steps = harness.commits;
        harness.advance(scheduler, 3_600 * SECOND);
        assertEquals(steps, harness.commits, "idle jobs cost nothing");
        assertEquals(1, harness.reads);
        harness.now = 86_400 * SECOND;
        harness.runUntilIdle(scheduler);
        assertEquals(Limits.DEFAULT.maxHeld(), harness.submitted.size());
        for (int i = 0; i < harness.submitted.size(); i++) {
            scheduler.onOutcome(harness.submitted.get(i).split("@")[0], 86_400 * SECOND, 0, How.SERVED, 0);
            if (i % 100 == 99 || i == harness.submitted.size() - 1) {
                harness.runUntilIdle(scheduler);
            }
        }
        assertEquals(10_000, harness.submitted.size());
        assertEquals(40_000, harness.writes - 10_000, "watermark and claim, sent, ended");
        assertTrue(harness.commits - steps <= 1_401, (harness.commits - steps) + " steps");
    }
}
