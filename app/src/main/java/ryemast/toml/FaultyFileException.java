package ryemast.toml;

/** A file that can't be used as it is; the message holds all that is wrong with it, one fault a line. */
public final class FaultyFileException extends Exception {

    private static final long serialVersionUID = 1L;

    public FaultyFileException(String message) {
        super(message);
    }
}
