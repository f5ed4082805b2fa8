package ryemast.reserving;

import java.util.List;
import java.util.function.LongFunction;
import ryemast.coordination.Editions;
import ryemast.reservation.Reservation;
import ryemast.reservation.LedgerSettings;

/**
 * A reservations file as one replica has it.
 *
 * @param edition    its digest holds the time to settle, which is not in the file, as all must share it too
 * @param terms      the file's, and this process's own time to settle
 * @param perWeight  the work a second that a worker of weight 1 clears
 * @param at         what is asked for at a time by the wall clock; the same at every replica, all day long
 */
public record Plan(Editions.Edition edition, LedgerSettings terms, long perWeight,
        LongFunction<List<Reservation>> at) {
}
