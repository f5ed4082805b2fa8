package ryemast.timetable;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import ryemast.fleet.FleetView;
import ryemast.fleet.MemberClock;
import ryemast.timetable.RecordContent.How;
import ryemast.timetable.RecordContent.State;
import ryemast.timetable.RecordContent.Watermark;

/**
 * The schedule as one replica of a fleet runs it: takes events and times, returns actions. Guarantees, over
 * all replicas and under any failure, that no execution is claimed twice, that a job that must run at most
 * once is submitted at most once, and that the end of an execution is recorded once; and that as long as one
 * replica and the records are available, each execution that is due ends, or is skipped by its job's rule.
 * Safety rests on compare-and-set alone: a claim advances the job's watermark and creates the execution's
 * record in one commit under the holder's fencing token (leases: Gray and Cheriton, 1989; fencing tokens: the
 * sequencers of Burrows' Chubby, 2006). Leases, ownership and the wall clock only decide who tries, and when.
 *
 * <p>Actions follow from the current records and submissions ({@link TransitionRules}), not from the order of
 * events, so that any doubt is resolved by reading. Event loop and (Unix) wall times are in microseconds.
 */
public final class Scheduler {

    /** Scheduled times scanned in one call: computing one may take some 30 us, and other work waits. */
    private static final int BUDGET = 300;
    /** A step of the wall clock is noticed within that time. */
    private static final long WALL_CHECK = 500_000;
    /** A larger change of the wall clock's offset between two calls is a clock step. */
    private static final long WALL_STEP = 2_000_000;
    private static final long RECHECK_LOST = 500_000;
    private static final long RECHECK_FIRST = 2_000_000;
    private static final long RECHECK_LONGEST = 30_000_000;
    private static final long RECHECK_DUE = 1_000_000;
    private static final long SECOND = 1_000_000;

    private final BiFunction<String, FleetView, String> ownerOf;
    private final ReplicaState replica;
    private final RecordWriter writer;
    private final CommitQueue commits;
    private final RecordReader reader = new RecordReader();
    private Map<String, ScheduledJob> definitions = Map.of();
    private final Map<String, TrackedJob> jobs = new HashMap<>();
    private FleetView eligible;
    /** The part of a read that has not been applied yet; null: nothing. */
    private ReadResult readResult;
    private final FleetClock clocks = new FleetClock();
    private boolean overruled;
    private long wallOffset;
    private boolean wallKnown;

    private record ReadResult(Iterator<String> jobNames, Map<String, List<VersionedRecord>> records,
            Map<String, Long> fences, long startOrder, long readAt) {
    }

    /** {@code ownerOf}: the member of a fleet view that owns a job. */
    public Scheduler(Limits limits, BiFunction<String, FleetView, String> ownerOf) {
        this.ownerOf = ownerOf;
        replica = new ReplicaState(limits);
        writer = new RecordWriter(replica);
        commits = writer.commits();
        eligible = replica.view;
    }

    /** Replaces the scheduled jobs; claimed executions keep the definition of their claim. */
    public void setJobs(Collection<? extends ScheduledJob> newJobs) {
        var fresh = new HashMap<String, ScheduledJob>();
        newJobs.forEach(each -> fresh.put(each.name(), each));
        definitions = fresh;
        updateOwnership();
    }

    /**
     * Updates the view of the fleet.
     *
     * @param able      the members that have the schedule's highest revision
     * @param revision  the version of the record of that revision
     * @param ownFence  the version of this replica's fencing token, 0: none
     */
    public void updateFleet(FleetView current, List<String> able, long revision, long ownFence) {
        boolean regained = current.mayAct() && !replica.view.mayAct();
        boolean changed = current.epoch() != replica.view.epoch() || !able.equals(eligible.members())
                || ownFence != replica.fence || !current.self().equals(replica.view.self());
        replica.view = current;
        if (revision != replica.revision) {
            // Claims that were decided by the old revision must not be made under the new one.
            replica.revision = revision;
            commits.drop(PendingChange::claims, false);
        }
        if (changed) {
            eligible = new FleetView(current.epoch(), able, current.self(), current.mayAct(),
                    current.mayActUntil());
            if (ownFence != replica.fence) {
                replica.setFence(ownFence);
                commits.drop(each -> true, false);
            }
            updateOwnership();
        }
        if (regained) {
            replica.queue.leaseRegained();
            commits.resume(replica.now);
            reader.resume(replica.now);
        }
    }

    /** The other members' wall clocks as last reported. */
    public void updateClocks(Collection<MemberClock> reported) {
        clocks.update(reported);
    }

    /** Stops claims and takeovers; submitted jobs run to their end. */
    public void drain() {
        replica.draining = true;
    }

    /** Whether no job is submitted and all ends are recorded. */
    public boolean isQuiet() {
        return commits.isIdle() && jobs.values().stream()
                .flatMap(job -> job.executions.values().stream())
                .noneMatch(each -> each.submitted || each.outcome != null);
    }

    /** Number of executions that this replica holds. */
    public int heldCount() {
        return replica.held;
    }

    public int ownedCount() {
        return (int) jobs.values().stream().filter(each -> each.owned).count();
    }

    /** Whether a job's records are needed here: others need not be parsed. */
    public boolean isRelevant(String jobName) {
        return jobs.containsKey(jobName) || !definitions.containsKey(jobName) && isOwner(jobName);
    }

    private boolean isOwner(String jobName) {
        return replica.fence != 0 && eligible.members().contains(eligible.self())
                && eligible.self().equals(ownerOf.apply(jobName, eligible));
    }

    private void updateOwnership() {
        for (var definition : definitions.values()) {
            if (isOwner(definition.name())) {
                track(definition.name());
            }
        }
        for (var job : jobs.values()) {
            var before = job.definition;
            job.definition = definitions.get(job.name);
            job.owned = isOwner(job.name);
            if (job.definition != before) {
                job.dueScan = null;
            }
            replica.queue.addReady(job);
        }
        reader.requestAll();
    }

    private TrackedJob track(String name) {
        return jobs.computeIfAbsent(name, TrackedJob::new);
    }

    /**
     * Takes the result of a read; applied in parts by the next calls of {@link #evaluate}.
     *
     * @param records  by job, those that are {@link #isRelevant relevant}; null if the read failed
     * @param fences   the fencing tokens by holder, read after the records
     */
    public void onRead(long id, Map<String, List<VersionedRecord>> records, Map<String, Long> fences,
            long at) {
        replica.now = Math.max(replica.now, at);
        var read = reader.onAnswer(id, records != null, at);
        if (read == null) {
            return;
        }
        records.keySet().stream().filter(this::isRelevant).forEach(this::track);
        replica.fenced |= fences.getOrDefault(replica.view.self(), replica.fence) > replica.fence;
        var names = read.isEmpty() ? List.copyOf(jobs.keySet()) : read;
        readResult = new ReadResult(names.iterator(), records, fences, reader.startOrder(), at);
    }

    private void applyRead() {
        for (int left = BUDGET; left > 0 && readResult.jobNames.hasNext(); left--) {
            var name = readResult.jobNames.next();
            var job = jobs.get(name);
            if (job != null && job.pendingChanges == 0 && job.lastChange <= readResult.startOrder) {
                job.owned = isOwner(name);
                job.definition = definitions.get(name);
                var lost = job.applyRead(readResult.records.getOrDefault(name, List.of()), readResult.fences,
                        readResult.readAt);
                lost.forEach(this::endedElsewhere);
                job.recheckAt = Long.MAX_VALUE;
                replica.queue.addReady(job);
            } else if (job != null && !job.known) {
                reader.request(name);
            } else if (job != null) {
                // It changed since the read began, which may be outdated; others' executions are reread soon.
                job.recheckAt = Math.min(job.recheckAt, replica.now + RECHECK_LOST);
                replica.queue.addReady(job);
            }
        }
        if (!readResult.jobNames.hasNext()) {
            readResult = null;
        }
    }

    /** Another replica has ended the execution. */
    private void endedElsewhere(Execution execution) {
        replica.onEnded(execution);
        if (execution.submitted) {
            replica.actions.add(new ScheduleAction.Withdraw(execution.job.name, execution.scheduledTime,
                    execution.attempt));
            replica.warn(execution, "another dispatcher recorded its end while it ran here; that end stands");
        }
    }

    /** {@code versions}: in the order of the commit's writes, if committed. */
    public void onCommitted(long id, CommitResult result, List<Long> versions, long at) {
        replica.now = Math.max(replica.now, at);
        commits.onAnswer(id, result, versions, at);
    }

    private Execution findSubmitted(String jobName, long scheduledTime, int attempt) {
        var job = jobs.get(jobName);
        var execution = job == null ? null : job.executions.get(scheduledTime);
        return execution == null || !execution.submitted || execution.attempt != attempt ? null : execution;
    }

    /** The job was not submitted, as the lease had expired by that moment. */
    public void onWithheld(String jobName, long scheduledTime, int attempt) {
        var execution = findSubmitted(jobName, scheduledTime, attempt);
        if (execution != null) {
            replica.unmarkSubmitted(execution);
            execution.resetSubmission(replica.now + RECHECK_LOST);
            replica.queue.addReady(execution.job);
        }
    }

    /** Takes the outcome of a job; {@code retryAfter}: delay advised with a refusal, us, 0: none. */
    public void onOutcome(String jobName, long scheduledTime, int attempt, How how, long retryAfter) {
        var execution = findSubmitted(jobName, scheduledTime, attempt);
        if (execution != null) {
            execution.submitted = false;
            execution.outcome = how;
            execution.retryAfter = retryAfter;
            execution.refusals += how == How.REFUSED ? 1 : 0;
            execution.failures += how == How.FAILED ? 1 : 0;
            replica.queue.addReady(execution.job);
        }
    }

    /** Evaluates all jobs that are due and returns the actions; only the wall clock may go back. */
    public List<ScheduleAction> evaluate(long at, long wallNow) {
        replica.now = Math.max(replica.now, at);
        detectClockStep(wallNow);
        replica.wall = clocks.effectiveWallTime(replica.now, wallNow);
        logClockOverrule(wallNow);
        if (readResult != null) {
            applyRead();
        }
        replica.queue.moveDue(replica.now, replica.wall);
        int budget = BUDGET;
        for (var job = replica.queue.poll(); job != null; job = budget > 0 ? replica.queue.poll() : null) {
            budget = Math.min(budget - 1, evaluate(job, budget));
        }
        if (!replica.view.mayAct()) {
            commits.drop(PendingChange::needsLease, false);
        }
        if (replica.fence != 0 && !replica.fenced) {
            commits.sendIfDue(replica.now, replica.fence, replica.revision, replica.actions::add);
        }
        if (readResult == null) {
            reader.startIfDue(replica.now, ++replica.order, replica.actions::add);
        }
        var todo = replica.actions;
        replica.actions = new ArrayList<>();
        return todo;
    }

    private void logClockOverrule(long wallNow) {
        if (clocks.overruled() != overruled) {
            overruled = clocks.overruled();
            replica.actions.add(new ScheduleAction.Log(true, "", 0, overruled
                    ? "the local wall clock differs by " + (wallNow - replica.wall) / SECOND
                    + " s from the clocks of most fleet members; scheduled jobs"
                    + " use the fleet's time until it is corrected; check the host's time service"
                    : "the local wall clock is within " + FleetClock.MAX_OFFSET / SECOND
                    + " s of the clocks of most fleet members, or these are unknown; scheduled jobs use it"));
        }
    }

    private void detectClockStep(long wallNow) {
        long ahead = wallNow - replica.now;
        if (wallKnown && Math.abs(ahead - wallOffset) > WALL_STEP) {
            replica.actions.add(new ScheduleAction.Log(true, "", 0, "the wall clock was set "
                    + (ahead > wallOffset ? "forward" : "back") + " by "
                    + Math.abs(ahead - wallOffset) / SECOND + " s; nothing runs twice, and executions past"
                    + " their start window follow their job's missed rule; check the host's time service"));
        }
        wallKnown = true;
        wallOffset = ahead;
    }

    /** When to call {@link #evaluate} next if nothing happens before, on the event loop's clock. */
    public long nextDue() {
        long at = Math.min(jobs.isEmpty() ? Long.MAX_VALUE : replica.now + WALL_CHECK,
                replica.queue.nextDue(replica.now, replica.wall));
        at = Math.min(at, replica.fence == 0 || replica.fenced ? Long.MAX_VALUE : commits.dueAt());
        return readResult != null ? replica.now : Math.max(replica.now, Math.min(at, reader.dueAt()));
    }

    /** Evaluates one job; returns the unused budget. */
    private int evaluate(TrackedJob job, int budget) {
        int left = budget;
        if (!job.known) {
            boolean readPending = readResult != null && job.lastChange <= readResult.startOrder
                    || reader.readsAll();
            if (!readPending) {
                reader.request(job.name);
            }
            return left;
        }
        List.copyOf(job.executions.values()).forEach(this::apply);
        if (job.owned && !job.unreadable && !job.watermarkPending) {
            left = job.definition == null ? purgeOrphan(job, left) : claimDue(job, left);
        }
        if (!job.owned && job.pendingChanges == 0 && job.executions.values().stream().noneMatch(
                each -> each.submitted || each.outcome != null || replica.isHeldHere(each))) {
            job.executions.values().forEach(replica::release);
            jobs.remove(job.name);
            replica.queue.remove(job);
            return left;
        }
        scheduleRecheck(job);
        if (job.unreadable) {
            recheckUnreadable(job);
        }
        replica.queue.addTimers(job);
        return left;
    }

    /** Rereads executions that others hold: rarely while the holders are members, soon once they left. */
    private void scheduleRecheck(TrackedJob job) {
        var foreign = job.executions.values().stream().filter(each -> !each.changePending
                && !replica.isHeldHere(each)).toList();
        if (foreign.isEmpty() || !job.owned) {
            job.recheckAt = Long.MAX_VALUE;
            job.recheckInterval = 0;
            return;
        }
        if (job.recheckAt <= replica.now) {
            reader.request(job.name);
            job.recheckAt = Long.MAX_VALUE;
        }
        if (job.recheckAt == Long.MAX_VALUE) {
            var members = replica.view.members();
            boolean lost = foreign.stream().anyMatch(each -> !members.contains(each.record.holder()));
            job.recheckInterval = Math.min(RECHECK_LONGEST, Math.max(RECHECK_FIRST, job.recheckInterval * 2));
            job.recheckAt = replica.now + (lost ? RECHECK_LOST : job.recheckInterval);
        }
        job.monotonicDueAt = Math.min(job.monotonicDueAt, job.recheckAt);
    }

    /** Rereads an unreadable watermark, as an operator may have repaired it. */
    private void recheckUnreadable(TrackedJob job) {
        long at = job.readAt + RECHECK_LONGEST;
        if (at <= replica.now) {
            reader.request(job.name);
        } else {
            job.monotonicDueAt = Math.min(job.monotonicDueAt, at);
        }
    }

    private void apply(Execution execution) {
        var job = execution.job;
        if (replica.isHeldHere(execution)) {
            replica.hold(execution);
        }
        var context = new TransitionRules.Context(replica.now, replica.wall, replica.view.self(),
                replica.fenced ? 0 : replica.fence, replica.view.mayAct(), job.owned && !replica.draining,
                replica.wasSubmitted(execution), replica.limits.maxFailures());
        var next = TransitionRules.next(execution, context);
        switch (next) {
            case NOTHING, HELD_BY_OTHER -> { }
            case AWAIT_LEASE -> replica.queue.awaitLease(job);
            case AWAIT_BACKOFF -> job.monotonicDueAt = Math.min(job.monotonicDueAt, execution.notBefore);
            case RECORD_SENT -> {
                if (!replica.draining) {
                    writer.writeRecord(execution, execution.record.withState(State.SENT, How.NONE, "",
                            replica.wall), true);
                }
            }
            case SUBMIT -> submit(execution);
            case RECORD_REFUSAL -> writer.writeRecord(execution,
                    execution.record.withState(State.CLAIMED, How.NONE, "", replica.wall)
                    .withHolder(replica.view.self(), replica.fence, execution.record.attempt() + 1,
                    execution.record.startDeadline()), false);
            case RETRY -> {
                execution.retries++;
                execution.resetSubmission(replica.now + execution.backoff());
                replica.queue.addReady(job);
            }
            case TAKE_OVER -> writer.takeOver(execution);
            case WITHDRAW -> {
                replica.actions.add(new ScheduleAction.Withdraw(job.name, execution.scheduledTime,
                        execution.attempt));
                execution.resetSubmission(0);
                replica.release(execution);
                replica.queue.addReady(job);
            }
            case SERVED, FAILED, REFUSED, LATE, UNKNOWN -> writer.recordEnd(execution, next);
            default -> throw new IllegalStateException(next.name());
        }
    }

    private void submit(Execution execution) {
        if (replica.draining) {
            return;
        }
        execution.submitted = true;
        execution.attempt = execution.nextAttempt();
        execution.submitFence = replica.fence;
        if (execution.record.runsOnce()) {
            replica.markSubmitted(execution);
        }
        replica.actions.add(new ScheduleAction.Submit(execution.definition, execution.scheduledTime,
                execution.attempt));
    }

    private int claimDue(TrackedJob job, int budget) {
        if (job.watermarkVersion == 0) {
            if (replica.mayClaim(job)) {
                writer.writeWatermark(job, new Watermark(Math.floorDiv(replica.wall, SECOND) * SECOND, 0, 0),
                        false);
            }
            return budget;
        }
        if (job.dueScan == null || job.dueScan.isStale(replica.wall)) {
            job.dueScan = new DueScan(job.definition, job.watermark.scheduledTime());
        }
        var due = job.dueScan;
        int left = due.scan(replica.wall, budget);
        if (left == 0) {
            replica.queue.addReady(job);
            return 0;
        }
        long first = due.firstToRun();
        if (first == ScheduledJob.NEVER && due.missedBefore() == 0) {
            job.wallDueAt = due.dueAt();
        } else if (replica.mayClaim(job)) {
            var watermark = new Watermark(first == ScheduledJob.NEVER ? due.lastMissed() : first,
                    job.watermark.missed() + due.missedBefore(), job.watermark.skipped());
            if (first == ScheduledJob.NEVER) {
                writer.writeWatermark(job, watermark, true);
            } else if (!isBlockedByOverlap(job, watermark) && replica.hasCapacity(job)) {
                writer.claim(job, first, watermark, due.startDeadline());
            }
        }
        return left;
    }

    /** Whether open executions prevent the next one; applies the job's overlap rule if so. */
    private boolean isBlockedByOverlap(TrackedJob job, Watermark watermark) {
        var overlap = job.definition.overlap();
        if (job.executions.isEmpty() || overlap == ScheduledJob.Overlap.ALLOW
                && job.executions.size() < replica.limits.maxOpen()) {
            return false;
        }
        boolean foreign = !job.executions.values().stream().allMatch(replica::isHeldHere);
        if (foreign && job.readAt + RECHECK_DUE <= replica.now) {
            reader.request(job.name);
        } else if (overlap == ScheduledJob.Overlap.SKIP) {
            writer.writeWatermark(job, new Watermark(watermark.scheduledTime(), watermark.missed(),
                    watermark.skipped() + 1), true);
        } else if (foreign) {
            job.recheckAt = Math.min(job.recheckAt, job.readAt + RECHECK_DUE);
        }
        return true;
    }

    /** Deletes the records of a job that the schedule lacks, once their retention has passed. */
    private int purgeOrphan(TrackedJob job, int budget) {
        if (job.executions.isEmpty() && job.watermark != null
                && job.watermark.scheduledTime() + replica.limits.orphanRetention() < replica.wall
                && replica.mayClaim(job)) {
            writer.deleteRecords(job);
        }
        return budget - 1;
    }
}
