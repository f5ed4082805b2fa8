package ryemast.fleet.choices;

import java.util.Collection;

/**
 * Distribution of permits without communication: in each window all members are ordered for a resource, and a
 * member's position determines its permits. The order depends on the resource, the window and the members
 * alone, so that all members know it, and it is a permutation, so that all together stay within a limit for
 * any fleet size.
 *
 * <p>There are three orders. {@link #rotatedPosition} and {@link #balancedPosition} are for members numbered
 * by the platform's settings; the permits of a dead or missing number are lost. {@link #rankedPosition} is
 * for named members that come and go: more members never improve a position. So if every active member counts
 * every active member, the limit holds even where members count different sets; {@link SettledMembers}
 * ensures that.
 *
 * <p>{@link #permitsAt} distributes a number of permits over the positions, and {@link #fits} permits one
 * operation of a given size. Windows are counted from a time that all members know. Stateless.
 */
public final class PermitOrder {

    /**
     * The golden ratio's fractional part: its multiples are evenly spread (low discrepancy) for any count.
     */
    private static final double GOLDEN = (Math.sqrt(5) - 1) / 2;
    /** Windows in which a member's key is once in each sixteenth; of 4 to 64 none was clearly fairer. */
    private static final int STRATA = 16;

    private PermitOrder() {
    }

    /**
     * A position from 0 in an order that starts at a random member in each window and is otherwise fixed: a
     * member keeps its neighbors, and its positions are as uneven as random ones.
     */
    public static int rotatedPosition(int code, long window, int self, int members) {
        return Math.floorMod(self + mix(code + (int) window), members);
    }

    /**
     * A position from 0 in an order in which each member has each position once in as many windows as there
     * are members, and the first positions as evenly as possible within fewer. The order changes with each
     * cycle.
     */
    public static int balancedPosition(long resource, long window, int self, int members) {
        long drawn = SplitMix64.mix(resource, Math.floorDiv(window, (long) members));
        long factor = nextCoprime(1 + Math.floorMod(drawn, (long) members), members);
        long offset = Math.floorMod(SplitMix64.mix(drawn), (long) members);
        long step = Math.floorMod(window, (long) members)
                * nextCoprime(Math.round(GOLDEN * members), members);
        return (int) ((factor * self + offset + step) % members);
    }

    /**
     * A position from 0 among named members, by a key drawn for each member, resource and window. A key lies
     * in each sixteenth of its range once in sixteen windows, which makes shares two to three times as even.
     */
    public static int rankedPosition(long resource, long window, String self, Collection<String> members) {
        long strata = SplitMix64.mix(resource, Math.floorDiv(window, (long) STRATA));
        int stratumWindow = Math.floorMod(window, STRATA);
        double own = key(strata, stratumWindow, self);
        int position = 0;
        for (var member : members) {
            double key = key(strata, stratumWindow, member);
            position += key < own || key == own && member.compareTo(self) < 0 ? 1 : 0;
        }
        return position;
    }

    private static double key(long strata, int stratumWindow, String member) {
        long drawn = SplitMix64.mix(strata, SplitMix64.mix(member));
        long stratum = drawn + stratumWindow * (drawn >>> 32 | 1) & STRATA - 1;
        return (stratum + SplitMix64.toUnitInterval(SplitMix64.mix(drawn, stratumWindow))) / STRATA;
    }

    /**
     * How many of {@code permits} a position gets, as they are distributed round-robin over the positions.
     * A later position or more members never get more; all positions together get {@code permits}.
     */
    public static int permitsAt(int permits, int position, int members) {
        return permits <= position ? 0 : 1 + (permits - 1 - position) / members;
    }

    /**
     * Whether the position permits one operation of this size, where all positions together may use
     * {@code total} by operations of any one size: small ones at many positions, large ones at few. For the
     * worst mix of sizes the total is at most {@link #worstCaseFactor} times that.
     */
    public static boolean fits(double size, double total, int position) {
        return size * (position + 1) <= total;
    }

    /**
     * The total of all positions by {@link #fits}, each with the largest size it permits, over {@code total}.
     */
    public static double worstCaseFactor(int members) {
        double sum = 0;
        for (int position = 0; position < members; position++) {
            sum += 1.0 / (position + 1);
        }
        return sum;
    }

    /**
     * The start of a position's slot, where slots are a gap apart; {@code offset}: within the slot, 0 to 1.
     */
    public static double slotStart(double gap, int position, double offset) {
        return gap * (position + offset);
    }

    /** Spreads neighboring numbers over all integers (the finalizer of MurmurHash3). */
    public static int mix(int value) {
        int mixed = (value ^ value >>> 16) * 0x85ebca6b;
        mixed = (mixed ^ mixed >>> 13) * 0xc2b2ae35;
        return mixed ^ mixed >>> 16;
    }

    /** The first number from this one on that is coprime to the number of members. */
    private static long nextCoprime(long from, int members) {
        long number = Math.max(1, from);
        while (gcd(number, members) != 1) {
            number++;
        }
        return number;
    }

    private static long gcd(long first, long second) {
        return second == 0 ? first : gcd(second, first % second);
    }
}
