package ryemast.entries;

import java.nio.file.Path;
import java.util.List;
import ryemast.timetable.calendar.Entry;
import ryemast.timetable.calendar.Revision;

/**
 * What one entries file says, complete and checked. Immutable.
 *
 * @param revision  its number, and the digest over all that it says, the bodies included
 * @param seed      the fleet's, for draws
 * @param entries   by their names, in the order of the file
 */
public record Entries(Path file, Revision revision, long seed, List<Entry> entries) {

    public Entries {
        entries = List.copyOf(entries);
    }
}
