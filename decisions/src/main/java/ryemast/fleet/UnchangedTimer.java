package ryemast.fleet;

/**
 * How long a record has been seen unchanged, on this process's own clock. Restarts whenever the version
 * differs from the last one seen, also when it decreased, as it does after records were restored from a
 * backup or when a stale response arrives: that costs time but never declares a member gone too early.
 */
final class UnchangedTimer {

    private long version;
    private long since;
    private long timeout;
    private boolean changed;

    /** {@code timeoutNow}: how long the record must be unchanged to prove its writer gone. */
    void observe(long now, long versionNow, long timeoutNow) {
        if (version != versionNow) {
            changed = version != 0;
            version = versionNow;
            since = now;
            timeout = timeoutNow;
        }
    }

    void reset() {
        version = 0;
        changed = false;
    }

    /** Whether the version has changed since the record was first seen, so that a live process writes it. */
    boolean changed() {
        return changed;
    }

    /** From when on its writer is proven gone, if the record stays unchanged until then. */
    long expiresAt() {
        return since + timeout;
    }
}
