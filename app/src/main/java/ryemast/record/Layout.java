package ryemast.record;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * How a file is laid out: eight letters, then frames. A frame is the length of its content and that content's
 * CRC-32C, four bytes each, the most significant first, and then the content: a CBOR sequence (RFC 8742) of a
 * time in microseconds followed by records. A record is an array: the number of its {@link Kind}, the time
 * since the one before it in the frame, and its fields.
 *
 * <p>So a file that was cut anywhere is read up to its last whole frame; a reader passes over fields and
 * kinds of record that it does not know. What would make an old reader go wrong raises {@link #FORMAT}.
 */
final class Layout {

    static final byte[] MAGIC = "RYEMREC\n".getBytes(StandardCharsets.US_ASCII);
    static final int FORMAT = 1;
    static final int FRAME_HEAD = 8;
    /** A longer frame can only be a length that was damaged. */
    static final int LONGEST_FRAME = 64 << 20;
    static final String ENDING = ".rec";

    private Layout() {
    }

    static ByteBuffer head(byte[] content, int length) {
        return ByteBuffer.allocate(FRAME_HEAD).putInt(length).putInt(sum(content, length)).flip();
    }

    static int sum(byte[] content, int length) {
        var sum = new CRC32C();
        sum.update(content, 0, length);
        return (int) sum.getValue();
    }
}
