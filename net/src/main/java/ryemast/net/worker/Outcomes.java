package ryemast.net.worker;

import pipitladder.Dispatcher.Outcome;
import ryemast.core.Recalled;

/** What an answer, or the want of one, means for an attempt, as the protocol's table has it. */
public final class Outcomes {

    /** The status that says that the worker has taken the job. */
    public static final int TAKEN = 202;

    private static final int FAULT_OF_REQUEST = 400;
    private static final int ERROR = 500;

    private Outcomes() {
    }

    /** {@code written}: whether the request's last byte was; then the job may have run. */
    public static Outcome ofBreak(boolean written) {
        return written ? Outcome.RESET : Outcome.CONNECT_FAILED;
    }

    /** Of an answer other than {@link #TAKEN}; {@code turnedAway}: it is 503 or 504 and says so. */
    public static Outcome ofAnswer(int status, boolean turnedAway) {
        // Guards workers against a bad client: what its request is answered with says nothing of the worker.
        boolean unusable = status >= FAULT_OF_REQUEST && status < ERROR;
        return turnedAway ? Outcome.REJECTED : unusable ? Outcome.UNUSABLE : Outcome.ERROR;
    }

    /** Of an answer to a cancel. A worker that failed, or had no room for it, may still have the job. */
    public static Recalled ofCancelAnswer(int status) {
        return status < ERROR ? Recalled.ANSWERED : Recalled.UNANSWERED;
    }
}
