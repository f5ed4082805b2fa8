package ryemast.drmaa;

/** The submitter's key does not let it in, or not to that. */
public class AuthorizationException extends DrmaaException {

    private static final long serialVersionUID = 1L;

    public AuthorizationException(String message) {
        super(message);
    }
}
