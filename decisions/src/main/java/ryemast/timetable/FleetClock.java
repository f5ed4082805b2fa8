package ryemast.timetable;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import ryemast.fleet.MemberClock;

/**
 * Chooses the wall clock that scheduled jobs use. If the own clock differs by more than {@link #MAX_OFFSET},
 * on the same side, from the clocks of more than half of all reporting members (itself included), the median
 * of the others' clocks is used instead of it; otherwise the own clock is used. So one fast clock among three
 * advances no watermark, and one slow clock delays no execution. Two replicas have no majority: each uses its
 * own clock.
 *
 * <p>Based on the convergence function for faulty clocks (Lamport and Melliar-Smith, 1985). The own clock is
 * the rule and the others' the exception, as clocks reported by heartbeat lag by up to a heartbeat interval
 * and a call. No safety property depends on it.
 */
final class FleetClock {

    /** Far above the delay of a heartbeat, and far below the offsets that cause harm, such as an hour. */
    static final long MAX_OFFSET = 30_000_000;

    private List<Long> otherOffsets = List.of();
    private boolean overruled;

    /** Takes the other members' clocks as last reported. */
    void update(Collection<MemberClock> reported) {
        var offsets = new ArrayList<Long>(reported.size());
        reported.forEach(each -> offsets.add(each.wallTime() - each.observedAt()));
        offsets.sort(null);
        otherOffsets = offsets;
    }

    /** The wall time to use; {@code now} and {@code wall} are the event loop's and the own wall clock's. */
    long effectiveWallTime(long now, long wall) {
        long ownOffset = wall - now;
        long behind = otherOffsets.stream().filter(each -> ownOffset - each > MAX_OFFSET).count();
        long ahead = otherOffsets.stream().filter(each -> each - ownOffset > MAX_OFFSET).count();
        overruled = 2 * Math.max(behind, ahead) > otherOffsets.size() + 1;
        return overruled ? now + otherOffsets.get((otherOffsets.size() - 1) / 2) : wall;
    }

    /** Whether the last call used the other members' clocks. */
    boolean overruled() {
        return overruled;
    }
}
