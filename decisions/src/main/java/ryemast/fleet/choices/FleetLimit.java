package ryemast.fleet.choices;

/**
 * A limit for the whole fleet on operations on a resource within a window, independent of the fleet's size.
 *
 * @param purpose the purpose; permits for one resource are ordered differently for each purpose
 * @param permits number of permits in a window, for all members together
 * @param window microseconds, counted from a time that all members know for the resource
 * @param guard the first part of each window, in which nothing is started; at least the clock difference
 *     between members, so that no two windows are open at once
 */
public record FleetLimit(String purpose, int permits, long window, long guard) {

    public FleetLimit {
        if (permits < 0 || window <= 0 || guard < 0 || guard >= window) {
            throw new IllegalArgumentException(
                    purpose + ": invalid limit of " + permits + " in " + window + " us with a guard time of "
                    + guard);
        }
    }

    /** The time until each numbered member has had its fair share, at most; microseconds. */
    public long fairAfter(int members) {
        return window * members;
    }
}
