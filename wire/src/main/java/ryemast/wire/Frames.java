package ryemast.wire;

import java.io.ByteArrayOutputStream;
import java.util.function.Consumer;

/**
 * Cuts a stream of bytes into frames, however the network has cut it, and makes frames. A frame that is
 * longer than allowed is an error at its length, before any of it is kept. Not safe for several threads.
 */
public final class Frames {

    public static final int HEAD = 4;
    /** Room for an array's template and a page of statuses. */
    public static final int LONGEST = 1 << 20;
    private static final int FIRST_ROOM = 512;

    private int longest;
    private byte[] held = new byte[FIRST_ROOM];
    private int count;

    public Frames(int longest) {
        this.longest = longest;
    }

    /**
     * Takes what has come; hands out each frame that is whole now. After an exception nothing more may
     * come.
     */
    public void take(byte[] bytes, int from, int length, Consumer<Fields> out) throws WireException {
        int at = from;
        int end = from + length;
        while (at < end) {
            int wanted = count < HEAD ? HEAD : HEAD + length(held);
            int some = Math.min(end - at, wanted - count);
            // No more room than has really come, rounded up: a length alone is believed in nothing.
            if (held.length < count + some) {
                held = java.util.Arrays.copyOf(held,
                        Math.min(wanted, Math.max(count + some, 2 * held.length)));
            }
            System.arraycopy(bytes, at, held, count, some);
            at += some;
            count += some;
            if (count == HEAD) {
                checked(length(held));
            }
            if (count >= HEAD && count == HEAD + length(held)) {
                var frame = Cbor.read(held, HEAD, count - HEAD);
                count = 0;
                if (held.length > FIRST_ROOM * 16) {
                    held = new byte[FIRST_ROOM];
                }
                out.accept(frame);
            }
        }
    }

    /** From the next frame on, so long ones may come. */
    public void allow(int bytes) {
        longest = bytes;
    }

    /** Whether the last frame that has begun is not whole yet. */
    public boolean inside() {
        return count > 0;
    }

    private void checked(int length) throws WireException {
        if (length < 1 || length > longest) {
            throw new WireException("a frame of " + (length & 0xffffffffL) + " bytes: 1 to " + longest
                    + " are allowed");
        }
    }

    private static int length(byte[] head) {
        return (head[0] & 0xff) << 24 | (head[1] & 0xff) << 16 | (head[2] & 0xff) << 8 | head[3] & 0xff;
    }

    /** A message as a frame. */
    public static byte[] of(Fields message) {
        var bytes = new ByteArrayOutputStream(128);
        bytes.write(new byte[HEAD], 0, HEAD);
        Cbor.write(message, bytes);
        var frame = bytes.toByteArray();
        int length = frame.length - HEAD;
        for (int i = 0; i < HEAD; i++) {
            frame[i] = (byte) (length >>> 8 * (HEAD - 1 - i));
        }
        return frame;
    }
}
