package pipitladder;

import java.util.Optional;
import java.util.stream.Stream;
import pipitladder.Dispatcher.ListKind;
import pipitladder.Ledger.Worker;
import ryemast.membership.ListAge;
import ryemast.pacing.ListCalls;

/**
 * What discovery's word, and its silence, mean for the list of workers: when to ask again, and whether the
 * list is recent enough. Owned by {@link Brain}.
 */
final class Discovered {

    /** Discovery need not be asked. */
    static final long NO_CALL = -1;

    private final ListAge age = new ListAge();
    private final ListCalls calls;
    private final boolean pushed;
    private boolean wasOutdated;

    /** {@code pushed}: whether changes come unasked. */
    Discovered(ListCalls calls, boolean pushed) {
        this.calls = calls;
        this.pushed = pushed;
    }

    /** Discovery is not listened to any more; its last word came at {@code heardAt}. */
    void lost(long heardAt, long now) {
        age.lost(heardAt, now);
    }

    /** Whether the worker may get a job, as it can't count as draining. */
    boolean permits(Worker worker, long now) {
        return age.permits(worker.health.provenAt(), now);
    }

    /** Until when an attempt may begin there. */
    long usableUntil(Worker worker) {
        return age.usableUntil(worker.health.provenAt());
    }

    /** Whether the list is too old and no worker has proven itself: other dispatchers may know more. */
    boolean isOutdatedFor(Stream<Worker> listed, long now) {
        return age.isOutdated(now) && listed.noneMatch(worker -> permits(worker, now));
    }

    /** Takes in an update of the list; after how long discovery is to be asked, or {@link #NO_CALL}. */
    long follow(ListKind kind, long now) {
        switch (kind) {
            case FAILED, BROKEN, UNREACHABLE -> {
                return failed(kind, now);
            }
            case CHANGES, COMPLETE -> {
                calls.heard();
                age.heard();
                return NO_CALL;
            }
            case CACHED -> {
                calls.heard();
                return pushed ? NO_CALL : calls.first(now);
            }
            default -> {
                return NO_CALL;
            }
        }
    }

    private long failed(ListKind kind, long now) {
        if (age.isHeard()) {
            age.lost(now, now);
        }
        if (kind == ListKind.UNREACHABLE) {
            age.unreachable(now);
        } else {
            age.failed();
        }
        return kind == ListKind.BROKEN ? calls.broke(now) : calls.failed(now);
    }

    /** A line for the operators where the list has become too old, or recent again, since the last call. */
    Optional<String> news(long now) {
        if (age.isOutdated(now) == wasOutdated) {
            return Optional.empty();
        }
        wasOutdated = !wasOutdated;
        if (wasOutdated) {
            return Optional.of("the list of workers is out of date, as discovery is not heard: jobs go only"
                    + " to workers that took one lately");
        }
        return Optional.of(age.isHeard() ? "the list of workers is up to date again"
                : "discovery can't be reached: jobs go by the list of workers as it was");
    }
}
