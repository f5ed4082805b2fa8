package ryemast.drmaa;

/** The contact string is not of the form that is wanted, or names what is not there. */
public class InvalidContactStringException extends DrmaaException {

    private static final long serialVersionUID = 1L;

    public InvalidContactStringException(String message) {
        super(message);
    }
}
