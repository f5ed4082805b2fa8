package ryemast.lab.site;

/** One call to discovery, as discovery speaks on it. */
public interface Tell {

    /** The status comes first; {@code stream}: lines follow for as long as the connection lasts. */
    void head(int status, boolean stream);

    /** One JSON object, or nothing for a beat. On a call that is no stream it is the whole body. */
    void line(String json);

    /** Discovery ends the connection; {@code broken}: with a reset. */
    void end(boolean broken);
}
