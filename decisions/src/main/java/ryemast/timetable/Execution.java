package ryemast.timetable;

import ryemast.recovery.RecoveryPolicy;
import ryemast.timetable.RecordContent.ExecutionRecord;
import ryemast.timetable.RecordContent.How;

/** An execution that has not ended: its record as last known, and the state of its job at this replica. */
final class Execution {

    /** How many attempts one holder may number; the next holder's numbers begin after them. */
    static final int ATTEMPTS_PER_HOLDER = 100_000;

    final TrackedJob job;
    final long scheduledTime;
    /**
     * The definition at the time of the claim, which applies until the end; null: the schedule lacks the job.
     */
    final ScheduledJob definition;
    ExecutionRecord record;
    long version;
    /** The record names an outdated fencing token, so its holder can't change anything. */
    boolean holderFenced;
    /** A change of its record is queued or in flight. */
    boolean changePending;
    /** It counts towards the executions that this replica holds. */
    boolean held;
    /** The job has been submitted and has not ended. */
    boolean submitted;
    /** The outcome of the job until it is recorded; null: none yet. */
    How outcome;
    /** The retry delay that came with a refusal, in microseconds. */
    long retryAfter;
    /** Number of the last submission. */
    int attempt;
    /** The version of the fencing token under which it was submitted. */
    long submitFence;
    int refusals;
    int failures;
    /** Submissions under this claim beyond those that the record counts. */
    int retries;
    long notBefore;

    Execution(TrackedJob job, long scheduledTime, ExecutionRecord record, long version) {
        this.job = job;
        this.scheduledTime = scheduledTime;
        this.definition = job.definition;
        this.record = record;
        this.version = version;
    }

    /** Whether this process holds it, perhaps under a fencing token that it has lost since. */
    boolean isHeldBy(String self, long fence) {
        return record.holder().equals(self)
                && (record.fence() == fence || (submitted || outcome != null) && submitFence
                == record.fence());
    }

    /** The number of the next submission. */
    int nextAttempt() {
        return record.attempt() + retries;
    }

    /** How long to wait before the next submission, in microseconds. */
    long backoff() {
        return Math.max(retryAfter, RecoveryPolicy.backoff(refusals + failures));
    }

    /** Prepares another submission, not before a given time. */
    void resetSubmission(long pausedUntil) {
        submitted = false;
        outcome = null;
        notBefore = pausedUntil;
    }
}
