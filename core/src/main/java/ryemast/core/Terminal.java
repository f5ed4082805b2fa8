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

    /** What is known of the client's being there. */
    enum Presence {
        PRESENT,
        /** It may have left, and that is soon known: an attempt waits for it. */
        UNKNOWN,
        GONE
    }

    /** Whether the client is there still; no attempt begins for one that may have left. */
    default Presence presence() {
        return Presence.PRESENT;
    }
}
