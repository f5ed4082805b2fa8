package ryemast.core;

/** The client's side of one transaction: exactly one of these is called, once. */
public interface Terminal {

    void served(String result);

    /**
     * Turned away, with no harm in another try at once.
     *
     * @param retryAfter  when to try again, in microseconds; 0: no advice
     * @param mayHaveRun  whether an attempt may have run or may yet: then the job's class bears a repeat, or
     *                    workers recognise one for as long as the settings say, and no longer
     */
    void refused(long retryAfter, boolean mayHaveRun);

    void failed();

    /** Whether the client is known to be there still; if not, no further attempt is made for it. */
    default boolean isPresent() {
        return true;
    }
}
