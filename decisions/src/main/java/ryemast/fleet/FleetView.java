package ryemast.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * The members of the fleet as one process sees them at one time. Immutable.
 *
 * <p>The epoch counts the changes that this process has seen. Epochs of two processes are not comparable, and
 * nothing may rely on two members having the same view: what must not happen twice is guarded by fences.
 *
 * @param epoch increases with each change of the members
 * @param members sorted by name
 * @param self this process's name
 * @param mayAct whether this process's own lease is valid
 * @param mayActUntil until when, microseconds on its own clock; to be checked again before each act
 * @param currentAndRecent current and recent members, sorted; see {@link #currentAndRecent()}
 */
public record FleetView(long epoch, List<String> members, String self, boolean mayAct, long mayActUntil,
        List<String> currentAndRecent) {

    /** Wide enough that names sort in numeric order; the same for every fleet size. */
    private static final String NUMBERED = "%05d";

    public FleetView {
        members = List.copyOf(members);
        currentAndRecent = List.copyOf(currentAndRecent);
    }

    /** A view without members that have left recently. */
    public FleetView(long epoch, List<String> members, String self, boolean mayAct, long mayActUntil) {
        this(epoch, members, self, mayAct, mayActUntil, members);
    }

    /** A fleet whose size is a setting, as on the platform: nobody joins or leaves, and all may act. */
    public static FleetView ofSettings(int self, int count) {
        if (self < 0 || self >= count) {
            throw new IllegalArgumentException("dispatcher number " + self + " is not in a fleet of "
                    + count);
        }
        var members = new ArrayList<String>(count);
        for (int i = 0; i < count; i++) {
            members.add(String.format(NUMBERED, i));
        }
        return new FleetView(1, members, members.get(self), true, Long.MAX_VALUE);
    }

    /** The index of this process in the sorted members; -1: not a member. */
    public int index() {
        return members.indexOf(self);
    }

    /**
     * The larger set while two epochs may be in use at once: new members are in it at once, and members that
     * left stay in it for a while. To be used for everything that grows as members decrease, such as a share
     * of a budget: members declared gone may still send what needs no lease, and others may not yet have seen
     * the change.
     */
    @Override
    public List<String> currentAndRecent() {
        return currentAndRecent;
    }
}
