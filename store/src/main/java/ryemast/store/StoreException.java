package ryemast.store;

/** A store that can't be opened or written; its message names the file and what is wrong with it. */
public final class StoreException extends Exception {

    private static final long serialVersionUID = 1L;

    public StoreException(String message) {
        super(message);
    }

    public StoreException(String message, Throwable cause) {
        super(message, cause);
    }
}
