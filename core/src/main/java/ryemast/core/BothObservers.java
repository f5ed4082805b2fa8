package ryemast.core;

import java.util.List;
import pipitladder.Dispatcher.ListKind;
import pipitladder.Dispatcher.Outcome;
import pipitladder.Dispatcher.WorkerInfo;

/** Two who look on, told in this order. */
record BothObservers(Observer one, Observer other) implements Observer {

    @Override
    public void taken(long number, Submission submission, long now) {
        one.taken(number, submission, now);
        other.taken(number, submission, now);
    }

    @Override
    public void turnedAway(Submission submission, long now) {
        one.turnedAway(submission, now);
        other.turnedAway(submission, now);
    }

    @Override
    public void sent(long number, int attempt, String worker, long until, long now) {
        one.sent(number, attempt, worker, until, now);
        other.sent(number, attempt, worker, until, now);
    }

    @Override
    public void accepted(long number, int attempt, long now) {
        one.accepted(number, attempt, now);
        other.accepted(number, attempt, now);
    }

    @Override
    public void started(long number, int attempt, long now) {
        one.started(number, attempt, now);
        other.started(number, attempt, now);
    }

    @Override
    public void progressed(long number, int attempt, double share, long now) {
        one.progressed(number, attempt, share, now);
        other.progressed(number, attempt, share, now);
    }

    @Override
    public void ended(long number, int attempt, Outcome outcome, long now) {
        one.ended(number, attempt, outcome, now);
        other.ended(number, attempt, outcome, now);
    }

    @Override
    public void answered(long number, Answer answer, long retryAfter, long now) {
        one.answered(number, answer, retryAfter, now);
        other.answered(number, answer, retryAfter, now);
    }

    @Override
    public void listed(ListKind kind, List<WorkerInfo> workers, long now) {
        one.listed(kind, workers, now);
        other.listed(kind, workers, now);
    }
}
