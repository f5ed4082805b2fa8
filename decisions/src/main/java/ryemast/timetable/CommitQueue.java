package ryemast.timetable;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import ryemast.timetable.ScheduleAction.Commit;
import ryemast.timetable.ScheduleAction.Write;

/**
 * Queue of record changes, committed one batch at a time: changes that arrive during a commit go into the
 * next one (group commit). A commit whose answer was lost is sent again until its result is known: as each of
 * its changes names a version, it can't be applied twice, and once the second sending is answered the first
 * can't be applied any more.
 */
final class CommitQueue {

    /** The 32 records that a commit may name, less one each for the fencing token and the revision. */
    static final int MAX_WRITES = 30;
    private static final long MIN_BACKOFF = 50_000;
    private static final long MAX_BACKOFF = 2_000_000;

    /** Receives the results of changes. */
    interface CommitListener {
        void onCommitted(PendingChange change, List<Long> versions);

        /** The change was not applied; {@code conflict}: the known state of its records is outdated. */
        void onDropped(PendingChange change, boolean conflict);
    }

    private final Deque<PendingChange> urgentQueue = new ArrayDeque<>();
    /** Changes without urgency. */
    private final Deque<PendingChange> backgroundQueue = new ArrayDeque<>();
    private final CommitListener listener;
    private List<PendingChange> inFlight = List.of();
    private Commit commit;
    private boolean inDoubt;
    /** When to continue after a failure; {@link Long#MAX_VALUE}: an answer is awaited. */
    private long resumeAt = Long.MIN_VALUE;
    private long backoff;
    private long lastId;

    CommitQueue(CommitListener ends) {
        this.listener = ends;
    }

    void enqueue(PendingChange change, boolean urgent) {
        (urgent ? urgentQueue : backgroundQueue).addLast(change);
    }

    /** Drops queued changes that have not been sent. */
    void drop(Predicate<PendingChange> which, boolean conflict) {
        for (var queue : List.of(urgentQueue, backgroundQueue)) {
            var dropped = queue.stream().filter(which).toList();
            queue.removeAll(new HashSet<>(dropped));
            dropped.forEach(each -> listener.onDropped(each, conflict));
        }
    }

    boolean isIdle() {
        return commit == null && urgentQueue.isEmpty();
    }

    /** Ends the backoff, as the cause of failures is probably gone. */
    void resume(long now) {
        backoff = 0;
        resumeAt = resumeAt == Long.MAX_VALUE ? resumeAt : Math.min(resumeAt, now);
    }

    /** When {@link #sendIfDue} has something to do. */
    long dueAt() {
        return commit == null && urgentQueue.isEmpty() && backgroundQueue.isEmpty() ? Long.MAX_VALUE
                : resumeAt;
    }

    /** Sends the commit again whose result is unknown, or makes the next one. */
    void sendIfDue(long now, long fence, long revision, Consumer<ScheduleAction> out) {
        if (now < resumeAt || resumeAt == Long.MAX_VALUE) {
            return;
        }
        if (commit == null) {
            prepareCommit(fence, revision);
        } else {
            commit = new Commit(++lastId, commit.fence(), commit.revision(), commit.writes());
        }
        if (commit != null) {
            resumeAt = Long.MAX_VALUE;
            out.accept(commit);
        }
    }

    private void prepareCommit(long fence, long revision) {
        var writes = new ArrayList<Write>();
        var changes = new ArrayList<PendingChange>();
        var keys = new HashSet<List<Object>>();
        for (var queue : List.of(urgentQueue, backgroundQueue)) {
            while (!queue.isEmpty() && fits(queue.peekFirst(), changes, writes.size(), keys)) {
                var change = queue.removeFirst();
                changes.add(change);
                writes.addAll(change.writes());
            }
        }
        if (!changes.isEmpty()) {
            inFlight = changes;
            commit = new Commit(++lastId, fence, changes.stream().anyMatch(PendingChange::claims) ? revision
                    : 0, writes);
        }
    }

    /** A job with conflicts is committed alone, so that it can't block others. */
    private static boolean fits(PendingChange change, List<PendingChange> with, int size,
            Set<List<Object>> keys) {
        boolean alone = with.stream().anyMatch(each -> each.job().conflicts > 0);
        if (!with.isEmpty() && (alone || change.job().conflicts > 0)
                || size + change.writes().size() > MAX_WRITES) {
            return false;
        }
        var own = change.writes().stream().map(each -> List.<Object>of(each.jobName(), each.scheduledTime()))
                .toList();
        if (own.stream().anyMatch(keys::contains)) {
            return false;
        }
        keys.addAll(own);
        return true;
    }

    void onAnswer(long id, CommitResult result, List<Long> versions, long now) {
        if (commit == null || commit.id() != id) {
            return;
        }
        if (result == CommitResult.UNKNOWN || result == CommitResult.NOT_DONE && inDoubt) {
            inDoubt = true;
            resumeAt = now + nextBackoff();
            return;
        }
        var finished = inFlight;
        commit = null;
        inFlight = List.of();
        inDoubt = false;
        if (result == CommitResult.DONE) {
            backoff = 0;
            resumeAt = now;
            int at = 0;
            for (var change : finished) {
                int end = at + change.writes().size();
                listener.onCommitted(change, versions.subList(at, end));
                at = end;
            }
        } else {
            resumeAt = now + nextBackoff();
            finished.forEach(each -> listener.onDropped(each, result == CommitResult.CONFLICT));
        }
    }

    private long nextBackoff() {
        backoff = Math.min(MAX_BACKOFF, Math.max(MIN_BACKOFF, backoff * 2));
        return backoff;
    }
}
