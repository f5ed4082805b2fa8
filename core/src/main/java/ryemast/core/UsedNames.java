package ryemast.core;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The names of the requests that were taken last, so that none is used twice. Those that went to a worker are
 * kept apart: their number is bounded by what workers do, while a client may make up others without end.
 * Owned by the loop.
 */
final class UsedNames {

    /** For each name that is remembered, so many of those that went to a worker. */
    private static final int SENT_FOR_EACH = 4;

    private final int most;
    /** The oldest first, in both. */
    private final Set<String> taken = new LinkedHashSet<>();
    private final Set<String> sent = new LinkedHashSet<>();

    /** {@code most}: how many names are remembered of requests that never went out. */
    UsedNames(int most) {
        this.most = most;
    }

    boolean contains(String name) {
        return taken.contains(name) || sent.contains(name);
    }

    void taken(String name) {
        add(taken, name, most);
    }

    /** The request of this name goes to a worker. */
    void sent(String name) {
        add(sent, name, SENT_FOR_EACH * most);
    }

    private static void add(Set<String> names, String name, int most) {
        names.add(name);
        if (names.size() > most) {
            names.remove(names.iterator().next());
        }
    }
}
