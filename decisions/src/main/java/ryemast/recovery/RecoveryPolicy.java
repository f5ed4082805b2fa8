package ryemast.recovery;

/**
 * Decides what happens to an accepted job after a dispatch of it has ended, or after the dispatcher was
 * killed during one. A job whose class must run at most once is resubmitted only if it is proven not to have
 * run; every other job ends after a bounded number of dispatches.
 *
 * <p>A dispatch is one pass through the decision module, which may make several attempts by its own rules.
 * Its refusal alone does not prove that nothing has run: a class that bears repeats for a while is refused
 * though an attempt may have run. Which it is comes with the refusal; a job that may have run and must not
 * run again has failed. A failure proves nothing. After a crash the disk decides: the intent of an attempt is
 * written before its first byte is sent, so that without an intent on the disk nothing was sent. That is
 * write-ahead logging (Mohan et al., ARIES, 1992), with the worker in place of the page.
 */
public final class RecoveryPolicy {

    /** The next step for the job. */
    public enum NextStep {
        /** Resubmit it. */
        RESUBMIT,
        /** It has ended successfully. */
        DONE,
        /** It has ended: it failed, or it may have run and must not run again. */
        FAILED
    }

    /** How a dispatch ended. */
    public enum DispatchOutcome {
        SERVED,
        /** Refused: the job certainly did not run. */
        REFUSED,
        /** It failed: the job may have run, or no worker can run it. */
        FAILED,
        /**
         * The process was killed after an attempt's intent was written: the job may have run, or may still
         * run.
         */
        INTERRUPTED,
        /** The process was killed before an intent was written: nothing was sent. */
        NOT_STARTED
    }

    private static final long INITIAL_BACKOFF = 200_000;
    private static final long MAX_BACKOFF = 30_000_000;
    private static final int MAX_DOUBLINGS = 20;

    private RecoveryPolicy() {
    }

    /**
     * @param runsOnce whether the job's class must run at most once
     * @param failures the number of failed dispatches, this one included
     * @param maxFailures the maximum number of failed dispatches, at least 1
     */
    public static NextStep nextStep(DispatchOutcome turn, boolean runsOnce, int failures, int maxFailures) {
        return switch (turn) {
            case SERVED -> NextStep.DONE;
            case REFUSED, NOT_STARTED -> NextStep.RESUBMIT;
            case FAILED -> runsOnce || failures >= maxFailures ? NextStep.FAILED : NextStep.RESUBMIT;
            // A crash of the process is not caused by the job: for a repeatable job it does not count as a
            // failure.
            case INTERRUPTED -> runsOnce ? NextStep.FAILED : NextStep.RESUBMIT;
        };
    }

    /**
     * The delay before a failed job is resubmitted, in microseconds, with exponential backoff.
     * {@code failures}: the number of failed dispatches.
     */
    public static long backoff(int failures) {
        return failures <= 0 ? 0
                : Math.min(MAX_BACKOFF, INITIAL_BACKOFF << Math.min(MAX_DOUBLINGS, failures - 1));
    }
}
