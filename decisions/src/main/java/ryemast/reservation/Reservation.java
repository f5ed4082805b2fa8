package ryemast.reservation;

import java.util.Comparator;
import java.util.List;

/**
 * Capacity reserved for a service. Work is counted as in requests: slots times cost hint, in microseconds of
 * a standard core; two cores are 2,000,000 a second.
 *
 * @param perSecond  work per second, over the whole fleet
 * @param windows    when, by the wall clock; the caller computes them from any calendar; empty: always
 * @param rank       when the site's capacity is too small the lowest rank yields first, and within it the
 *                   latest grant
 * @param capped     true: the service never uses more than that, and nothing outside its windows; false:
 *                   beyond it, it uses unreserved or borrowed capacity like all others
 */
public record Reservation(Service service, long perSecond, List<Span> windows, int rank, boolean capped) {

    public Reservation {
        if (service == null || perSecond <= 0) {
            throw new InvalidReservationException(service == null ? null : service.name(),
                    "a reservation of " + perSecond + " a second needs a service and an amount above 0");
        }
        windows = windows == null ? List.of()
                : windows.stream().sorted(Comparator.comparingLong(Span::from)).toList();
        for (int i = 1; i < windows.size(); i++) {
            if (windows.get(i - 1).overlaps(windows.get(i))) {
                throw new InvalidReservationException(service.name(),
                        "windows " + windows.get(i - 1) + " and " + windows.get(i) + " overlap");
            }
        }
    }

    /** Its windows; {@link Span#ALWAYS} if there are none. */
    List<Span> effectiveWindows() {
        return windows.isEmpty() ? List.of(Span.ALWAYS) : windows;
    }

    boolean isOpen(long wall) {
        return effectiveWindows().stream().anyMatch(span -> span.contains(wall));
    }
}
