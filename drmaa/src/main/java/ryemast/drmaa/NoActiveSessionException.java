package ryemast.drmaa;

/** There is no active session, or none of that name. */
public class NoActiveSessionException extends DrmaaException {

    private static final long serialVersionUID = 1L;

    public NoActiveSessionException(String message) {
        super(message);
    }
}
