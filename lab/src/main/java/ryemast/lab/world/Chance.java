package ryemast.lab.world;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Random numbers for a run: a stream for each entity, found by its name.
 *
 * <p>A stream depends on the run's seed and on its own name and on nothing else, so that what one entity
 * draws, or a change of policy, leaves every other entity's draws alone (common random numbers, as in Law,
 * "Simulation Modeling and Analysis"). The generator is xoroshiro128++ of Blackman and Vigna.
 */
public final class Chance {

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long GOLDEN = 0x9e3779b97f4a7c15L;

    private final long seed;

    public Chance(long seed) {
        this.seed = seed;
    }

    public long seed() {
        return seed;
    }

    /** The stream of an entity, such as {@code stream("box", 17)}; each call starts it anew. */
    public UniformRandomProvider stream(String kind, long number) {
        long name = FNV_OFFSET;
        for (int i = 0; i < kind.length(); i++) {
            name = (name ^ kind.charAt(i)) * FNV_PRIME;
        }
        long first = mixed(seed + GOLDEN * mixed(name ^ mixed(number)));
        return RandomSource.XO_RO_SHI_RO_128_PP.create(new long[] {first, mixed(first + GOLDEN)});
    }

    /** The finalizer of SplitMix64 (Steele, Lea and Flood, OOPSLA 2014). */
    private static long mixed(long value) {
        long mixed = (value ^ value >>> 30) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
        return mixed ^ mixed >>> 31;
    }
}
