package ryemast.timetable;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.ToLongFunction;

/**
 * Jobs waiting for evaluation: ready now, due at a time of either clock, or waiting for the lease or for free
 * capacity.
 */
final class EvaluationQueue {

    private final Set<TrackedJob> ready = new LinkedHashSet<>();
    private final Set<TrackedJob> awaitingLease = new LinkedHashSet<>();
    /** In the order in which they became due. */
    private final Set<TrackedJob> awaitingCapacity = new LinkedHashSet<>();
    private final TreeSet<TrackedJob> byWallTime = new TreeSet<>(orderedBy(each -> each.wallDueAt));
    private final TreeSet<TrackedJob> byMonotonicTime = new TreeSet<>(orderedBy(each -> each.monotonicDueAt));

    private static Comparator<TrackedJob> orderedBy(ToLongFunction<TrackedJob> time) {
        return Comparator.comparingLong(time).thenComparing(each -> each.name);
    }

    void addReady(TrackedJob job) {
        ready.add(job);
    }

    void awaitLease(TrackedJob job) {
        awaitingLease.add(job);
    }

    void awaitCapacity(TrackedJob job) {
        awaitingCapacity.add(job);
    }

    /** Makes all jobs ready that waited for the lease. */
    void leaseRegained() {
        ready.addAll(awaitingLease);
        awaitingLease.clear();
    }

    /** Makes the longest waiting job ready, after one execution has been released. */
    void capacityFreed() {
        var waiting = awaitingCapacity.iterator();
        if (waiting.hasNext()) {
            ready.add(waiting.next());
            waiting.remove();
        }
    }

    /** Makes all jobs ready whose time has come on either clock. */
    void moveDue(long monoNow, long wallNow) {
        while (!byMonotonicTime.isEmpty() && byMonotonicTime.first().monotonicDueAt <= monoNow) {
            ready.add(byMonotonicTime.pollFirst());
        }
        while (!byWallTime.isEmpty() && byWallTime.first().wallDueAt <= wallNow) {
            ready.add(byWallTime.pollFirst());
        }
    }

    /** Removes and returns the next ready job and clears its timers; null: none is ready. */
    TrackedJob poll() {
        if (ready.isEmpty()) {
            return null;
        }
        var job = ready.iterator().next();
        ready.remove(job);
        byWallTime.remove(job);
        byMonotonicTime.remove(job);
        job.wallDueAt = Long.MAX_VALUE;
        job.monotonicDueAt = Long.MAX_VALUE;
        return job;
    }

    /** Enters a job by its due times; {@link Long#MAX_VALUE}: no timer. */
    void addTimers(TrackedJob job) {
        if (job.wallDueAt != Long.MAX_VALUE) {
            byWallTime.add(job);
        }
        if (job.monotonicDueAt != Long.MAX_VALUE) {
            byMonotonicTime.add(job);
        }
    }

    void remove(TrackedJob job) {
        ready.remove(job);
        awaitingLease.remove(job);
        awaitingCapacity.remove(job);
    }

    /** When the next job is due, on the monotonic clock of the event loop. */
    long nextDue(long monoNow, long wallNow) {
        if (!ready.isEmpty()) {
            return monoNow;
        }
        long at = byWallTime.isEmpty() ? Long.MAX_VALUE
                : monoNow + Math.max(0, byWallTime.first().wallDueAt - wallNow);
        return byMonotonicTime.isEmpty() ? at : Math.min(at, byMonotonicTime.first().monotonicDueAt);
    }
}
