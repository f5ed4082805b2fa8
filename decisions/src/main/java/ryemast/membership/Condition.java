package ryemast.membership;

/** What one source says of one worker; the later ones allow less. */
public enum Condition {
    /** It may have work. */
    PASSING,
    /** It may have work, but something is amiss. */
    WARNING,
    /**
     * Its checks fail. That may be its own fault, or that of whoever checks it: the source is not quite sure.
     */
    CRITICAL,
    /** Somebody wants it to have nothing new: it drains, or is under maintenance. */
    DRAINING,
    /** Somebody has taken it off the list. */
    GONE;

    /** Whether the worker may have new work by this word alone. */
    public boolean serves() {
        return this == PASSING || this == WARNING;
    }

    /** Whether somebody has decided so: it is honoured whatever the rest of the list looks like. */
    public boolean isOrder() {
        return this == DRAINING || this == GONE;
    }
}
