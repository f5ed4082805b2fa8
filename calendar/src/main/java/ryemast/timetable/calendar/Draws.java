package ryemast.timetable.calendar;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Numbers that look drawn and are known to all who know their names: the first 63 bits of SHA-256 over what
 * is drawn for. The same on every machine, in every version of Java, in every process of a fleet.
 */
final class Draws {

    private static final String FORM = "ryemast draw 1";

    private Draws() {
    }

    /** Even over 0 to {@code bound - 1}. */
    static long below(long bound, String purpose, String entry, long seed, long nominal) {
        var name = String.join("\n", FORM, purpose, Long.toString(seed), Long.toString(nominal), entry);
        return below(bound, name);
    }

    /** What an entry's H becomes, which neither the fleet's seed nor the time changes. */
    static int hashed(int bound, String purpose, String entry) {
        return (int) below(bound, String.join("\n", FORM, purpose, entry));
    }

    /** The upper half of a product in place of a remainder: no value is likelier than another. */
    private static long below(long bound, String name) {
        try {
            var digest = MessageDigest.getInstance("SHA-256").digest(name.getBytes(StandardCharsets.UTF_8));
            return Math.multiplyHigh(ByteBuffer.wrap(digest).getLong() >>> 1, bound << 1);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has SHA-256", e);
        }
    }
}
