package ryemast.move;

import java.util.Collection;

/**
 * A migration as requested by the file.
 *
 * @param service  name, the same at both sites
 * @param site     the target
 */
public record MigrationRequest(String service, String site, Load load) {

    /** The total capacity that the site can reserve has not been read. */
    public static final long UNKNOWN_CAPACITY = -1;

    /**
     * Rejects what can't be done, before the first step.
     *
     * @param services  those of this site, by their records
     * @param sites     those that the file names, without this one
     * @param others    other migrations requested by the file
     * @param capacity  what the target can reserve in all, of which nothing need be free; or
     *                  {@link #UNKNOWN_CAPACITY}
     */
    public void validate(String ownSite, Collection<String> services, Collection<String> sites,
            Collection<MigrationRequest> others, long capacity) throws MigrationException {
        if (site.equals(ownSite)) {
            throw new MigrationException.SameSite(this);
        }
        if (!sites.contains(site)) {
            throw new MigrationException.UnknownSite(this, sites);
        }
        if (!services.contains(service)) {
            throw new MigrationException.NoSuchService(this, services);
        }
        for (var other : others) {
            if (other.service().equals(service)) {
                throw new MigrationException.AlreadyMigrating(this, other.site());
            }
        }
        if (capacity != UNKNOWN_CAPACITY && load.perSecond() > capacity) {
            throw new MigrationException.InsufficientCapacity(this, capacity);
        }
    }
}
