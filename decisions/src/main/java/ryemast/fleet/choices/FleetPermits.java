package ryemast.fleet.choices;

/**
 * One member's permits for operations that are limited for the whole fleet: probes of ejected workers,
 * connections to scarce workers, list calls, hedged attempts and retries. Guarantees the {@link FleetLimit}
 * in each window for any fleet size and even while members have different views, provided that members'
 * clocks differ by at most the guard time and that a connection or other lasting operation is ended by the
 * window's end.
 *
 * <p>Where members are numbered by settings, a dead member's permits are lost while it is dead, and each
 * member gets its fair share within as many windows as there are members. Where members come and go by a
 * list, a dead member's permits are lost until it has been off the list for the settle time and a window has
 * ended, and shares are fair on average. A member that has started within a window has no permits in it, as
 * it cannot know what it did before.
 */
public final class FleetPermits {

    private final int number;
    private final int members;
    private final String self;
    private final SettledMembers settledMembers;
    private final long startedAt;

    private FleetPermits(int number, int members, String self, SettledMembers settledMembers,
            long startedAt) {
        this.number = number;
        this.members = members;
        this.self = self;
        this.settledMembers = settledMembers;
        this.startedAt = startedAt;
    }

    /** Members with numbers from 0, as many as the settings specify. */
    public static FleetPermits ofNumbered(int self, int members, long startedAt) {
        if (self < 0 || self >= members) {
            throw new IllegalArgumentException("member number " + self + " is not below " + members);
        }
        return new FleetPermits(self, members, null, null, startedAt);
    }

    /** Named members that come and go; the settled members must look back over the longest window. */
    public static FleetPermits ofNamed(String self, SettledMembers settledMembers, long startedAt) {
        return new FleetPermits(0, 0, self, settledMembers, startedAt);
    }

    /** {@code since}: the time from which the resource's windows are counted, before now. */
    public WindowPermits permits(FleetLimit limit, String resource, long since, long now) {
        long window = Math.floorDiv(now - since, limit.window());
        long start = since + window * limit.window();
        long end = start + limit.window();
        if (now < start + limit.guard() || startedAt > start) {
            return new WindowPermits(window, 0, end);
        }
        long hash = SplitMix64.mix(SplitMix64.mix(limit.purpose()), SplitMix64.mix(resource));
        if (settledMembers == null) {
            int position = PermitOrder.balancedPosition(hash, window, number, members);
            return new WindowPermits(window, PermitOrder.permitsAt(limit.permits(), position, members), end);
        }
        if (!settledMembers.mayUseShare(start, now)) {
            return new WindowPermits(window, 0, end);
        }
        var counted = settledMembers.counted(start);
        int position = PermitOrder.rankedPosition(hash, window, self, counted);
        return new WindowPermits(window, PermitOrder.permitsAt(limit.permits(), position, counted.size()),
                end);
    }
}
