package ryemast.lab.fleet;

import java.util.List;
import ryemast.lab.books.History;

/**
 * All that was seen of a trial, by boxes, clients, discovery, the keeper of the records and whoever struck;
 * nothing of it is a process' own word. Judges read it once the run is over.
 *
 * @param history  the clients', the boxes', discovery's and the processes' books; what was lost on links is
 *                 not in what discovery told
 * @param runs     of every job at every box, clients' and fires', in the order of their begins
 * @param records  every change of the fleet's records
 * @param struck   what was done, in the order of time
 * @param waits    what the machine kept from running
 * @param origin   what the windows of reservations are counted from
 */
public record FleetBooks(Trial trial, History history, List<BoxRun> runs, List<RecordBook.Change> records,
        List<Struck> struck, Waits waits, long origin) {

    /** How long the machine let whoever matters wait. */
    public interface Waits {

        Waits NONE = (process, from, until) -> 0;
        /** What led to an event lies within a job's usual deadline before it, what tells of it so after. */
        long BEFORE = 3_000_000;
        long AFTER = 500_000;
        /** What has limits of 20 to 500 ms can't be judged where so much of that time was waited. */
        long MUCH = 300_000;

        /**
         * Microseconds that the emulator and the process together waited to run between the two times, on
         * the books' clock; {@code process} -1: whichever waited longest.
         */
        long waited(int process, long from, long until);

        /** Whether so much was waited about this time that what came late may be the machine's doing. */
        default boolean muchAbout(int process, long at) {
            return waited(process, at - BEFORE, at + AFTER) >= MUCH;
        }
    }

    /** A strike as it was done; {@code untilAt}: when it was taken back, or the run's end. */
    public record Struck(Strike strike, long at, long untilAt) {

        /** Whether it hits the process, itself or with all. */
        boolean hits(int process) {
            return strike.target() == process || strike.target() == Strike.AGENT;
        }
    }
}
