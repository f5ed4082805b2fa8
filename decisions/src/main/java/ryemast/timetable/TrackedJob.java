package ryemast.timetable;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import ryemast.timetable.RecordContent.ExecutionRecord;
import ryemast.timetable.RecordContent.Watermark;
import ryemast.timetable.ScheduleAction.Write;

/** State of a scheduled job that this replica owns, or of which it holds an execution. */
final class TrackedJob {

    /** Records of ended executions deleted with one commit. */
    private static final int MAX_PURGED = 4;

    /** The record of an ended execution, kept for audit. */
    record EndedExecution(long scheduledTime, long version, long endedAt) {
    }

    final String name;
    /** Null: the schedule lacks it. */
    ScheduledJob definition;
    boolean owned;
    /** Its records have been read since this replica took ownership, and no commit found them changed. */
    boolean known;
    /** Its watermark record can't be read. */
    boolean unreadable;
    Watermark watermark;
    long watermarkVersion;
    final Map<Long, Execution> executions = new TreeMap<>();
    final Deque<EndedExecution> ended = new ArrayDeque<>(2);
    /** Null: to be scanned from the watermark on. */
    DueScan dueScan;
    /** A change of the watermark is queued or in flight. */
    boolean watermarkPending;
    /** Changes queued or in flight. */
    int pendingChanges;
    /** Consecutive conflicts; while there are any, the job's changes are committed alone. */
    int conflicts;
    /** Logical time of the last change ({@link ReplicaState#order}). */
    long lastChange;
    long readAt = Long.MIN_VALUE / 2;
    long recheckInterval;
    long recheckAt = Long.MAX_VALUE;
    /**
     * When to evaluate it next, by the wall clock and by the monotonic clock; changed only while it is in no
     * {@link EvaluationQueue}.
     */
    long wallDueAt = Long.MAX_VALUE;
    long monotonicDueAt = Long.MAX_VALUE;

    TrackedJob(String name) {
        this.name = name;
    }

    /** Applies the records that were read; returns executions whose records are no longer open. */
    List<Execution> applyRead(List<VersionedRecord> records, Map<String, Long> fences, long now) {
        var lost = new ArrayList<Execution>();
        var before = new HashMap<>(executions);
        executions.clear();
        ended.clear();
        watermark = null;
        watermarkVersion = 0;
        unreadable = false;
        dueScan = null;
        for (var stored : records) {
            if (stored.scheduledTime() == VersionedRecord.WATERMARK) {
                unreadable = !(stored.content() instanceof Watermark);
                watermark = unreadable ? null : (Watermark) stored.content();
                watermarkVersion = stored.version();
            } else if (stored.content() instanceof ExecutionRecord record) {
                if (record.isOpen()) {
                    var execution = before.remove(stored.scheduledTime());
                    if (execution == null) {
                        execution = new Execution(this, stored.scheduledTime(), record, stored.version());
                    }
                    execution.record = record;
                    execution.version = stored.version();
                    long fence = fences.getOrDefault(record.holder(), Long.MAX_VALUE);
                    execution.holderFenced = fence > record.fence();
                    executions.put(stored.scheduledTime(), execution);
                } else {
                    ended.add(new EndedExecution(stored.scheduledTime(), stored.version(),
                            record.recordedAt()));
                }
            }
        }
        lost.addAll(before.values());
        known = true;
        readAt = now;
        return lost;
    }

    /** The records of ended executions that need not be kept any longer. */
    List<EndedExecution> expiredRecords(long wall, Limits limits) {
        var found = new ArrayList<EndedExecution>();
        for (var each : ended) {
            boolean tooMany = ended.size() - found.size() > limits.maxRetained();
            if (found.size() < MAX_PURGED && (tooMany || each.endedAt() + limits.retention() < wall)) {
                found.add(each);
            }
        }
        return found;
    }

    Write watermarkWrite(Watermark to) {
        return new Write(name, VersionedRecord.WATERMARK, to, watermarkVersion);
    }
}
