package ryemast.lab.site;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;

/**
 * The names that clients give their requests ({@code X-Txn}): each different within a run, the same for the
 * same seed, and telling neither the order of jobs nor which try it is.
 *
 * <p>A name is a job's number and its try, sent through SplitMix64's finalizer (Steele, Lea and Flood, OOPSLA
 * 2014) under two keys. That step can be undone, so two names are never the same.
 */
final class Names {

    /** Tries of one job that get a name; more would meet the next job's. */
    static final int TRIES = 256;

    private static final long GOLDEN = 0x9e3779b97f4a7c15L;

    private final long before;
    private final long after;

    Names(long seed) {
        before = mixed(seed + GOLDEN);
        after = mixed(before + GOLDEN);
    }

    String of(long job, int number) {
        return HexFormat.of().toHexDigits(mixed(mixed(job * TRIES + number ^ before) + after));
    }

    /** What a request of that name carries: the name over and over, so that a body gone astray shows. */
    static byte[] body(String txn, int bytes) {
        var body = new byte[bytes];
        var name = txn.getBytes(StandardCharsets.US_ASCII);
        for (int i = 0; i < bytes; i++) {
            body[i] = name[i % name.length];
        }
        return body;
    }

    private static long mixed(long value) {
        long mixed = (value ^ value >>> 30) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
        return mixed ^ mixed >>> 31;
    }
}
