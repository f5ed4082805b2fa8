package ryemast.drmaa;

/** A job that is out can't be suspended by any worker. */
public class SuspendInconsistentStateException extends DrmaaException {

    private static final long serialVersionUID = 1L;

    public SuspendInconsistentStateException(String message) {
        super(message);
    }
}
