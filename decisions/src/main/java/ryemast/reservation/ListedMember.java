package ryemast.reservation;

import java.util.Map;

/**
 * A member as listed.
 *
 * @param name    its name with its incarnation, which no other process has had
 * @param demand  by service, how many hundredths of its reservation are requested from this member; null: not
 *                reported, as by a program without {@link DemandWeighting}
 */
public record ListedMember(String name, Map<String, Integer> demand) {

    public ListedMember {
        demand = demand == null ? null : Map.copyOf(demand);
    }
}
