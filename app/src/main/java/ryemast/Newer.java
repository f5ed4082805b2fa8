package ryemast;

import ryemast.config.ConfigException;
import ryemast.timetable.calendar.Revision;
import ryemast.timetable.calendar.RevisionConflictException;

/** Whether a file that was read again takes the place of the one in force, for all kinds with a revision. */
final class Newer {

    private Newer() {
    }

    /** False: it is the same. The exception says why it may not, and what would be right. */
    static boolean replaces(String key, Revision read, Revision inForce) throws ConfigException {
        try {
            if (read.equals(inForce)) {
                return false;
            }
            if (read.replaces(inForce)) {
                return true;
            }
        } catch (RevisionConflictException e) {
            throw new ConfigException(key + ": " + e.getMessage());
        }
        throw new ConfigException(key + ": revision " + read.number() + " was read, and " + inForce.number()
                + " is in force and stays so; raise `revision` above it");
    }
}
