package ryemast.wire;

/** Bytes or fields that are not as the protocol has them; the message names the place. */
public final class WireException extends Exception {

    private static final long serialVersionUID = 1L;

    public WireException(String message) {
        super(message);
    }
}
