package ryemast.drmaa;

/** The dispatcher will not take the job as it is. */
public class DeniedByDrmException extends DrmaaException {

    private static final long serialVersionUID = 1L;

    public DeniedByDrmException(String message) {
        super(message);
    }
}
