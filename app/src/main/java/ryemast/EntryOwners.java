package ryemast;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.BiFunction;
import ryemast.fleet.FleetView;
import ryemast.fleet.KeyAssignment;

/**
 * Whose each entry is: shared out evenly among those that have the timetable's revision. It is reckoned once
 * for each set of members, as all entries are asked for then. What the timetable lacks goes by its name.
 */
final class EntryOwners implements BiFunction<String, FleetView, String> {

    private Set<String> names = Set.of();
    private List<String> members = List.of();
    private KeyAssignment owners;

    /** The entries from now on. */
    void entries(Collection<String> all) {
        names = Set.copyOf(all);
        owners = null;
    }

    @Override
    public String apply(String entry, FleetView view) {
        if (!names.contains(entry)) {
            return KeyAssignment.ownerOf(entry, view);
        }
        if (owners == null || !members.equals(view.members())) {
            members = view.members();
            owners = KeyAssignment.assign(names, view);
        }
        return owners.owner(entry);
    }
}
