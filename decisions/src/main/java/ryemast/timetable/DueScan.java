package ryemast.timetable;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Finds the executions of a job that are due after its watermark, by its rule for missed ones. Scans the
 * scheduled times in batches of bounded length, so that a job with thousands of missed executions doesn't
 * delay others.
 */
final class DueScan {

    private final ScheduledJob definition;
    private final int maxBacklog;
    /** The missed executions that are to be run, the oldest first; null: none yet. */
    private Deque<Long> backlog;
    private long lastMissed;
    private long missedCount;
    private long next;
    private long dueAt;
    private boolean nextKnown;
    private long wall = Long.MIN_VALUE;

    DueScan(ScheduledJob definition, long watermark) {
        this.definition = definition;
        maxBacklog = switch (definition.missed()) {
            case SKIP -> 0;
            case LAST -> 1;
            case ALL -> definition.maxMissedRuns();
        };
        lastMissed = watermark;
    }

    /** Whether missed executions were counted by a wall clock that was ahead of this one. */
    boolean isStale(long byWall) {
        return byWall < wall && missedCount > 0;
    }

    /** Scans at most {@code budget} scheduled times; returns the unused budget, 0: not finished. */
    int scan(long byWall, int budget) {
        wall = byWall;
        for (int left = budget; left > 0; left--) {
            if (!nextKnown) {
                next = definition.next(lastMissed);
                dueAt = next == ScheduledJob.NEVER ? ScheduledJob.NEVER : definition.dueAt(next);
                nextKnown = true;
            }
            if (next == ScheduledJob.NEVER || dueAt + definition.window() >= wall) {
                return left;
            }
            nextKnown = false;
            lastMissed = next;
            missedCount++;
            if (maxBacklog > 0) {
                backlog = backlog == null ? new ArrayDeque<>(1) : backlog;
                backlog.addLast(next);
                if (backlog.size() > maxBacklog) {
                    backlog.removeFirst();
                }
            }
        }
        return 0;
    }

    private boolean hasBacklog() {
        return backlog != null && !backlog.isEmpty() && !(definition.missed() == ScheduledJob.Missed.LAST
                && dueAt <= wall);
    }

    /** The scheduled time to run now, or {@link ScheduledJob#NEVER}. */
    long firstToRun() {
        return hasBacklog() ? backlog.getFirst() : dueAt <= wall ? next : ScheduledJob.NEVER;
    }

    /** How many missed executions are skipped by running {@link #firstToRun}, or if there is none, in all. */
    long missedBefore() {
        return hasBacklog() ? missedCount - backlog.size() : missedCount;
    }

    /** The start deadline of the first one; the window of a missed execution begins now. */
    long startDeadline() {
        return (hasBacklog() ? wall : dueAt) + definition.window();
    }

    /** The last scheduled time whose start window has passed. */
    long lastMissed() {
        return lastMissed;
    }

    /** When the next execution is due, by the wall clock. */
    long dueAt() {
        return dueAt;
    }
}
