package ryemast.drmaa;

/** Only a job that is suspended can be resumed, and none ever is. */
public class ResumeInconsistentStateException extends DrmaaException {

    private static final long serialVersionUID = 1L;

    public ResumeInconsistentStateException(String message) {
        super(message);
    }
}
