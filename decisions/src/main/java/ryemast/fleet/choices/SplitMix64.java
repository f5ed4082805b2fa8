package ryemast.fleet.choices;

/**
 * Pseudorandom numbers that are identical on every member and every Java version: the finalizer of SplitMix64
 * (Steele, Lea and Flood 2014) over {@link String#hashCode}, which is specified. The JDK's
 * {@link java.util.SplittableRandom} uses the same finalizer but does not guarantee it.
 */
final class SplitMix64 {

    private static final long GOLDEN = 0x9e3779b97f4a7c15L;
    private static final double UNIT = 0x1p-53;

    private SplitMix64() {
    }

    static long mix(long value) {
        long mixed = value + GOLDEN;
        mixed = (mixed ^ mixed >>> 30) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
        return mixed ^ mixed >>> 31;
    }

    static long mix(long first, long second) {
        return mix(mix(first) ^ second);
    }

    static long mix(String name) {
        return mix(name.hashCode());
    }

    /** Maps a mixed number to [0, 1). */
    static double toUnitInterval(long mixed) {
        return (mixed >>> 11) * UNIT;
    }
}
