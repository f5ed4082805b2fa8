package ryemast.lab.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * Every change of the fleet's records, in order, as whoever keeps the records saw it; a snapshot alone would
 * not tell that an end was recorded twice. Any thread may use it.
 */
public final class RecordBook {

    /**
     * {@code value}: null for one that was removed; {@code at}: on the books' clock; {@code version}: which
     * the record has by it.
     */
    public record Change(long at, String key, String value, long version) {
    }

    private final List<Change> changes = new ArrayList<>();

    /** To be called by whoever keeps the records, with all changes that hold from the same step on. */
    public synchronized void changed(List<Change> step) {
        changes.addAll(step);
    }

    public synchronized List<Change> changes() {
        return List.copyOf(changes);
    }
}
