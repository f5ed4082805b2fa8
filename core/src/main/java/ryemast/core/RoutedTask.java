package ryemast.core;

import pipitladder.Dispatcher.Outcome;

/** One attempt: a transaction sent to a worker. It ends once, with one outcome. */
public final class RoutedTask {

    final Transaction transaction;
    final int number;
    final String worker;
    final long until;
    /** Until when it may be written to the worker. */
    final long beginBy;
    Runnable timeOut;
    private boolean accepted;
    private Outcome outcome;
    private Object carrier;
    /** The end that the worker itself told of this attempt for certain, or null. */
    CallBack.State toldEnd;
    boolean toldOfStart;
    /** Its worker is being asked to drop it, and the attempt goes on until it has answered. */
    boolean recalled;
    /** How often its worker was asked in vain. */
    int failedRecalls;

    RoutedTask(Transaction transaction, int number, String worker, long until, long beginBy) {
        this.transaction = transaction;
        this.number = number;
        this.worker = worker;
        this.until = until;
        this.beginBy = beginBy;
    }

    public Submission submission() {
        return transaction.submission;
    }

    /** The worker's id in the service table. */
    public String worker() {
        return worker;
    }

    /** Until when the dispatcher waits for it, on the loop's clock. */
    public long until() {
        return until;
    }

    public boolean ended() {
        return outcome != null;
    }

    /** Whether the worker has said that it took the job. */
    public boolean accepted() {
        return accepted;
    }

    /** What the region keeps about it; null before it has been started. */
    public Object carrier() {
        return carrier;
    }

    public void carrier(Object ofRegion) {
        carrier = ofRegion;
    }

    void accept() {
        accepted = true;
    }

    void end(Outcome how) {
        outcome = how;
    }

    /** Its worker and what became of it, for the log. */
    String described() {
        var state = outcome != null ? outcome.name() : toldOfStart ? "started"
                : accepted ? "accepted" : "sent";
        return worker + " " + state;
    }

    /** Whether its job may have run, or may yet. */
    boolean mayHaveRun() {
        return !ended() || !outcome.provesNotRun;
    }

    /** Whether a call-back of this state may be about this attempt, for the first time or again. */
    boolean mayTell(CallBack.State state) {
        return !ended() || toldEnd == state || owesWord();
    }

    /** Whether the worker may still tell of an end: it may have the job, and was not waited for. */
    private boolean owesWord() {
        return toldEnd == null && (outcome == Outcome.TIMED_OUT || outcome == Outcome.CANCELLED
                || outcome == Outcome.RESET);
    }
}
