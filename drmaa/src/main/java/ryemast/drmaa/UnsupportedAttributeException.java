package ryemast.drmaa;

/** An attribute of DRMAA's that means nothing for jobs of this kind. */
public class UnsupportedAttributeException extends DrmaaException {

    private static final long serialVersionUID = 1L;

    public UnsupportedAttributeException(String message) {
        super(message);
    }
}
