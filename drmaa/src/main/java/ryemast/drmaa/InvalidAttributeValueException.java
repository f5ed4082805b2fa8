package ryemast.drmaa;

/** A value of a job template, or of a call, can't be. */
public class InvalidAttributeValueException extends DrmaaException {

    private static final long serialVersionUID = 1L;

    public InvalidAttributeValueException(String message) {
        super(message);
    }
}
