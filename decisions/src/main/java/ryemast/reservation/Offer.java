package ryemast.reservation;

import java.util.List;

/**
 * What would fit in place of a reservation that doesn't.
 *
 * @param perSecond   the amount that fits in all of its windows; 0: nothing
 * @param windows     those of its windows in which the full amount fits
 * @param tightest    a time within its windows at which least is left
 * @param holders     the services that hold reservations then, the largest first
 * @param reservable  what the site can reserve at most: its capacity less the margin
 */
public record Offer(long perSecond, List<Span> windows, long tightest, List<String> holders,
        long reservable) {
}
