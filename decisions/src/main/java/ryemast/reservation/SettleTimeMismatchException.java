package ryemast.reservation;

import java.util.Locale;

/** The ledger uses another settle time than this member, which therefore may not act on it. */
public final class SettleTimeMismatchException extends Exception {

    private static final long serialVersionUID = 1L;
    private static final double SECOND = 1e6;

    private final long ledgerSettleTime;
    private final long ownSettleTime;

    SettleTimeMismatchException(long ledgerSettleTime, long ownSettleTime) {
        super(String.format(Locale.ROOT, "the ledger has a settle time of %.3f s, and this replica %.3f s,"
                + " from coordination.lasts_ms and coordination.drift_percent in its operator file. It uses"
                + " no reserved or borrowed capacity and rejects capped services; other jobs are unaffected."
                + " Set the same two values on all replicas, and change them together with a higher revision"
                + " of the reservations file", ledgerSettleTime / SECOND, ownSettleTime / SECOND));
        this.ledgerSettleTime = ledgerSettleTime;
        this.ownSettleTime = ownSettleTime;
    }

    /** The ledger's settle time, in microseconds. */
    public long ledgerSettleTime() {
        return ledgerSettleTime;
    }

    /** This member's settle time, in microseconds. */
    public long ownSettleTime() {
        return ownSettleTime;
    }
}
