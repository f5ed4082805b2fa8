package ryemast.fleet.signals;

import ryemast.fleet.LeaseTerms;

/**
 * When a peer's digests were sent, on our clock, at the earliest. The exchange is NTP's (RFC 5905, section
 * 8): a digest of ours, sent at T1 by our clock, came to the peer at T2 by its own; so what it sent at T3 by
 * its own it sent at T1 + (T3 - T2) by ours, or later by what ours took to come there.
 *
 * <p>Guaranteed, as long as each clock is within {@link LeaseTerms#DEFAULT_DRIFT} of true time and none stood
 * still or jumped: no digest is taken to be sent later than it was, however late it comes; and earlier by no
 * more than the quickest of our digests took to the peer, and the drift since. Of all exchanges the one that
 * gives the latest time is kept (as the clock filter of section 10 keeps the one of least delay): each holds,
 * so the latest is the nearest, and stays so, as all lose the same by the drift. NTP's offset, half of the
 * way there and back, is nearer still where both ways are alike, and wrong where they are not.
 */
final class Timing {

    /** By which part of a span two clocks may differ on it, one being fast and the other slow. */
    static final double APART = (1 + LeaseTerms.DEFAULT_DRIFT) / (1 - LeaseTerms.DEFAULT_DRIFT) - 1;
    /** Clocks are read in whole microseconds, and steered in steps; less than this is no contradiction. */
    static final long ROUNDING = 1000;
    /** A thousand years: beyond, sums could overflow. */
    private static final long LAST = 1L << 55;

    private Echo best;
    private boolean jumped;
    private long jumpedAt;

    /** Whether the peer has answered us, so that its digests can be dated. */
    boolean isKnown() {
        return best != null;
    }

    /** When, on our clock, the peer's showed this, at the earliest; only if {@link #isKnown}. */
    long at(long sent) {
        return at(best, sent);
    }

    private static long at(Echo by, long sent) {
        long since = sent - by.came();
        return by.sent() + since - (long) Math.ceil(APART * Math.abs(since));
    }

    /**
     * Takes a digest's times; false for what can't be. A digest that was sent later than it came tells that a
     * clock has stood still or jumped, as when a machine was suspended: all exchanges up to then are given
     * up. That happens to honest ones, but not twice in {@link Peer#NO_SAY}.
     *
     * @param self  the mark of our process; what echoes another is passed over
     */
    boolean take(long now, long self, Digest digest) {
        var echo = digest.echo();
        if (!isTime(digest.sent()) || echo != null
                && !(isTime(echo.sent()) && isTime(echo.came()) && echo.came() <= digest.sent())) {
            return false;
        }
        if (echo != null && echo.process() == self && !(jumped && echo.sent() <= jumpedAt)) {
            if (echo.sent() > now) {
                return false;
            }
            if (best == null || at(echo, digest.sent()) > at(digest.sent())) {
                best = echo;
            }
        }
        if (best == null || at(digest.sent()) <= now + ROUNDING) {
            return true;
        }
        boolean again = jumped && now - jumpedAt < Peer.NO_SAY;
        best = null;
        jumped = true;
        jumpedAt = now;
        return !again;
    }

    private static boolean isTime(long time) {
        return time >= 0 && time <= LAST;
    }
}
