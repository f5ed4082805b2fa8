package ryemast.entries;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import ryemast.timetable.calendar.Revision;
import ryemast.timetable.calendar.Window;

/**
 * What one reservations file says, complete and checked. Immutable. Work is in microseconds of a standard
 * core a second.
 *
 * @param revision   its number, and the digest over all that it says
 * @param perWeight  the work a second that a worker of weight 1 clears
 * @param figures    how the book is kept and used
 */
public record Reservations(Path file, Revision revision, long perWeight, Figures figures,
        List<Wanted> wanted) {

    public Reservations {
        wanted = List.copyOf(wanted);
    }

    /** As {@link ryemast.reservation.LedgerSettings} has them; times in microseconds. */
    public record Figures(double margin, double band, long hold, long burst, long lend) {
    }

    /**
     * @param classes  their numbers in the settings; empty: all
     * @param window   null: always
     */
    public record Wanted(String name, int tenant, Set<Integer> classes, long perSecond, int rank,
            boolean capped, Window window) {
    }
}
