package ryemast.drmaa;

/** Not now: the dispatcher is full, or its disk, or it is ending. Nothing was taken. */
public class TryLaterException extends DrmaaException {

    private static final long serialVersionUID = 1L;

    public TryLaterException(String message) {
        super(message);
    }
}
