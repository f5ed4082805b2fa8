package ryemast.fleet.signals;

import ryemast.fleet.LeaseTerms;

/**
 * Computes the earliest time, on our clock, at which a peer can have sent its digests. The exchange is that
 * of NTP (RFC 5905, section 8): a digest of ours, sent at T1 on our clock, is received by the peer at T2 on
 * its own; so what the peer sends at T3 on its clock it sends at T1 + (T3 - T2) on ours, or later by the
 * one-way delay of our digest.
 *
 * <p>Guarantees, as long as each clock is within {@link LeaseTerms#DEFAULT_DRIFT} of true time and none stops
 * or jumps: no digest is dated later than it was sent, however late it arrives; and earlier by no more than
 * the shortest one-way delay of our digests to the peer, and the drift since. Of all exchanges the one that
 * yields the latest time is kept (as the clock filter of section 10 keeps the one with the least delay):
 * each is a lower bound, so the latest is the tightest, and remains so, as all lose the same by drift.
 * NTP's offset, half the round trip, is closer still if both directions are alike, and wrong if they are
 * not.
 */
final class PeerClock {

    /** Largest relative difference between a fast and a slow clock over a time span. */
    static final double MAX_DRIFT = (1 + LeaseTerms.DEFAULT_DRIFT) / (1 - LeaseTerms.DEFAULT_DRIFT) - 1;
    /** Clocks are read in whole microseconds and adjusted in steps; smaller differences are tolerated. */
    static final long ROUNDING_TOLERANCE = 1000;
    /** About a thousand years: beyond, sums could overflow. */
    private static final long MAX_TIME = 1L << 55;

    private Echo bestExchange;
    private boolean jumped;
    private long jumpedAt;

    /** Whether the peer has echoed a digest of ours, so that its digests can be dated. */
    boolean isKnown() {
        return bestExchange != null;
    }

    /**
     * The earliest time, on our clock, at which the peer's clock showed the given time; requires
     * {@link #isKnown}.
     */
    long earliestSendTime(long sentAt) {
        return earliestSendTime(bestExchange, sentAt);
    }

    private static long earliestSendTime(Echo exchange, long sentAt) {
        long elapsed = sentAt - exchange.receivedAt();
        return exchange.sentAt() + elapsed - (long) Math.ceil(MAX_DRIFT * Math.abs(elapsed));
    }

    /**
     * Takes over a digest's timestamps; returns false if they are impossible. A digest dated later than its
     * receipt shows that a clock has stopped or jumped, as when a machine was suspended: all exchanges up
     * to then are discarded. That happens to honest peers, but not twice within {@link Peer#SUSPENSION}.
     *
     * @param ownProcess  the ID of our process; an echo of another one is ignored
     */
    boolean accept(long now, long ownProcess, Digest digest) {
        var echo = digest.echo();
        if (!isValidTime(digest.sentAt()) || echo != null
                && !(isValidTime(echo.sentAt()) && isValidTime(echo.receivedAt())
                && echo.receivedAt() <= digest.sentAt())) {
            return false;
        }
        if (echo != null && echo.process() == ownProcess && !(jumped && echo.sentAt() <= jumpedAt)) {
            if (echo.sentAt() > now) {
                return false;
            }
            if (bestExchange == null
                    || earliestSendTime(echo, digest.sentAt()) > earliestSendTime(digest.sentAt())) {
                bestExchange = echo;
            }
        }
        if (bestExchange == null || earliestSendTime(digest.sentAt()) <= now + ROUNDING_TOLERANCE) {
            return true;
        }
        boolean repeated = jumped && now - jumpedAt < Peer.SUSPENSION;
        bestExchange = null;
        jumped = true;
        jumpedAt = now;
        return !repeated;
    }

    private static boolean isValidTime(long time) {
        return time >= 0 && time <= MAX_TIME;
    }
}
