package ryemast.reservation;

/**
 * Settings of a site's reservation ledger. They come with a revision of the reservations, and those of the
 * highest revision apply ({@link LedgerState#settings}), except for the settle time: that is each process's
 * own, from its lease, and a process whose settle time differs from the ledger's has no quota. Times in
 * microseconds.
 *
 * @param settleTime    how long a member may act on one view of the members or the ledger, from when it
 *                      requested it: a lease's length with its drift. Released capacity belongs to nobody for
 *                      that time
 * @param margin        the fraction of the site's capacity that is never reserved
 * @param band          fraction by which the capacity must differ to count as changed; below margin
 * @param increaseHold  how long the capacity must have been larger before more is reserved
 * @param burst         how much time's capacity may be saved up and used at once, over all members
 * @param lendTime      jobs that borrow from a reservation clear within this time at its rate, and no job
 *                      that is expected to run longer may borrow
 */
public record LedgerSettings(long settleTime, double margin, double band, long increaseHold, long burst,
        long lendTime) {

    public LedgerSettings {
        if (settleTime <= 0 || band < 0 || margin <= band || margin >= 1 || increaseHold < 0 || burst < 0
                || lendTime < 0) {
            throw new IllegalArgumentException("reservation settings: settle " + settleTime + ", margin "
                    + margin + ", band " + band + ", hold " + increaseHold + ", burst " + burst + ", lend "
                    + lendTime);
        }
    }

    /** Checks that the ledger has the same settle time, so that this member may act on it. */
    public void requireSameSettleTime(LedgerState ledger) throws SettleTimeMismatchException {
        if (ledger.settings() != null && ledger.settings().settleTime() != settleTime) {
            throw new SettleTimeMismatchException(ledger.settings().settleTime(), settleTime);
        }
    }

    /**
     * Default settings: a tenth as margin for errors in the capacity estimate, of which half counts as no
     * change; a minute's hold, in which changes of the workers show in the estimate; four seconds' burst, as
     * for tenants; two seconds' lending.
     */
    public static LedgerSettings withSettleTime(long settle) {
        return new LedgerSettings(settle, 0.1, 0.05, 60_000_000, 4_000_000, 2_000_000);
    }
}
