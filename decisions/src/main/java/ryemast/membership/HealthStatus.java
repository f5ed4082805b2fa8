package ryemast.membership;

/** Status of one worker as reported by one source, from least to most restrictive. */
public enum HealthStatus {
    /** May receive work. */
    PASSING,
    /** May receive work, but a check reports a problem. */
    WARNING,
    /**
     * Its checks fail. The cause may be the worker or the checker, so the source itself is uncertain.
     */
    CRITICAL,
    /** Must not receive new work: draining or under maintenance. */
    DRAINING,
    /** Deregistered. */
    GONE;

    /** Whether the worker may receive new work according to this status alone. */
    public boolean isServing() {
        return this == PASSING || this == WARNING;
    }

    /** Whether this is a deliberate change, which is applied regardless of how many workers it affects. */
    public boolean isAdministrative() {
        return this == DRAINING || this == GONE;
    }
}
