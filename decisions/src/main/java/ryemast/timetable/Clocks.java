package ryemast.timetable;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import ryemast.fleet.MemberClock;

/**
 * Which wall clock fires go by. Guarantees that a replica whose own clock differs by more than {@link #BOUND}
 * from the clocks of more than half of the members that tell theirs, itself counted, all on the same side,
 * goes by the median of the others' in place of its own; else by its own. So one clock among three that was
 * set forward moves no mark ahead, and one that was set back lets nothing come late. Two replicas have no
 * majority: each goes by its own.
 *
 * <p>The convergence function of clocks that may lie (Lamport and Melliar-Smith, 1985), with the own clock as
 * the rule and the others' as the exception, as what a heartbeat tells is late by up to a beat and a call.
 * Nothing that must never happen rests on it.
 */
final class Clocks {

    /** Far above what a beat can be late by, far below what an hour's slip costs. */
    static final long BOUND = 30_000_000;

    private List<Long> others = List.of();
    private boolean overruled;

    /** The other members' clocks as they were told last. */
    void told(Collection<MemberClock> clocks) {
        var ahead = new ArrayList<Long>(clocks.size());
        clocks.forEach(each -> ahead.add(each.wallTime() - each.observedAt()));
        ahead.sort(null);
        others = ahead;
    }

    /** The time to go by, where this is the loop's and the own wall clock's. */
    long by(long now, long wall) {
        long own = wall - now;
        long behind = others.stream().filter(each -> own - each > BOUND).count();
        long ahead = others.stream().filter(each -> each - own > BOUND).count();
        overruled = 2 * Math.max(behind, ahead) > others.size() + 1;
        return overruled ? now + others.get((others.size() - 1) / 2) : wall;
    }

    /** Whether the own clock was not what it went by last. */
    boolean overruled() {
        return overruled;
    }
}
