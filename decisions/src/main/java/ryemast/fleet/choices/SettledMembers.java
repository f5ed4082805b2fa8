package ryemast.fleet.choices;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The members that one member counts when something is divided among all, and whether it may use its own
 * share.
 *
 * <p>Guarantees, without agreement between members: <em>every member that uses a share counts every member
 * that uses one</em>. So shares of 1/n, and permit orders in which more members never improve a position, add
 * up to at most the whole, even while members have different views or have missed some.
 *
 * <p>A new member is counted at once and uses no share until it has been seen for twice the settle time; a
 * member that left is counted until the settle time has passed. The settle time bounds the age of a view by
 * which a member may act, as a lease does (Gray and Cheriton 1989): a view is valid from before it was
 * requested until the settle time has passed. After the first half of a newcomer's wait every active member
 * therefore has a view that contains it, and after the second half every such view has replaced all older
 * ones; and a member that has left no longer acts by an old view. A member that was disconnected for longer,
 * or was not a member, starts again as a newcomer. A dead member's share is lost only for the settle time
 * after it is off the list.
 *
 * <p>A process that was taken off the list and returns must detect that and call {@link #invalidate}; fences
 * ensure it. Times are microseconds on the member's own clock; the settle time must include the clocks'
 * drift.
 */
public final class SettledMembers {

    private static final long NEVER = Long.MAX_VALUE;

    private final String self;
    private final long settleTime;
    private final long lookback;
    private Set<String> present = Set.of();
    /** Until when each member that left is counted. */
    private final Map<String, Long> countedUntil = new HashMap<>();
    private long freshUntil = Long.MIN_VALUE;
    private long mayUseFrom = NEVER;

    /**
     * @param settleTime how long a member may act by one view: a lease's duration including drift
     * @param lookback how far back {@link #counted} may be queried: a window's length, or 0
     */
    public SettledMembers(String self, long settleTime, long lookback) {
        if (settleTime <= 0 || lookback < 0) {
            throw new IllegalArgumentException("invalid settle time " + settleTime + " or lookback "
                    + lookback);
        }
        this.self = self;
        this.settleTime = settleTime;
        this.lookback = lookback;
    }

    /** Processes a view: {@code members} at some time since {@code asOf}, when the view was requested. */
    public void observe(long asOf, long now, Collection<String> members) {
        if (now > freshUntil || !members.contains(self)) {
            mayUseFrom = NEVER;
        }
        for (var member : present) {
            if (!members.contains(member)) {
                countedUntil.put(member, now + settleTime);
            }
        }
        present = new HashSet<>(members);
        countedUntil.keySet().removeAll(present);
        countedUntil.values().removeIf(until -> until < now - lookback);
        freshUntil = Math.max(freshUntil, asOf + settleTime);
        if (mayUseFrom == NEVER && present.contains(self)) {
            mayUseFrom = now + 2 * settleTime;
        }
    }

    /** This process has been taken off the list, or cannot tell whether it has. */
    public void invalidate() {
        freshUntil = Long.MIN_VALUE;
        mayUseFrom = NEVER;
    }

    /** Whether this member may now use its share of what has been divided since {@code since}. */
    public boolean mayUseShare(long since, long now) {
        return now <= freshUntil && mayUseFrom <= since;
    }

    /** All members that may have used a share since {@code since}, at most {@code lookback} ago. */
    public Set<String> counted(long since) {
        var counted = new HashSet<>(present);
        countedUntil.forEach((member, until) -> {
            if (until >= since) {
                counted.add(member);
            }
        });
        return counted;
    }

    /** The size of {@link #counted}, without building the set. */
    public int count(long since) {
        int count = present.size();
        for (long until : countedUntil.values()) {
            count += until >= since ? 1 : 0;
        }
        return count;
    }

    /** This member's share now of what is divided evenly: 0, or 1 divided by the members counted. */
    public double share(long now) {
        return mayUseShare(now, now) ? 1.0 / count(now) : 0;
    }
}
