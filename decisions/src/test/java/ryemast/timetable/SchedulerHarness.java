package ryemast.timetable;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import ryemast.fleet.FleetView;
import ryemast.timetable.RecordContent.ExecutionRecord;
import ryemast.timetable.RecordContent.How;
import ryemast.timetable.RecordContent.Watermark;

/** Scheduler replicas over an in-memory store that answers at once; the test sets the outcome of jobs. */
final class SchedulerHarness {

    final Map<String, VersionedRecord> records = new TreeMap<>();
    final Map<String, Long> fences = new HashMap<>();
    final List<String> submitted = new ArrayList<>();
    final List<String> log = new ArrayList<>();
    int commits;
    int writes;
    int reads;
    long now = 1_000 * PeriodicJob.SECOND;
    long wallOffset;
    private long version = 100;
    private String owner = "a";

    Scheduler replica(String name, List<ScheduledJob> entries) {
        var scheduler = new Scheduler(Limits.DEFAULT, (entry, view) -> owner);
        scheduler.setJobs(entries);
        fences.put(name, ++version);
        updateView(scheduler, name, true);
        return scheduler;
    }

    void updateView(Scheduler scheduler, String name, boolean mayAct) {
        scheduler.updateFleet(new FleetView(1, List.of("a", "b"), name, mayAct, 0), List.of("a", "b"), 5,
                fences.get(name));
    }

    /** Moves all jobs to another owner and fences the former one. */
    void changeOwner(String to) {
        fences.put(owner, ++version);
        owner = to;
    }

    /** Runs until no action is due at the current time. */
    void runUntilIdle(Scheduler scheduler) {
        List<ScheduleAction> actions;
        do {
            actions = scheduler.evaluate(now, now + wallOffset);
            actions.forEach(each -> perform(scheduler, each));
        } while (!actions.isEmpty() || scheduler.nextDue() <= now);
    }

    void advance(Scheduler scheduler, long micros) {
        long until = now + micros;
        while (now < until) {
            now = Math.min(until, Math.max(now + 1, scheduler.nextDue()));
            runUntilIdle(scheduler);
        }
    }

    void perform(Scheduler scheduler, ScheduleAction action) {
        if (action instanceof ScheduleAction.Commit commit) {
            commits++;
            writes += commit.writes().size();
            // Of the 32 records that a commit may name, two are the fencing token's and the revision's.
            assertTrue(commit.writes().size() <= 30, commit.writes().size() + " writes in a commit");
            boolean fits = fences.containsValue(commit.fence())
                    && commit.writes().stream().allMatch(each -> each.version() == version(key(each)));
            version += fits ? 1 : 0;
            var versions = new ArrayList<Long>();
            commit.writes().stream().filter(each -> fits).forEach(each -> {
                versions.add(version);
                if (each.content() == null) {
                    records.remove(key(each));
                } else {
                    records.put(key(each), new VersionedRecord(each.jobName(), each.scheduledTime(),
                            each.content(), version));
                }
            });
            scheduler.onCommitted(commit.id(), fits ? CommitResult.DONE : CommitResult.CONFLICT, versions,
                    now);
        } else if (action instanceof ScheduleAction.ReadRecords read) {
            reads++;
            scheduler.onRead(read.id(), records.values().stream()
                    .collect(Collectors.groupingBy(VersionedRecord::jobName)), fences, now);
        } else if (action instanceof ScheduleAction.Submit submit) {
            submitted.add(submit.job().name() + "@" + submit.scheduledTime() / PeriodicJob.SECOND + "/"
                    + submit.attempt());
        } else if (action instanceof ScheduleAction.Log line) {
            log.add(line.text());
        }
    }

    private long version(String key) {
        return records.containsKey(key) ? records.get(key).version() : 0;
    }

    private static String key(ScheduleAction.Write write) {
        return write.jobName() + "/" + write.scheduledTime();
    }

    void reportOutcome(Scheduler scheduler, String jobName, long second, int turn, How how) {
        scheduler.onOutcome(jobName, second * PeriodicJob.SECOND, turn, how, 0);
        runUntilIdle(scheduler);
    }

    ExecutionRecord record(String jobName, long second) {
        var seen = records.get(jobName + "/" + second * PeriodicJob.SECOND);
        return seen == null ? null : (ExecutionRecord) seen.content();
    }

    Watermark watermark(String jobName) {
        return (Watermark) records.get(jobName + "/" + VersionedRecord.WATERMARK).content();
    }
}
