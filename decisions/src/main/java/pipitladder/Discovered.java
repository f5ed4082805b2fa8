package pipitladder;

import java.util.Optional;
import pipitladder.Dispatcher.ListKind;
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

    ListAge age() {
        return age;
    }

    /** Takes in an update of the list; after how long discovery is to be asked, or {@link #NO_CALL}. */
    long follow(ListKind kind, long now) {
        switch (kind) {
            case FAILED, BROKEN -> {
                if (age.isHeard()) {
                    age.lost(now, now);
                }
                return kind == ListKind.BROKEN ? calls.broke(now) : calls.failed(now);
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

    /** A line for the operators where the list has become too old, or recent again, since the last call. */
    Optional<String> news(long now) {
        if (age.isOutdated(now) == wasOutdated) {
            return Optional.empty();
        }
        wasOutdated = !wasOutdated;
        return Optional.of(wasOutdated
                ? "the list of workers is out of date, as discovery is not heard: jobs go only to workers"
                + " that took one lately" : "the list of workers is up to date again");
    }
}
