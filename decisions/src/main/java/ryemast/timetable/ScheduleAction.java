package ryemast.timetable;

import java.util.List;

/** An action that a replica must carry out next. */
public sealed interface ScheduleAction {

    /**
     * One record change within a commit.
     *
     * @param scheduledTime  of an execution, or {@link VersionedRecord#WATERMARK}
     * @param content        null: the record is deleted
     * @param version        the version the record must have; 0: it must be absent
     */
    record Write(String jobName, long scheduledTime, RecordContent content, long version) {
    }

    /**
     * An atomic commit that requires the own fencing token to be at that version; answered by
     * {@link Scheduler#onCommitted}.
     *
     * @param revision  the version that the record of the schedule's revision must have where executions are
     *                  claimed by it; 0: none are
     */
    record Commit(long id, long fence, long revision, List<Write> writes) implements ScheduleAction {
    }

    /**
     * Read the records of these jobs, or of all jobs if the list is empty, and after that the fencing tokens;
     * answered by {@link Scheduler#onRead}.
     */
    record ReadRecords(long id, List<String> jobNames) implements ScheduleAction {
    }

    /**
     * Submit the job if the lease is still valid at that moment; answered by the job's outcome or by
     * {@link Scheduler#onWithheld}.
     */
    record Submit(ScheduledJob job, long scheduledTime, int attempt) implements ScheduleAction {
    }

    /** Stop waiting for a job whose execution another replica holds now. */
    record Withdraw(String jobName, long scheduledTime, int attempt) implements ScheduleAction {
    }

    /**
     * A log line for operators; {@code jobName} is empty and {@code scheduledTime} 0 where it is about no
     * job.
     */
    record Log(boolean warning, String jobName, long scheduledTime, String text) implements ScheduleAction {
    }
}
