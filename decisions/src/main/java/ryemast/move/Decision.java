package ryemast.move;

/** What a process has to do now for the migration of a service. */
public sealed interface Decision {

    /** What happens to the service's reservation in the site's ledger, in the same step as the record. */
    enum Reservation {
        /** It does not change. */
        UNCHANGED,
        /** Capacity is reserved for the service and not yet granted; the step is made only if it fits. */
        RESERVE,
        /** The reserved capacity becomes the service's grant. */
        GRANT,
        /** The grant or the reserved capacity is released, and settles by the ledger's rule. */
        RELEASE
    }

    /**
     * Write the record if it is at that version, and the ledger with it as stated, in one step that
     * requires the process's fencing token as well. It is idempotent.
     *
     * @param version  0: there must be no record
     */
    record RecordWrite(long version, SiteRecord record, Reservation reservation, String reason)
            implements Decision {
    }

    /**
     * Nothing until something has changed.
     *
     * @param rereadAt  when the other site's record must be read again at the latest, on the process's
     *                  clock; {@link Long#MAX_VALUE}: at the usual interval
     * @param reason    description for the log
     */
    record Wait(long rereadAt, String reason) implements Decision {
        Wait(String reason) {
            this(Long.MAX_VALUE, reason);
        }
    }
}
