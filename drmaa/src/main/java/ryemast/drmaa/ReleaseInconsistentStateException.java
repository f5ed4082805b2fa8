package ryemast.drmaa;

/** Only a job that is held can be released. */
public class ReleaseInconsistentStateException extends DrmaaException {

    private static final long serialVersionUID = 1L;

    public ReleaseInconsistentStateException(String message) {
        super(message);
    }
}
