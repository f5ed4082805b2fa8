package ryemast.move;

/**
 * The state of a service in a site's record. The first six are of a site that has the service or had it
 * last.
 */
public enum Phase {
    /** Served here, and not migrating. */
    LOCAL(true, false),
    /** Served here; capacity is requested from the other site. */
    REQUESTED(true, false),
    /** Served here; the target is ready, and no execution beyond the closing bound is claimed any more. */
    CLOSING(true, false),
    /** Served here; the last migration was aborted and can't be closed any more. */
    ABORTED(true, false),
    /** The commit point: the service belongs to the other site; what is running here ends here. */
    CLOSED(false, false),
    /** The other site has opened, and nothing is running here. */
    DEPARTED(false, false),
    /** Never here, or no longer in the records. */
    NONE(false, false),
    /** Capacity is reserved here; job definitions, bodies and outcomes are being fetched. */
    RESERVED(false, true),
    /** Capacity is reserved, and the source may close. */
    READY(false, true),
    /** Reserved until the source's record is read again; the source must not close, and may have done so. */
    RELEASING(false, true),
    /** The source has aborted, or there was no capacity: nothing is reserved. */
    RELEASED(false, false),
    /** The source was read as closed: the service belongs to this site, and is not served yet. */
    ACQUIRED(false, true),
    /** Served here; the source still has attempts of it running. */
    OPEN(true, false);

    private final boolean active;
    private final boolean reserved;

    Phase(boolean active, boolean holding) {
        this.active = active;
        this.reserved = holding;
    }

    /** The service's reservation is active at this site. */
    public boolean active() {
        return active;
    }

    /** Its capacity is reserved at this site, and not used yet. */
    public boolean reserved() {
        return reserved;
    }

    /** Of a source whose migration is closed and can't be aborted any more. */
    boolean closed() {
        return this == CLOSED || this == DEPARTED;
    }

    /** Of a source that still serves and requests a migration. */
    boolean requesting() {
        return this == REQUESTED || this == CLOSING;
    }

    /** Of a target that has not read the source as closed: it proves nothing about where the service is. */
    boolean beforeClose() {
        return this == NONE || this == RESERVED || this == READY || this == RELEASING || this == RELEASED;
    }

    /** Of a target that has read the source as closed. */
    boolean acquired() {
        return this == ACQUIRED || this == OPEN || this == LOCAL;
    }
}
