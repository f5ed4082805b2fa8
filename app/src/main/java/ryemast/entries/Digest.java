package ryemast.entries;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * SHA-256 over what a file means, not over how it is written: texts with their lengths in front, so that no
 * two contents run into one.
 */
final class Digest {

    private final MessageDigest digest;

    Digest(String form) {
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has SHA-256", e);
        }
        add(form);
    }

    Digest add(Object value) {
        return add(ByteBuffer.wrap(value.toString().getBytes(StandardCharsets.UTF_8)));
    }

    Digest add(ByteBuffer bytes) {
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, bytes.remaining()));
        digest.update(bytes);
        return this;
    }

    /** In hexadecimal digits; the digest must not be added to any more. */
    String end() {
        return HexFormat.of().formatHex(digest.digest());
    }
}
