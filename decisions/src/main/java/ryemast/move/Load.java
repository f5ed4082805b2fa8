package ryemast.move;

/**
 * What is migrated. A migration of another load is another migration.
 *
 * @param perSecond  the whole reservation, work a second; 0: the service has none
 * @param revision   of the source's schedule and reservations, up to which the target must have caught up
 */
public record Load(long perSecond, long revision) {

    static final Load NOTHING = new Load(0, 0);

    public Load {
        if (perSecond < 0 || revision < 0) {
            throw new IllegalArgumentException("invalid load: " + perSecond + " a second, revision "
                    + revision);
        }
    }
}
