package ryemast.move;

import java.util.Collection;
import java.util.TreeSet;

/**
 * A migration that is rejected before its first step. The message names it and says what is wrong, what
 * happens now and what to do.
 */
public abstract sealed class MigrationException extends Exception {

    private static final long serialVersionUID = 1L;

    private final String service;

    private MigrationException(MigrationRequest request, String problem, String remedy) {
        super("the migration of '" + request.service() + "' to '" + request.site() + "': " + problem
                + ". It is not started, and the service stays where it is. " + remedy + ".");
        service = request.service();
    }

    public String service() {
        return service;
    }

    /** The target is this site. */
    public static final class SameSite extends MigrationException {
        private static final long serialVersionUID = 1L;

        SameSite(MigrationRequest request) {
            super(request, "the target is this site", "Name another site, or remove the migration");
        }
    }

    /** The file has no site of that name. */
    public static final class UnknownSite extends MigrationException {
        private static final long serialVersionUID = 1L;

        UnknownSite(MigrationRequest request, Collection<String> known) {
            super(request, "the site is unknown; known sites are " + new TreeSet<>(known),
                    "Add the site with its agents, or correct the name");
        }
    }

    /** This site has no such service. */
    public static final class NoSuchService extends MigrationException {
        private static final long serialVersionUID = 1L;

        NoSuchService(MigrationRequest request, Collection<String> known) {
            super(request, "this site has no such service; it has " + new TreeSet<>(known),
                    "Correct the name, or request the migration at the site that has the service");
        }
    }

    /** Another migration of the service is requested as well. */
    public static final class AlreadyMigrating extends MigrationException {
        private static final long serialVersionUID = 1L;

        AlreadyMigrating(MigrationRequest request, String site) {
            super(request, "its migration to '" + site + "' is requested as well",
                    "Remove one of the two; a migration that is not closed yet is then aborted");
        }
    }

    /** The reservation exceeds the total capacity that the site may reserve. */
    public static final class InsufficientCapacity extends MigrationException {
        private static final long serialVersionUID = 1L;

        InsufficientCapacity(MigrationRequest request, long capacity) {
            super(request, request.load().perSecond() + " a second exceed the " + capacity
                    + " that the site can reserve in all", "Choose another site, or reduce the reservation");
        }
    }
}
