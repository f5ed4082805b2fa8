package pipitladder.benchlink;

import java.io.IOException;

/** Input that breaks the wire's rules; the message says what is wrong with it. */
public final class MalformedInputException extends IOException {

    private static final long serialVersionUID = 1L;

    MalformedInputException(String message) {
        super(message);
    }
}
