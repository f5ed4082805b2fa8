package ryemast.timetable;

import ryemast.recovery.RecoveryPolicy;
import ryemast.timetable.RecordContent.How;
import ryemast.timetable.RecordContent.State;

/**
 * The next step of an execution, as a function of its record and the outcome of its job at this replica only;
 * the order of events doesn't matter. Guarantees that a job that must run at most once is submitted only
 * under a SENT record that has the holder's current fencing token and under which nothing was submitted yet;
 * and that a replica without a valid lease only records ends.
 */
final class TransitionRules {

    /** The next step. */
    enum Next {
        /** Wait for a change. */
        NOTHING,
        /** Wait for a valid lease. */
        AWAIT_LEASE,
        /** Wait until {@link Execution#notBefore}. */
        AWAIT_BACKOFF,
        /** Held by another live replica: check again later. */
        HELD_BY_OTHER,
        /** Record SENT, as it is about to be submitted. */
        RECORD_SENT,
        SUBMIT,
        /** Record that it was refused, and so has not run. */
        RECORD_REFUSAL,
        /** Submit again; no change of the record is needed. */
        RETRY,
        /** Take over from a holder that has been fenced. */
        TAKE_OVER,
        SERVED, FAILED, REFUSED, LATE,
        UNKNOWN,
        /** Withdraw the job submitted here, as another replica holds the execution now. */
        WITHDRAW
    }

    /**
     * @param fence             version of the own fencing token; 0: none
     * @param owner             whether this replica owns the scheduled job
     * @param alreadySubmitted  whether this process has submitted the attempt that the record names
     */
    record Context(long now, long wall, String self, long fence, boolean mayAct, boolean owner,
            boolean alreadySubmitted, int maxFailures) {
    }

    private TransitionRules() {
    }

    static Next next(Execution execution, Context context) {
        if (execution.changePending || context.fence == 0) {
            return Next.NOTHING;
        }
        return execution.isHeldBy(context.self, context.fence) ? nextForOwn(execution, context)
                : nextForOther(execution, context);
    }

    private static Next nextForOwn(Execution execution, Context context) {
        if (execution.submitted) {
            return Next.NOTHING;
        }
        if (execution.outcome != null) {
            return afterOutcome(execution, context);
        }
        if (execution.record.state() == State.SENT && context.alreadySubmitted) {
            return Next.UNKNOWN;
        }
        if (context.wall > execution.record.startDeadline() || execution.definition == null
                || execution.retries >= Execution.ATTEMPTS_PER_HOLDER - 1) {
            return notStarted(execution);
        }
        if (context.now < execution.notBefore) {
            return Next.AWAIT_BACKOFF;
        }
        if (!context.mayAct) {
            return Next.AWAIT_LEASE;
        }
        return execution.record.runsOnce() && execution.record.state() == State.CLAIMED ? Next.RECORD_SENT
                : Next.SUBMIT;
    }

    /**
     * The end of an execution that was not started in its window. One that was taken over may have run
     * before.
     */
    private static Next notStarted(Execution execution) {
        return !execution.record.runsOnce() && execution.record.attempt() >= Execution.ATTEMPTS_PER_HOLDER
                || execution.failures > 0 ? Next.FAILED : execution.refusals > 0 ? Next.REFUSED : Next.LATE;
    }

    private static Next afterOutcome(Execution execution, Context context) {
        if (execution.outcome == How.SERVED) {
            return Next.SERVED;
        }
        boolean once = execution.record.runsOnce();
        if (execution.outcome == How.REFUSED) {
            return context.wall > execution.record.startDeadline() ? notStarted(execution) : once
                    ? Next.RECORD_REFUSAL : Next.RETRY;
        }
        return RecoveryPolicy.nextStep(RecoveryPolicy.DispatchOutcome.FAILED, once, execution.failures,
                context.maxFailures)
                == RecoveryPolicy.NextStep.RESUBMIT ? Next.RETRY : Next.FAILED;
    }

    private static Next nextForOther(Execution execution, Context context) {
        if (execution.submitted) {
            return Next.WITHDRAW;
        }
        boolean holderFenced = execution.holderFenced || execution.record.holder().equals(context.self)
                && execution.record.fence() < context.fence;
        if (!holderFenced) {
            return Next.HELD_BY_OTHER;
        }
        if (!context.owner) {
            return Next.NOTHING;
        }
        if (!context.mayAct) {
            return Next.AWAIT_LEASE;
        }
        if (execution.record.runsOnce()) {
            return execution.record.state() == State.SENT ? Next.UNKNOWN
                    : context.wall > execution.record.startDeadline() || execution.definition == null
                    ? Next.LATE : Next.TAKE_OVER;
        }
        return execution.definition == null ? Next.UNKNOWN : Next.TAKE_OVER;
    }
}
