package ryemast.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

/** What all parser tests share: random cuts of a valid message, and random garbage, from a seed. */
public final class Bytes {

    private Bytes() {
    }

    /** The message in up to 8 pieces, some of them empty. */
    public static List<ByteBuffer> cut(byte[] message, long seed) {
        var random = new Random(seed);
        int[] ends = random.ints(random.nextInt(8), 0, message.length + 1).sorted().toArray();
        var pieces = new ArrayList<ByteBuffer>();
        int begin = 0;
        for (int end : ends) {
            pieces.add(ByteBuffer.wrap(Arrays.copyOfRange(message, begin, end)));
            begin = end;
        }
        pieces.add(ByteBuffer.wrap(Arrays.copyOfRange(message, begin, message.length)));
        return pieces;
    }

    /** A valid message with a few bytes changed, dropped or put in, or nothing but noise. */
    public static byte[] garbage(byte[] message, long seed) {
        var random = new Random(seed);
        if (random.nextInt(4) == 0) {
            var noise = new byte[random.nextInt(200)];
            random.nextBytes(noise);
            return noise;
        }
        var text = new StringBuilder(new String(message, StandardCharsets.ISO_8859_1));
        for (int i = random.nextInt(4); i >= 0 && text.length() > 0; i--) {
            int at = random.nextInt(text.length());
            switch (random.nextInt(3)) {
                case 0 -> text.setCharAt(at, (char) random.nextInt(256));
                case 1 -> text.deleteCharAt(at);
                default -> text.insert(at, (char) random.nextInt(128));
            }
        }
        return text.toString().getBytes(StandardCharsets.ISO_8859_1);
    }
}
