package ryemast.net;

/** What the loop keeps for one connection; both calls are made there. */
public interface Link {

    /** A message, or the exception that came in place of one; {@code at}: when, on the loop's clock. */
    void received(Object message, long at);

    /** The connection is gone. */
    void ended();
}
