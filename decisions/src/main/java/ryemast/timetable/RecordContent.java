package ryemast.timetable;

/** Content of a stored record of the schedule. */
public sealed interface RecordContent {

    /** State of an execution. */
    enum State {
        /**
         * Claimed by a holder. A job that must run at most once has not been submitted; a repeatable one may
         * have been.
         */
        CLAIMED,
        /** Only of jobs that must run at most once: it may have run, and is never submitted again. */
        SENT,
        ENDED,
        /** The holder was lost between SENT and ENDED, or no replica can run it any more. */
        UNKNOWN
    }

    /** Outcome of an execution. */
    enum How {
        /** Not ended yet. */
        NONE, SERVED,
        /** Failed as often as allowed; a job that must run at most once may have run. */
        FAILED,
        /** Refused until its start window had passed; it has not run. */
        REFUSED,
        /** Claimed, but its start window passed before it was submitted. */
        LATE
    }

    /**
     * Record of an execution.
     *
     * @param holder         the replica that claimed it, or recorded its end
     * @param fence          the version of the holder's fencing token at that time
     * @param attempt        attempt number; grows with each submission of a job that must run at most once,
     *                       and by {@link Execution#ATTEMPTS_PER_HOLDER} with each new holder, so that no two
     *                       submissions have the same name
     * @param runsOnce       whether it must not run twice
     * @param recordedAt     when this was decided, by the writer's wall clock (Unix time, microseconds)
     * @param startDeadline  until when it may be started, by the wall clock
     * @param reason         description of an end other than SERVED
     */
    record ExecutionRecord(State state, String holder, long fence, int attempt, boolean runsOnce,
            long recordedAt, long startDeadline, How outcome, String reason) implements RecordContent {

        boolean isOpen() {
            return state == State.CLAIMED || state == State.SENT;
        }

        ExecutionRecord withState(State then, How ended, String reason, long now) {
            return new ExecutionRecord(then, holder, fence, attempt, runsOnce, now, startDeadline, ended,
                    reason);
        }

        /** The same state under another holder or fencing token. */
        ExecutionRecord withHolder(String self, long ownFence, int nextAttempt, long startUntil) {
            return new ExecutionRecord(state, self, ownFence, nextAttempt, runsOnce, recordedAt, startUntil,
                    outcome, reason);
        }
    }

    /**
     * High-water mark of a scheduled job: no execution with a scheduled time up to it is ever claimed
     * (again).
     *
     * @param scheduledTime  Unix time, microseconds
     * @param missed         executions skipped so far because their start window had passed
     * @param skipped        executions skipped so far because an earlier one had not ended
     */
    record Watermark(long scheduledTime, long missed, long skipped) implements RecordContent {
    }
}
