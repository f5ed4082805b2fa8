package ryemast.fleet;

/**
 * Pseudorandom weight of one name for another, identical in every process: rendezvous hashing, or highest
 * random weight (Thaler and Ravishankar 1998), and its weighted form (Schindelhauer and Schomaker 2005),
 * which selects each member in proportion to its weight. The hash is FNV-1a over the name's characters with
 * the finalizer of MurmurHash3's 64-bit variant ({@code ColdBudget} uses the 32-bit one): the decision module
 * uses no libraries, and one for ten lines would be loaded at every start; tests verify an even distribution.
 * {@link StrictMath} returns the same bits on every machine.
 */
public final class RendezvousHash {

    private static final long FNV_START = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    /** The significand bits of a double. */
    private static final int SIGNIFICAND_BITS = 53;

    private RendezvousHash() {
    }

    /** The hash of a name; all 64 bits are mixed. */
    public static long hash(String name) {
        long hash = FNV_START;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * FNV_PRIME;
        }
        return mix(hash);
    }

    /** The weight of a pair, by the hashes of both; 0 to {@link Long#MAX_VALUE}. */
    public static long weight(long first, long second) {
        return mix(first + Long.rotateLeft(second, 32) * 0x9e3779b97f4a7c15L) >>> 1;
    }

    /** Weighted: the highest result wins, in proportion to {@code share}, which is above 0. */
    public static double weight(long first, long second, double share) {
        double drawn = ((weight(first, second) >>> Long.SIZE - 1 - SIGNIFICAND_BITS) + 0.5)
                / (1L << SIGNIFICAND_BITS);
        return -share / StrictMath.log(drawn);
    }

    /** The finalizer of MurmurHash3, 64 bits. */
    public static long mix(long value) {
        long mixed = (value ^ value >>> 33) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ mixed >>> 33) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ mixed >>> 33;
    }
}
