package ryemast.log;

/**
 * Named to the JDK's log as its configuration, in place of the file with the JDK's defaults: it sets nothing,
 * so that the root logger begins without handlers and nothing is read from a disk.
 */
public final class NoFile {

    /** Made by the JDK, by name. */
    public NoFile() {
        // What there is to set is set by whoever adds the handler.
    }
}
