package ryemast.timetable;

import java.util.List;
import ryemast.timetable.RecordContent.ExecutionRecord;
import ryemast.timetable.RecordContent.Watermark;
import ryemast.timetable.ScheduleAction.Write;
import ryemast.timetable.TrackedJob.EndedExecution;

/**
 * A change of one job's records, queued for a commit.
 *
 * @param execution   whose record is changed; null: none
 * @param record      the new record of the execution
 * @param watermark   the new watermark; null where the change has none or deletes it
 * @param needsLease  whether it is sent only while the lease is valid
 * @param claims      whether it claims an execution
 * @param purged      ended executions whose records are deleted with it
 */
record PendingChange(TrackedJob job, Execution execution, ExecutionRecord record, Watermark watermark,
        boolean needsLease, boolean claims, List<EndedExecution> purged, List<Write> writes) {
}
