package ryemast.timetable;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import ryemast.timetable.RecordContent.ExecutionRecord;
import ryemast.timetable.RecordContent.How;
import ryemast.timetable.RecordContent.State;
import ryemast.timetable.RecordContent.Watermark;
import ryemast.timetable.ScheduleAction.Write;

/** Builds the record changes, and applies their results. */
final class RecordWriter implements CommitQueue.CommitListener {

    private final ReplicaState replica;
    private final CommitQueue commits = new CommitQueue(this);

    RecordWriter(ReplicaState replica) {
        this.replica = replica;
    }

    CommitQueue commits() {
        return commits;
    }

    /** Takes over an execution from a holder that has been fenced. */
    void takeOver(Execution execution) {
        if (!replica.hasCapacity(execution.job)) {
            return;
        }
        replica.hold(execution);
        int attempt = (execution.record.attempt() / Execution.ATTEMPTS_PER_HOLDER
                + 1) * Execution.ATTEMPTS_PER_HOLDER;
        long until = execution.record.runsOnce() ? execution.record.startDeadline()
                : Math.max(execution.record.startDeadline(), replica.wall + execution.definition.window());
        writeRecord(execution, execution.record.withState(State.CLAIMED, How.NONE, "", replica.wall)
                .withHolder(replica.view.self(), replica.fence, attempt, until), true);
    }

    /** Records an end; rejected, with the rest of the commit, if another end was recorded first. */
    void recordEnd(Execution execution, TransitionRules.Next next) {
        var record = execution.record;
        var how = next == TransitionRules.Next.UNKNOWN ? How.NONE : How.valueOf(next.name());
        String why = switch (next) {
            case SERVED -> "";
            case FAILED -> record.runsOnce() ? "it failed or was lost, and must not run twice"
                    : "it failed " + execution.failures
                            + " times, or could not be started again in its window";
            case REFUSED -> "it was turned away until its window had passed; it has not run";
            case LATE -> "its window had passed before it could be sent; it has not run";
            default -> record.runsOnce() ? record.holder()
                    + " was lost between 'sent' and its end; it may have run"
                    : record.holder()
                            + " was lost, and the timetable lacks the entry by now; it may have run";
        };
        writeRecord(execution, record.withState(next == TransitionRules.Next.UNKNOWN ? State.UNKNOWN
                : State.ENDED, how, why, replica.wall)
                .withHolder(replica.view.self(), replica.fence, record.attempt(), record.startDeadline()),
                false);
    }

    void writeRecord(Execution execution, ExecutionRecord to, boolean needsLease) {
        execution.changePending = true;
        execution.job.pendingChanges++;
        commits.enqueue(new PendingChange(execution.job, execution, to, null, needsLease, false, List.of(),
                List.of(new Write(execution.job.name, execution.scheduledTime, to, execution.version))),
                true);
    }

    void writeWatermark(TrackedJob job, Watermark watermark, boolean claims) {
        enqueue(job, null, null, watermark, claims, job.expiredRecords(replica.wall, replica.limits));
    }

    /** Claims the execution of a scheduled time, and advances the watermark in the same commit. */
    void claim(TrackedJob job, long scheduledTime, Watermark watermark, long until) {
        var record = new ExecutionRecord(State.CLAIMED, replica.view.self(), replica.fence, 0,
                job.definition.runsOnce(), replica.wall, until, How.NONE, "");
        var execution = new Execution(job, scheduledTime, record, 0);
        replica.hold(execution);
        execution.changePending = true;
        job.executions.put(scheduledTime, execution);
        enqueue(job, execution, record, watermark, true, job.expiredRecords(replica.wall, replica.limits));
    }

    /**
     * Deletes all records of a job; if they don't fit into one commit, the watermark is deleted with the
     * last.
     */
    void deleteRecords(TrackedJob job) {
        int most = CommitQueue.MAX_WRITES - 1;
        enqueue(job, null, null, job.ended.size() > most ? job.watermark : null, false,
                job.ended.stream().limit(most).toList());
    }

    /**
     * Queues a change of the watermark, with the claim of an execution if there is one, and the deletion of
     * expired records.
     */
    private void enqueue(TrackedJob job, Execution execution, ExecutionRecord record, Watermark watermark,
            boolean claims, List<TrackedJob.EndedExecution> purged) {
        job.watermarkPending = true;
        job.pendingChanges++;
        var writes = new ArrayList<Write>();
        writes.add(job.watermarkWrite(watermark));
        if (execution != null) {
            writes.add(new Write(job.name, execution.scheduledTime, record, 0));
        }
        purged.forEach(each -> writes.add(new Write(job.name, each.scheduledTime(), null, each.version())));
        commits.enqueue(new PendingChange(job, execution, record, watermark, true, claims, purged, writes),
                claims);
    }

    @Override
    public void onCommitted(PendingChange change, List<Long> versions) {
        var job = change.job();
        finish(change);
        job.conflicts = 0;
        job.ended.removeAll(change.purged());
        if (change.record() == null || change.execution().version == 0) {
            logMissed(job, change.watermark());
            job.watermark = change.watermark();
            job.watermarkVersion = change.watermark() == null ? 0 : versions.get(0);
            job.dueScan = null;
        }
        if (change.record() != null) {
            var execution = change.execution();
            long version = versions.get(execution.version == 0 ? 1 : 0);
            if (version > execution.version) {
                applyRecord(execution, change.record(), version);
            }
        }
    }

    private void logMissed(TrackedJob job, Watermark to) {
        if (to != null && job.watermark != null && to.missed() > job.watermark.missed()) {
            replica.actions.add(new ScheduleAction.Log(true, job.name, to.scheduledTime(),
                    (to.missed() - job.watermark.missed())
                    + " executions up to this one were skipped because their start window had passed"));
        }
    }

    private void applyRecord(Execution execution, ExecutionRecord record, long version) {
        boolean newAttempt = record.attempt() != execution.record.attempt();
        execution.record = record;
        execution.version = version;
        execution.holderFenced = false;
        if (newAttempt) {
            execution.retries = 0;
            execution.resetSubmission(replica.now + (execution.refusals > 0 ? execution.backoff() : 0));
        }
        if (!record.isOpen()) {
            execution.job.executions.remove(execution.scheduledTime);
            execution.job.ended.add(new TrackedJob.EndedExecution(execution.scheduledTime, version,
                    record.recordedAt()));
            replica.onEnded(execution);
            if (record.state() == State.UNKNOWN) {
                replica.warn(execution, "its outcome is unknown: " + record.reason()
                        + "; it is not run again: check on the workers whether it ran, and submit it manually"
                        + " if it did not");
            } else if (record.outcome() != How.SERVED) {
                replica.warn(execution,
                        "it ended as " + record.outcome().name()
                        .toLowerCase(Locale.ROOT) + ": " + record.reason());
            }
        }
    }

    private void finish(PendingChange change) {
        var job = change.job();
        job.pendingChanges--;
        job.lastChange = ++replica.order;
        if (change.execution() == null || change.watermark() != null) {
            job.watermarkPending = false;
        }
        if (change.execution() != null) {
            change.execution().changePending = false;
        }
        replica.queue.addReady(job);
    }

    @Override
    public void onDropped(PendingChange change, boolean conflict) {
        var job = change.job();
        var execution = change.execution();
        finish(change);
        if (execution != null && execution.version == 0) {
            job.executions.remove(execution.scheduledTime);
            replica.release(execution);
        } else if (execution != null && !replica.isHeldHere(execution)) {
            replica.release(execution);
        }
        if (conflict) {
            job.conflicts++;
            job.known = false;
            commits.drop(each -> each.job() == job, false);
        }
    }
}
