package ryemast.core;

/** One attempt: a transaction sent to a worker. It ends once, with one outcome. */
public final class RoutedTask {

    final Transaction transaction;
    final int number;
    final String worker;
    final long until;
    Runnable timeOut;
    private boolean accepted;
    private boolean ended;
    boolean toldOfEnd;
    boolean toldOfStart;

    RoutedTask(Transaction transaction, int number, String worker, long until) {
        this.transaction = transaction;
        this.number = number;
        this.worker = worker;
        this.until = until;
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
        return ended;
    }

    /** Whether the worker has said that it took the job. */
    public boolean accepted() {
        return accepted;
    }

    void accept() {
        accepted = true;
    }

    void end() {
        ended = true;
    }
}
