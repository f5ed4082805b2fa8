package ryemast.lab.fleet;

import java.math.BigInteger;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;

/**
 * What a fire's jitter must be, reckoned from docs/timetable-dialect.md alone: so the books need not take
 * the program's word for it: 63 bits of SHA-256 over what is drawn for, as a share of the whole milliseconds.
 */
final class Jitter {

    private static final int BITS = 63;
    private static final long MILLI = 1_000;
    private static final long SECOND = 1_000_000;

    private Jitter() {
    }

    /** All in microseconds; {@code most}: of the entry. */
    static long drawn(String entry, long seed, long nominal, long most) {
        var name = "ryemast draw 1\njitter\n" + seed + "\n" + nominal / SECOND + "\n" + entry;
        try {
            var digest = MessageDigest.getInstance("SHA-256").digest(name.getBytes(StandardCharsets.UTF_8));
            var bits = new BigInteger(1, Arrays.copyOf(digest, Long.BYTES)).shiftRight(Long.SIZE - BITS);
            return bits.multiply(BigInteger.valueOf(most / MILLI + 1)).shiftRight(BITS).longValue() * MILLI;
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has SHA-256", e);
        }
    }
}
