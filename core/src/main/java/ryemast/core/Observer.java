package ryemast.core;

import java.util.List;
import pipitladder.Dispatcher.ListKind;
import pipitladder.Dispatcher.Outcome;
import pipitladder.Dispatcher.WorkerInfo;

/**
 * Sees what passes through an {@link Exchange}, as it happens, and changes nothing. All calls are made on the
 * loop's thread and must return at once. Times are on the loop's clock.
 */
public interface Observer {

    /** What a client was told in the end. */
    enum Answer { SERVED, REFUSED, FAILED,
        /** The client has gone away before it was told anything. */
        LEFT }

    /** A transaction is taken in under a number of its own. */
    void taken(long number, Submission submission, long now);

    /** Too many are open: the transaction is refused and gets no number. */
    void turnedAway(Submission submission, long now);

    /** An attempt goes out; {@code until}: how long it is waited for. */
    void sent(long number, int attempt, String worker, long until, long now);

    /** The worker has taken the job. */
    void accepted(long number, int attempt, long now);

    void started(long number, int attempt, long now);

    /** {@code share}: of the job that is done, from 0 to 1. */
    void progressed(long number, int attempt, double share, long now);

    void ended(long number, int attempt, Outcome outcome, long now);

    /** {@code retryAfter}: the advice that goes with a refusal, in microseconds; 0: none. */
    void answered(long number, Answer answer, long retryAfter, long now);

    void listed(ListKind kind, List<WorkerInfo> workers, long now);
}
