package ryemast.core;

/** What came of asking a worker to drop an attempt. */
public enum Recalled {
    /** It has answered: the attempt does not run there any more. */
    ANSWERED,
    /** Nobody listens at its address: its process may be gone. */
    NOBODY_THERE,
    /** It could not be asked, or did not answer. */
    UNANSWERED
}
