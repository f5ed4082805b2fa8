package ryemast.lab.site;

/** One connection to a box, as the box speaks on it: one of these for each request, once. */
public interface Visit {

    /** 202. */
    void accept();

    /** 503 with {@code X-Turned-Away: 1}: certainly not run. */
    void turnAway();

    /** A status that says no more than itself, such as 400, 404 or 500. */
    void answer(int status);

    /** The connection breaks with a reset; also between requests. */
    void reset();

    /** The connection ends in order, as when it has rested for too long. */
    void close();
}
