package ryemast.core;

/** What came of asking a worker to drop an attempt. */
public enum Recalled {
    /** It has answered: the attempt does not run there any more. */
    ANSWERED,
    /**
     * It could not be asked, or did not answer. A refused connection is no proof that its process is gone: a
     * worker that has all the connections it accepts refuses more.
     */
    UNANSWERED
}
