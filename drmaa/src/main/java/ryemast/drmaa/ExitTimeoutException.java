package ryemast.drmaa;

/** The time to wait is over, and the job, or one of the jobs, has not ended. */
public class ExitTimeoutException extends DrmaaException {

    private static final long serialVersionUID = 1L;

    public ExitTimeoutException(String message) {
        super(message);
    }
}
