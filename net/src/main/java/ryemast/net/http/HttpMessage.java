package ryemast.net.http;

/** A whole message. */
public record HttpMessage(HttpHead head, byte[] body) {

    public static final byte[] EMPTY = new byte[0];
}
