package pipitladder;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import pipitladder.Dispatcher.ListKind;
import pipitladder.DispatchState.Worker;
import ryemast.membership.ListFreshness;
import ryemast.pacing.DiscoveryCallSchedule;

/**
 * The state of discovery and what it means for the list of workers: when to call discovery again, and whether
 * the list is recent enough. Owned by {@link Brain}.
 */
final class DiscoveryState {

    /** No call to discovery is needed. */
    static final long NO_CALL = -1;
    private static final long MICROS_PER_MS = 1_000;
    /**
     * A connection is kept open here for at least this fraction of the time after which a worker closes an
     * idle one.
     */
    private static final double KEEP_FRACTION = 0.6;
    /**
     * In this order each worker is contacted before its connection is closed; ties go to the fewest
     * outstanding attempts.
     */
    static final Comparator<Worker> LEAST_RECENTLY_USED =
            Comparator.comparingLong(Worker::lastUsedAt).thenComparing(worker -> worker.attempts.size());

    private final ListFreshness listAge = new ListFreshness();
    private final DiscoveryCallSchedule calls;
    private final boolean pushed;
    private final long keepTime;
    private boolean wasOutdated;
    /** Workers that were used while the list has been out of date. */
    private final Set<String> usedWhileOutdated = new HashSet<>();
    private final List<String> logLines = new ArrayList<>();

    /**
     * @param pushed whether list changes arrive unsolicited
     * @param connIdle the time after which a worker closes an idle connection
     */
    DiscoveryState(DiscoveryCallSchedule calls, boolean pushed, long connIdle) {
        this.calls = calls;
        this.pushed = pushed;
        keepTime = (long) (connIdle * KEEP_FRACTION);
    }

    /** Discovery is no longer followed; its last update arrived at {@code heardAt}. */
    void onDiscoveryLost(long heardAt, long now) {
        listAge.discoveryLost(heardAt, now);
    }

    /** Whether the worker may get a job: it can't have been reported as draining or gone. */
    boolean permits(Worker worker, long now) {
        return listAge.mayUse(worker.health.processLife(), worker.health.lastAcceptedSentAt(), now);
    }

    /**
     * When the worker's process started, or may have restarted unnoticed while no updates came from
     * discovery.
     */
    long latestStartOf(Worker worker, long now) {
        return Math.max(worker.info.startedAt(), listAge.mayHaveStartedAt(worker.health.processLife(), now));
    }

    /**
     * The workers that remain usable once the list is out of date if they are used now, while their
     * connections are open; none while updates come from discovery, as this is not needed then.
     */
    Stream<Worker> outlastingList(Stream<Worker> workers, long now) {
        return listAge.isReceiving() ? Stream.empty()
                : workers.filter(worker -> worker.health.processLife().aliveUntil() > now - keepTime
                && listAge.outlastsList(worker.health.processLife(), now));
    }

    /** The latest time at which an attempt sent to the worker now may start. */
    long usableUntil(Worker worker, long now) {
        if (listAge.isStale(now) && usedWhileOutdated.add(worker.id)) {
            long livedMs = (now - worker.health.processLife().aliveSince()) / MICROS_PER_MS;
            long sentMsAgo = (now - worker.health.lastAcceptedSentAt()) / MICROS_PER_MS;
            logLines.add("worker " + worker.id
                    + " is used although the list is out of date: the same process has run"
                    + " for " + livedMs + " ms and accepted a job sent " + sentMsAgo + " ms ago");
        }
        return listAge.usableUntil(worker.health.processLife(), worker.health.lastAcceptedSentAt(), now);
    }

    /** Whether the list is out of date and no worker is proven usable: other dispatchers may know more. */
    boolean isOutdatedForAll(Stream<Worker> listed, long now) {
        return listAge.isStale(now) && listed.noneMatch(worker -> permits(worker, now));
    }

    /** Handles a list update; returns the delay until discovery is to be called, or {@link #NO_CALL}. */
    long onListUpdate(ListKind kind, long now) {
        switch (kind) {
            case FAILED, BROKEN, UNREACHABLE -> {
                return onFailedCall(kind, now);
            }
            case CHANGES, COMPLETE -> {
                calls.succeeded();
                listAge.updateReceived();
                return NO_CALL;
            }
            case CACHED -> {
                calls.succeeded();
                listAge.startedWithList(now);
                return pushed ? NO_CALL : calls.firstDelay(now);
            }
            default -> {
                return NO_CALL;
            }
        }
    }

    private long onFailedCall(ListKind kind, long now) {
        if (listAge.isReceiving()) {
            listAge.discoveryLost(now, now);
        }
        if (kind == ListKind.UNREACHABLE) {
            listAge.connectFailed(now);
        } else {
            listAge.callFailed();
        }
        long wait = switch (kind) {
            case BROKEN -> calls.connectionBroken(now);
            case UNREACHABLE -> calls.unreachable(now);
            default -> calls.failed(now);
        };
        if (!pushed) {
            logLines.add("retrying discovery in " + wait / MICROS_PER_MS + " ms, after "
                    + calls.describe());
        }
        return wait;
    }

    /** Log lines since the last call: whether the list is out of date, and the consequences. */
    List<String> takeLogLines(Stream<Worker> listed, long now) {
        if (listAge.isStale(now) != wasOutdated) {
            wasOutdated = !wasOutdated;
            usedWhileOutdated.clear();
            logLines.add(wasOutdated
                    ? "the list of workers is out of date, as discovery sends no updates: jobs go"
                    + " only to workers that accepted one recently, currently " + listed.filter(worker ->
                    permits(worker, now)).count() : listAge.isReceiving()
                            ? "the list of workers is up to date again"
                    : "discovery is unreachable: jobs are sent by the last known list of workers");
        }
        var taken = List.copyOf(logLines);
        logLines.clear();
        return taken;
    }
}
