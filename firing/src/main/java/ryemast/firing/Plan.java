package ryemast.firing;

import java.util.Collection;

/**
 * A timetable as one replica has it.
 *
 * @param revision  of two timetables the one of the higher revision counts; at least 1
 * @param digest    of all that the entries say: two of one revision must not differ
 */
public record Plan(long revision, String digest, Collection<? extends Planned> entries) {

    /** What an entry's name may be, so that it fits into keys and into jobs' names. */
    public static final String NAME = "[A-Za-z0-9._-]{1,80}";

    public Plan {
        if (revision < 1) {
            throw new IllegalArgumentException("revision " + revision + ": must be at least 1");
        }
        entries.stream().filter(each -> !each.name().matches(NAME)).findFirst().ifPresent(each -> {
            throw new IllegalArgumentException("entry '" + each.name() + "': must be " + NAME);
        });
    }
}
