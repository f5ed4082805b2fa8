package ryemast.fleet;

/**
 * The holder's side of a lease. Guarantees that the holder may act only while no observer can have seen its
 * record unchanged for long enough: the lease is counted from before the first send of a heartbeat that took
 * effect, and for less than its duration (Gray and Cheriton, 1989). One heartbeat is in flight at a time.
 * Until its outcome is known the same one is sent again, so that a write that arrives late changes nothing.
 */
public class Lease {

    private static final long NEVER = Long.MIN_VALUE;

    private final LeaseTerms terms;
    private long sequence;
    private long version;
    private long sentAt = NEVER;
    private long validFrom;
    private long validUntil = NEVER;
    private long dueAt;
    private boolean suspended;
    private boolean mayStillApply;
    private int failures;

    public Lease(LeaseTerms terms) {
        this.terms = terms;
    }

    /** Starts again with heartbeat 0, which registers; the holder may not act before {@code earliest}. */
    void start(long earliest, long now) {
        sequence = 0;
        dueAt = now;
        validFrom = earliest;
        validUntil = NEVER;
        suspended = false;
        if (!mayStillApply) {
            sentAt = NEVER;
        }
    }

    /** The current heartbeat is sent, or sent again; returns its sequence number. */
    public long sending(long now) {
        sentAt = sentAt == NEVER ? now : sentAt;
        dueAt = Long.MAX_VALUE;
        return sequence;
    }

    /** The heartbeat took effect, and its record has this version. */
    public void done(long now, long newVersion) {
        version = newVersion;
        validUntil = Math.max(validUntil, sentAt + terms.holderDuration());
        dueAt = Math.max(sentAt + terms.heartbeatInterval(), now);
        sequence++;
        sentAt = NEVER;
        suspended = false;
        mayStillApply = false;
        failures = 0;
    }

    /** It took no effect because of a record's version: the lease is suspended until the record is read. */
    void conflict() {
        suspended = true;
    }

    void unknown(long now) {
        mayStillApply = true;
        dueAt = now + terms.retryDelay(++failures);
    }

    /** The last send will never take effect; earlier sends still may. */
    public void notDone(long now) {
        sentAt = mayStillApply ? sentAt : NEVER;
        dueAt = now + terms.retryDelay(++failures);
    }

    /** A read returned a heartbeat of this process: the one in flight, or one from a restored backup. */
    void resolveByRead(long now, MemberRecord own) {
        if (own.sequence() == sequence && sentAt != NEVER) {
            done(now, own.version());
            return;
        }
        version = own.version();
        suspended = false;
        dueAt = now;
    }

    /** The lease has ended: the name is held by another process, or by none. */
    void invalidate() {
        validUntil = NEVER;
        dueAt = Long.MAX_VALUE;
    }

    public boolean mayAct(long now) {
        return !suspended && now >= validFrom && now < validUntil;
    }

    /** In the past where the lease is not valid. */
    public long mayActUntil() {
        return suspended ? NEVER : validUntil;
    }

    /** Before this time the holder may not act even with a valid lease: the previous holder still may. */
    long validFrom() {
        return validFrom;
    }

    /** When a heartbeat is to be sent; {@link Long#MAX_VALUE} while one is in flight. */
    long dueAt() {
        return dueAt;
    }

    long version() {
        return version;
    }

    long sequence() {
        return sequence;
    }

    /** Whether an earlier send may still take effect. */
    boolean mayStillApply() {
        return mayStillApply;
    }
}
