package ryemast.drmaa;

/** What can go wrong in a call, as DRMAA 1.0 (GFD-R.133) names it; the message says what did. */
public class DrmaaException extends Exception {

    private static final long serialVersionUID = 1L;

    public DrmaaException(String message) {
        super(message);
    }

    public DrmaaException(String message, Throwable cause) {
        super(message, cause);
    }
}
