package ryemast.timetable;

import ryemast.recovery.RecoveryPolicy;
import ryemast.timetable.Content.How;
import ryemast.timetable.Content.State;

/**
 * What is to be done with a fire, from its record and what became of its job here, and from nothing else: no
 * order of events matters. Guarantees that what must run once is handed in only under a record that says
 * 'sent', has the holder's present fence and has not been handed in under; and that a replica whose lease is
 * not good does nothing but record ends.
 */
final class Course {

    /** What to do now. */
    enum Next {
        /** Nothing until something changes. */
        NOTHING,
        /** Nothing until the lease is good. */
        LEASE,
        /** Nothing until {@link Fire#notBefore}. */
        PAUSE,
        /** Another one has it and lives: look again later. */
        FOREIGN,
        /** Record that it is about to be sent. */
        SENT,
        HAND_IN,
        /** Record that it has been turned away, and so has not run. */
        BACK,
        /** May be handed in anew: no record says otherwise. */
        AGAIN,
        /** Take it over from one that is gone. */
        TAKE,
        SERVED, FAILED, REFUSED, LATE,
        UNKNOWN,
        /** The job here is nobody's any more. */
        WITHDRAW
    }

    /**
     * @param fence   0: none
     * @param owner   whether the entry is this replica's
     * @param handed  whether the fire's recorded turn was handed in by this process already
     */
    record Now(long now, long wall, String self, long fence, boolean mayAct, boolean owner, boolean handed,
            int mostFailures) {
    }

    private Course() {
    }

    static Next next(Fire fire, Now at) {
        if (fire.busy || at.fence == 0) {
            return Next.NOTHING;
        }
        return fire.isMine(at.self, at.fence) ? ours(fire, at) : others(fire, at);
    }

    private static Next ours(Fire fire, Now at) {
        if (fire.out) {
            return Next.NOTHING;
        }
        if (fire.told != null) {
            return told(fire, at);
        }
        if (fire.life.state() == State.SENT && at.handed) {
            return Next.UNKNOWN;
        }
        if (at.wall > fire.life.until() || fire.entry == null || fire.again >= Fire.STRIDE - 1) {
            return unstarted(fire);
        }
        if (at.now < fire.notBefore) {
            return Next.PAUSE;
        }
        if (!at.mayAct) {
            return Next.LEASE;
        }
        return fire.life.once() && fire.life.state() == State.CLAIMED ? Next.SENT : Next.HAND_IN;
    }

    /** It could not be started in its window. What was taken over may have run before. */
    private static Next unstarted(Fire fire) {
        return !fire.life.once() && fire.life.turn() >= Fire.STRIDE || fire.failures > 0 ? Next.FAILED
                : fire.refusals > 0 ? Next.REFUSED : Next.LATE;
    }

    private static Next told(Fire fire, Now at) {
        if (fire.told == How.SERVED) {
            return Next.SERVED;
        }
        boolean once = fire.life.once();
        if (fire.told == How.REFUSED) {
            return at.wall > fire.life.until() ? unstarted(fire) : once ? Next.BACK : Next.AGAIN;
        }
        return RecoveryPolicy.nextStep(RecoveryPolicy.DispatchOutcome.FAILED, once, fire.failures,
                at.mostFailures)
                == RecoveryPolicy.NextStep.RESUBMIT ? Next.AGAIN : Next.FAILED;
    }

    private static Next others(Fire fire, Now at) {
        if (fire.out) {
            return Next.WITHDRAW;
        }
        boolean gone = fire.gone || fire.life.holder().equals(at.self) && fire.life.fence() < at.fence;
        if (!gone) {
            return Next.FOREIGN;
        }
        if (!at.owner) {
            return Next.NOTHING;
        }
        if (!at.mayAct) {
            return Next.LEASE;
        }
        if (fire.life.once()) {
            return fire.life.state() == State.SENT ? Next.UNKNOWN
                    : at.wall > fire.life.until() || fire.entry == null ? Next.LATE : Next.TAKE;
        }
        return fire.entry == null ? Next.UNKNOWN : Next.TAKE;
    }
}
