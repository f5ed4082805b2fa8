package ryemast.fleet;

/**
 * State machine by which this process acquires, renews, loses and releases its name in the fleet. Guarantees
 * that of all processes with one name at most one may act at any time, and that each holds it under an
 * incarnation number higher than any seen before.
 *
 * <p>A name that has a record is taken over only after the record has been unchanged for long enough. Where
 * the record is still being written, two live processes claim the name. The newcomer then takes it over once,
 * so that a process started to replace a hanging one prevails, and the older one steps down until the name is
 * free. After {@link #MAX_TAKEOVERS} such takeovers in a row, each by a newly started process, the newcomer
 * yields instead, so that two processes that are both restarted forever end with one of them holding the
 * name. docs/fleet.md has the state table.
 *
 * <p>Event-driven: {@link #nextOperation} returns the next operation to perform; its result is passed to
 * {@link #onRead}, {@link #onReadFailed} or {@link #onOutcome}, and no other operation is due until then.
 */
public final class NameRegistration {

    /** One to replace a hanging process, two to correct a replacement that was started by mistake. */
    public static final int MAX_TAKEOVERS = 3;

    /** The operation to perform. */
    public enum Operation {
        /** Read {@link #fence()}'s record and this member's record, consistently. */
        READ,
        /** Write the fence as {@link #acquiredFence()} and the member's record with heartbeat 0. */
        REGISTER,
        /** Write the member's record, requiring the fence. */
        HEARTBEAT,
        /** Remove the member's record and write the fence as {@link #releasedFence(long)}. */
        LEAVE
    }

    /** An event that operators should know of. */
    public enum Event { NONE, STEPPED_DOWN, YIELDED }

    private enum State { READING, REGISTERING, HELD, LEAVING, LEFT }

    private final String name;
    private final String process;
    private final LeaseTerms terms;
    private final Lease lease;
    private final UnchangedTimer otherRecord = new UnchangedTimer();
    private State state = State.READING;
    private boolean inFlight;
    private long dueAt = Long.MIN_VALUE;
    private int failures;
    private long highestIncarnation;
    private long incarnation;
    private FenceRecord fence = FenceRecord.NONE;
    private MemberRecord member;
    private boolean held;
    private boolean mayTakeOver = true;
    private int takeovers;
    private boolean releasing;
    private long releaseBy;
    private Event event = Event.NONE;

    public NameRegistration(String name, String process, LeaseTerms terms) {
        this(name, process, terms, new Lease(terms));
    }

    public NameRegistration(String name, String process, LeaseTerms terms, Lease lease) {
        this.name = name;
        this.process = process;
        this.terms = terms;
        this.lease = lease;
    }

    /** The operation to perform now, which is then in flight; null: none. */
    public Operation nextOperation(long now) {
        if (inFlight || now < dueAt()) {
            return null;
        }
        inFlight = true;
        if (state == State.READING) {
            return Operation.READ;
        }
        if (state == State.LEAVING) {
            return Operation.LEAVE;
        }
        lease.sending(now);
        return state == State.REGISTERING ? Operation.REGISTER : Operation.HEARTBEAT;
    }

    /** When {@link #nextOperation} returns an operation; {@link Long#MAX_VALUE}: not before a result. */
    public long nextDue() {
        return inFlight ? Long.MAX_VALUE : dueAt();
    }

    private long dueAt() {
        return switch (state) {
            case READING, LEAVING -> dueAt;
            case REGISTERING, HELD -> lease.dueAt();
            case LEFT -> Long.MAX_VALUE;
        };
    }

    /** Both records as read; {@link FenceRecord#NONE} and null where they are absent. */
    public void onRead(long now, FenceRecord fenceNow, MemberRecord memberNow) {
        inFlight = false;
        failures = 0;
        boolean own = incarnation > 0 && fenceNow.process().equals(process)
                && fenceNow.incarnation() == incarnation;
        if (!own) {
            onNameLost(fenceNow);
        }
        fence = fenceNow;
        member = memberNow;
        observeIncarnation(fenceNow.incarnation());
        observeIncarnation(memberNow == null ? 0 : memberNow.incarnation());
        boolean written = memberNow != null && memberNow.process().equals(process);
        if (own && written && memberNow.incarnation() == incarnation) {
            lease.resolveByRead(now, memberNow);
            markHeld();
        } else if (releasing) {
            state = State.LEFT;
        } else if (memberNow != null && !written) {
            awaitExpiry(now, memberNow.version(), memberNow.duration());
        } else if (memberNow == null && !isVacant(fenceNow)) {
            // The heartbeat was lost (restored backup, manual edit), but the member was not declared gone.
            awaitExpiry(now, fenceNow.version(), terms.duration());
        } else {
            startRegistering(now, Long.MIN_VALUE, 0);
        }
        if (releasing) {
            continueRelease(now);
        }
    }

    private void onNameLost(FenceRecord current) {
        if (held && !current.process().isEmpty() && current.incarnation() >= incarnation) {
            mayTakeOver = false;
            event = Event.STEPPED_DOWN;
        }
        held = false;
        lease.invalidate();
    }

    private boolean isVacant(FenceRecord record) {
        return record.process().isEmpty() || record.process().equals(process);
    }

    /** Another process holds the name, by a record at this version. */
    private void awaitExpiry(long now, long version, long duration) {
        otherRecord.observe(now, version, terms.observerTimeout(duration));
        if (now >= otherRecord.expiresAt()) {
            startRegistering(now, Long.MIN_VALUE, 0);
        } else if (otherRecord.changed() && mayTakeOver && fence.takeovers() < MAX_TAKEOVERS) {
            startRegistering(now, otherRecord.expiresAt(), fence.takeovers() + 1);
        } else {
            if (otherRecord.changed() && mayTakeOver) {
                mayTakeOver = false;
                event = Event.YIELDED;
            }
            state = State.READING;
            dueAt = Math.min(now + terms.heartbeatInterval(), otherRecord.expiresAt());
        }
    }

    private void markHeld() {
        held = true;
        mayTakeOver = false;
        state = State.HELD;
    }

    private void startRegistering(long now, long earliest, int consecutiveTakeovers) {
        incarnation = highestIncarnation + 1;
        takeovers = consecutiveTakeovers;
        lease.invalidate();
        lease.start(earliest, now);
        state = State.REGISTERING;
    }

    public void onReadFailed(long now) {
        inFlight = false;
        state = State.READING;
        retryLater(now);
    }

    /** {@code fenceVersion} and {@code memberVersion}: the versions of both records, if it is done. */
    public void onOutcome(long now, Outcome outcome, long fenceVersion, long memberVersion) {
        inFlight = false;
        if (state == State.LEAVING) {
            onLeaveOutcome(now, outcome);
            return;
        }
        switch (outcome) {
            case DONE -> {
                if (state == State.REGISTERING) {
                    fence = acquiredFence(fenceVersion);
                    otherRecord.reset();
                    observeIncarnation(incarnation);
                }
                lease.done(now, memberVersion);
                markHeld();
            }
            case CONFLICT -> {
                lease.conflict();
                readNow(now);
            }
            case UNKNOWN -> lease.unknown(now);
            case NOT_DONE -> lease.notDone(now);
        }
        if (releasing) {
            continueRelease(now);
        }
    }

    private void onLeaveOutcome(long now, Outcome outcome) {
        if (outcome == Outcome.DONE || now >= releaseBy) {
            state = State.LEFT;
        } else if (outcome == Outcome.CONFLICT) {
            readNow(now);
        } else {
            retryLater(now);
        }
    }

    private void readNow(long now) {
        state = State.READING;
        dueAt = now;
    }

    private void retryLater(long now) {
        dueAt = now + terms.retryDelay(++failures);
        if (releasing && now >= releaseBy) {
            state = State.LEFT;
        }
    }

    /** Releases the name in an orderly way; this process may not act from now on. */
    public void leave(long now) {
        if (!releasing) {
            releasing = true;
            releaseBy = now + terms.duration();
            lease.invalidate();
            if (!inFlight) {
                continueRelease(now);
            }
        }
    }

    private void continueRelease(long now) {
        lease.invalidate();
        if (state == State.HELD) {
            state = State.LEAVING;
            dueAt = now;
        } else if (state == State.REGISTERING && now < releaseBy && lease.mayStillApply()) {
            readNow(now);
        } else if (state != State.READING || !held || now >= releaseBy) {
            state = State.LEFT;
        }
    }

    /** An incarnation of this name was seen; the next one acquired is higher. */
    void observeIncarnation(long seen) {
        highestIncarnation = Math.max(highestIncarnation, seen);
    }

    public boolean mayAct(long now) {
        return state != State.LEFT && !releasing && lease.mayAct(now);
    }

    /** When time alone may change {@link #mayAct}; {@link Long#MAX_VALUE}: never. */
    public long mayActChangesAt(long now) {
        long from = lease.validFrom();
        return now < from ? from : lease.mayAct(now) ? lease.mayActUntil() : Long.MAX_VALUE;
    }

    public long mayActUntil() {
        return releasing ? Long.MIN_VALUE : lease.mayActUntil();
    }

    /** Whether, as far as this process knows, it holds the name; this alone does not permit it to act. */
    public boolean isHeld() {
        return held && state != State.LEFT;
    }

    public boolean hasLeft() {
        return state == State.LEFT;
    }

    public String name() {
        return name;
    }

    public String process() {
        return process;
    }

    public long incarnation() {
        return incarnation;
    }

    /** As last read or written. */
    public FenceRecord fence() {
        return fence;
    }

    /** The fence that a {@link Operation#REGISTER} writes. */
    public FenceRecord acquiredFence() {
        return acquiredFence(0);
    }

    private FenceRecord acquiredFence(long version) {
        return new FenceRecord(incarnation, process, takeovers, version);
    }

    /** The fence that a {@link Operation#LEAVE} leaves behind. */
    public FenceRecord releasedFence(long version) {
        return new FenceRecord(incarnation + 1, "", 0, version);
    }

    /** The heartbeat to write; its version is the one that the stored record must have. */
    public MemberRecord heartbeat() {
        long requiredVersion = state == State.REGISTERING ? member == null ? 0 : member.version()
                : lease.version();
        return new MemberRecord(name, incarnation, process, lease.sequence(), terms.duration(),
                requiredVersion);
    }

    /** The event since the previous call. */
    public Event event() {
        var latest = event;
        event = Event.NONE;
        return latest;
    }
}
