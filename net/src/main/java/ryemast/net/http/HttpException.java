package ryemast.net.http;

/** A message that breaks HTTP's rules or the limits; {@code status} is the answer it deserves. */
public final class HttpException extends Exception {

    private static final long serialVersionUID = 1L;

    private final int status;

    public HttpException(int status, String message) {
        super(message);
        this.status = status;
    }

    public int status() {
        return status;
    }
}
