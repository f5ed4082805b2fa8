package ryemast.recovery;

/**
 * What becomes of an accepted job when a turn of it is over, or when the dispatcher was killed in the midst
 * of one. Guarantees that a job whose class must run once is never handed in again unless it is proved that
 * it has not run, and that every other job comes to an end after a stated number of turns.
 *
 * <p>A turn is one pass through the decision module, which may make several attempts by its own rules; its
 * refusal proves that nothing has run, as the module refuses only what has certainly not. Its failure
 * proves nothing. A process that was killed leaves what is on the disk: an attempt's intent is written
 * before its first byte leaves, so that no intent on the disk means that nothing has left. That is the rule
 * of write-ahead logging (Mohan et al., ARIES, 1992) with the worker in the place of the page.
 */
public final class Aftermath {

    /** What to do with the job. */
    public enum Next {
        /** Hand it in anew. */
        AGAIN,
        /** It has ended: served. */
        DONE,
        /** It has ended: it failed, or may have run and must not run again. */
        FAILED
    }

    /** How a turn ended. */
    public enum Turn {
        SERVED,
        /** Refused: it has certainly not run. */
        REFUSED,
        /** It failed: it may have run, or can't be run by any worker. */
        FAILED,
        /** The process was killed, and an attempt's intent was written: it may have run, or may run yet. */
        CUT_OFF,
        /** The process was killed, and no intent was written: nothing has left. */
        NOT_BEGUN
    }

    private static final long FIRST_PAUSE = 200_000;
    private static final long LONGEST_PAUSE = 30_000_000;
    private static final int MOST_DOUBLINGS = 20;

    private Aftermath() {
    }

    /**
     * @param runsOnce  whether the job's class must run once at most
     * @param failures  turns of it that have failed, this one included
     * @param most      so many turns may fail, at least 1
     */
    public static Next after(Turn turn, boolean runsOnce, int failures, int most) {
        return switch (turn) {
            case SERVED -> Next.DONE;
            case REFUSED, NOT_BEGUN -> Next.AGAIN;
            case FAILED -> runsOnce || failures >= most ? Next.FAILED : Next.AGAIN;
            // The process's end is not the job's fault: for one that may be repeated it is no failure.
            case CUT_OFF -> runsOnce ? Next.FAILED : Next.AGAIN;
        };
    }

    /**
     * How long a job waits before it is handed in anew after it has failed, in microseconds: twice as long
     * each time. {@code failures}: turns that have failed.
     */
    public static long pause(int failures) {
        return failures <= 0 ? 0
                : Math.min(LONGEST_PAUSE, FIRST_PAUSE << Math.min(MOST_DOUBLINGS, failures - 1));
    }
}
