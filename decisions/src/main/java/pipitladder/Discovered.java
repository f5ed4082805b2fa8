package pipitladder;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import pipitladder.Dispatcher.ListKind;
import pipitladder.Ledger.Worker;
import ryemast.membership.ListFreshness;
import ryemast.pacing.DiscoveryCallSchedule;

/**
 * What discovery's word, and its silence, mean for the list of workers: when to ask again, and whether the
 * list is recent enough. Owned by {@link Brain}.
 */
final class Discovered {

    /** Discovery need not be asked. */
    static final long NO_CALL = -1;
    private static final long MICROS_PER_MS = 1_000;
    /** Of the time after which a worker closes an idle connection: so long one is kept here at least. */
    private static final double KEPT = 0.6;
    /** In this order each is seen again before its connection is closed; of those alike, with least out. */
    static final Comparator<Worker> USED_LEAST_LATELY =
            Comparator.comparingLong(Worker::usedAt).thenComparing(worker -> worker.attempts.size());

    private final ListFreshness age = new ListFreshness();
    private final DiscoveryCallSchedule calls;
    private final boolean pushed;
    private final long kept;
    private boolean wasOutdated;
    /** Workers that were used although the list was out of date, since it became so. */
    private final Set<String> reliedOn = new HashSet<>();
    private final List<String> lines = new ArrayList<>();

    /**
     * @param pushed    whether changes come unasked
     * @param connIdle  after how long a worker closes an idle connection
     */
    Discovered(DiscoveryCallSchedule calls, boolean pushed, long connIdle) {
        this.calls = calls;
        this.pushed = pushed;
        kept = (long) (connIdle * KEPT);
    }

    /** Discovery is not listened to any more; its last word came at {@code heardAt}. */
    void lost(long heardAt, long now) {
        age.discoveryLost(heardAt, now);
    }

    /** Whether the worker may get a job, as it can't count as draining or gone. */
    boolean permits(Worker worker, long now) {
        return age.mayUse(worker.health.processLife(), worker.health.lastAcceptedSentAt(), now);
    }

    /** When the worker's process started, or may have started unheard. */
    long startOf(Worker worker, long now) {
        return Math.max(worker.info.startedAt(), age.mayHaveStartedAt(worker.health.processLife(), now));
    }

    /**
     * Of these workers, those that can still be used once the list is out of date if they are used now, while
     * their connections are kept; none while discovery is heard, as there is no need.
     */
    Stream<Worker> outlastingList(Stream<Worker> workers, long now) {
        return age.isReceiving() ? Stream.empty()
                : workers.filter(worker -> worker.health.processLife().aliveUntil() > now - kept
                && age.outlastsList(worker.health.processLife(), now));
    }

    /** Until when an attempt that is sent there now may begin. */
    long usableUntil(Worker worker, long now) {
        if (age.isStale(now) && reliedOn.add(worker.id)) {
            long lived = (now - worker.health.processLife().aliveSince()) / MICROS_PER_MS;
            long sent = (now - worker.health.lastAcceptedSentAt()) / MICROS_PER_MS;
            lines.add("jobs go to " + worker.id + " though the list is out of date: it has been one process"
                    + " for " + lived + " ms and took one that was sent " + sent + " ms ago");
        }
        return age.usableUntil(worker.health.processLife(), worker.health.lastAcceptedSentAt(), now);
    }

    /** Whether the list is too old and no worker has proven itself: other dispatchers may know more. */
    boolean isOutdatedFor(Stream<Worker> listed, long now) {
        return age.isStale(now) && listed.noneMatch(worker -> permits(worker, now));
    }

    /** Takes in an update of the list; after how long discovery is to be asked, or {@link #NO_CALL}. */
    long follow(ListKind kind, long now) {
        switch (kind) {
            case FAILED, BROKEN, UNREACHABLE -> {
                return failed(kind, now);
            }
            case CHANGES, COMPLETE -> {
                calls.succeeded();
                age.updateReceived();
                return NO_CALL;
            }
            case CACHED -> {
                calls.succeeded();
                age.startedWithList(now);
                return pushed ? NO_CALL : calls.firstDelay(now);
            }
            default -> {
                return NO_CALL;
            }
        }
    }

    private long failed(ListKind kind, long now) {
        if (age.isReceiving()) {
            age.discoveryLost(now, now);
        }
        if (kind == ListKind.UNREACHABLE) {
            age.connectFailed(now);
        } else {
            age.callFailed();
        }
        long wait = switch (kind) {
            case BROKEN -> calls.connectionBroken(now);
            case UNREACHABLE -> calls.unreachable(now);
            default -> calls.failed(now);
        };
        if (!pushed) {
            lines.add("discovery is asked again in " + wait / MICROS_PER_MS + " ms, after "
                    + calls.describe());
        }
        return wait;
    }

    /** Lines for the operators since the last call: whether the list is too old, and what follows from it. */
    List<String> news(Stream<Worker> listed, long now) {
        if (age.isStale(now) != wasOutdated) {
            wasOutdated = !wasOutdated;
            reliedOn.clear();
            lines.add(wasOutdated ? "the list of workers is out of date, as discovery is not heard: jobs go"
                    + " only to workers that took one lately, now " + listed.filter(worker ->
                    permits(worker, now)).count() : age.isReceiving()
                            ? "the list of workers is up to date again"
                    : "discovery can't be reached: jobs go by the list of workers as it was");
        }
        var news = List.copyOf(lines);
        lines.clear();
        return news;
    }
}
