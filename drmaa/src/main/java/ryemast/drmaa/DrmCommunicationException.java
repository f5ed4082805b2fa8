package ryemast.drmaa;

/** The dispatcher could not be reached, or went away, for longer than was to be waited. */
public class DrmCommunicationException extends DrmaaException {

    private static final long serialVersionUID = 1L;

    public DrmCommunicationException(String message) {
        super(message);
    }

    public DrmCommunicationException(String message, Throwable cause) {
        super(message, cause);
    }
}
