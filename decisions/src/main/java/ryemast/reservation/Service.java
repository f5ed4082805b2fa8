package ryemast.reservation;

import java.util.Collections;
import java.util.Set;

/**
 * The jobs a reservation is for: those of one tenant, of some classes. A request belongs to one service at
 * most, as no two services of a ledger may {@link #overlaps overlap}.
 *
 * @param classes  numbers of the settings' classes; empty: all of the tenant's
 */
public record Service(String name, int tenant, Set<Integer> classes) {

    public Service {
        if (name == null || name.isBlank() || tenant < 0) {
            throw new InvalidReservationException(name, "a service needs a name and a tenant number");
        }
        classes = classes == null ? Set.of() : Set.copyOf(classes);
    }

    boolean covers(int otherTenant, int jobClass) {
        return tenant == otherTenant && (classes.isEmpty() || classes.contains(jobClass));
    }

    /** Whether a job could belong to both. */
    public boolean overlaps(Service other) {
        return tenant == other.tenant && (classes.isEmpty() || other.classes.isEmpty()
                || !Collections.disjoint(classes, other.classes));
    }
}
