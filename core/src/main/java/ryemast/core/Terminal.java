package ryemast.core;

/** The client's side of one transaction: exactly one of these is called, once. */
public interface Terminal {

    void served(String result);

    /** Turned away, with no harm in another try; {@code retryAfter} in microseconds, 0: no advice. */
    void refused(long retryAfter);

    void failed();
}
