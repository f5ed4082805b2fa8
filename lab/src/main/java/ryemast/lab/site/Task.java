package ryemast.lab.site;

import ryemast.lab.books.Job;
import ryemast.lab.world.Timeline;

/** A job that a box has taken: where it stands, and what is to become of it. Owned by {@link Floor}. */
final class Task {

    enum Stage {
        WAITING,
        /** Never begins, though nothing says so. */
        STUCK,
        RUNNING,
        /** Has begun and gets nowhere. */
        HUNG,
        OVER
    }

    /** What is drawn for it when it is taken. */
    enum Fate { DONE, FAILED, LOST, NEVER_STARTS, NEVER_ENDS }

    final String txn;
    final int dispatcher;
    final Job job;
    final Fate fate;
    /** Work until its fate meets it. */
    final double until;
    final long expiresAt;
    final Reporter.Story story;
    Stage stage = Stage.WAITING;
    Work.Piece piece;
    Timeline.Timer expiry;
    Timeline.Timer progress;

    /** {@code expiresAt}: {@link Long#MAX_VALUE} if its sender did not say how long it waits. */
    Task(String txn, int dispatcher, Job job, Fate fate, double until, long expiresAt, Reporter.Story story) {
        this.txn = txn;
        this.dispatcher = dispatcher;
        this.job = job;
        this.fate = fate;
        this.until = until;
        this.expiresAt = expiresAt;
        this.story = story;
    }
}
