package ryemast.net.http;

import java.util.Arrays;

/** A body as it comes: its first part alone, as most have but one, or all parts in one array that grows. */
final class BodyBuffer {

    private byte[] bytes = HttpMessage.EMPTY;
    private int length;
    private int expected;

    /** Begins with nothing; {@code most} is as long as the body can get. */
    void begin(long most) {
        clear();
        expected = (int) Math.min(Integer.MAX_VALUE / 2, most);
    }

    void add(byte[] part) {
        if (length == 0) {
            bytes = part;
            length = part.length;
            return;
        }
        int needed = length + part.length;
        if (needed > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(needed, Math.min(2 * needed, expected)));
        }
        System.arraycopy(part, 0, bytes, length, part.length);
        length = needed;
    }

    /** What is held in memory, in bytes. */
    int capacity() {
        return bytes.length;
    }

    /** The whole body; nothing is held any more. */
    byte[] take() {
        var body = length == bytes.length ? bytes : Arrays.copyOf(bytes, length);
        clear();
        return body;
    }

    void clear() {
        bytes = HttpMessage.EMPTY;
        length = 0;
    }
}
