package ryemast.drmaa;

/** The session is active already, or one of that name exists. */
public class AlreadyActiveSessionException extends DrmaaException {

    private static final long serialVersionUID = 1L;

    public AlreadyActiveSessionException(String message) {
        super(message);
    }
}
