package ryemast.drmaa;

/** There is no such job in the session, or it has been fetched already. */
public class InvalidJobException extends DrmaaException {

    private static final long serialVersionUID = 1L;

    public InvalidJobException(String message) {
        super(message);
    }
}
