package ryemast.drmaa;

/** Only a job that waits can be held. */
public class HoldInconsistentStateException extends DrmaaException {

    private static final long serialVersionUID = 1L;

    public HoldInconsistentStateException(String message) {
        super(message);
    }
}
