package ryemast.firing;

import java.util.Collection;
import java.util.List;
import ryemast.fleet.FleetView;
import ryemast.fleet.MemberClock;

/** Where a replica stands in its fleet. Owned by the loop. */
public interface FleetSource {

    /** What is believed, with the lease judged at a time on the loop's clock. */
    FleetView view(long now);

    /** Null: there is none, and nothing may be changed. */
    Fence fence();

    /** The other members' wall clocks as they told them last; empty: they don't. */
    default Collection<MemberClock> clocks() {
        return List.of();
    }

    /** Tells of each change of the view's members, of the fence, and of a lease that is good again. */
    void listen(Runnable changed);
}
