package ryemast.reservation;

import java.util.List;

/**
 * The ledger's state, as stored and as read by all members. Immutable. A member that acts on a state follows
 * it for up to {@link LedgerSettings#settleTime} from when it requested it.
 *
 * @param version   grows with each state
 * @param capacity  the site's capacity in work per second, as estimated
 *                  ({@link ReservationLedger#updateCapacity})
 * @param free      the unreserved work per second, usable by all
 * @param grants    in the order of entry
 * @param released  what belongs to nobody until it has settled
 * @param settings  from the file of the member that wrote it; all members use their burst and lend time, and
 *                  members with another settle time have no quota; null: not known
 */
public record LedgerState(long version, long capacity, long free, List<Grant> grants,
        List<ReleasedCapacity> released, LedgerSettings settings) {

    /** The state before anything was written. */
    public static final LedgerState EMPTY = new LedgerState(0, 0, 0, List.of(), List.of(), null);

    public LedgerState {
        grants = grants == null ? List.of() : List.copyOf(grants);
        released = released == null ? List.of() : List.copyOf(released);
    }

    /** Whether nothing is reserved or still settling, so that no capacity is restricted. */
    public boolean isEmpty() {
        return grants.isEmpty() && released.isEmpty();
    }
}
