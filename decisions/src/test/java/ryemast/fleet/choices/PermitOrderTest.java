package ryemast.fleet.choices;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntUnaryOperator;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import ryemast.pacing.DiscoveryCallSchedule;

class PermitOrderTest {

    private static final long SECOND = 1_000_000;

    static List<String> names(int members) {
        return IntStream.range(0, members).mapToObj(each -> "member-" + each).toList();
    }

    /** Whether the positions of all members are 0, 1, 2 ... in some order. */
    private static boolean isPermutation(int members, IntUnaryOperator position) {
        var positions = IntStream.range(0, members).map(position).sorted().toArray();
        return Arrays.equals(positions, IntStream.range(0, members).toArray());
    }

    @Test
    void everyOrderIsAPermutation() {
        for (int members = 1; members <= 300; members++) {
            var names = names(members);
            int count = members;
            for (long window = -2; window < 5; window++) {
                long at = window;
                assertTrue(isPermutation(count, self -> PermitOrder.rotatedPosition(77, at, self, count)),
                        count + " at " + at);
                assertTrue(isPermutation(count, self -> PermitOrder.balancedPosition(77, at, self, count)),
                        count + " at " + at);
                assertTrue(members % 37 > 1
                        || isPermutation(count,
                        self -> PermitOrder.rankedPosition(77, at, names.get(self), names)));
            }
        }
    }

    /** Random positions give one position to two members, which the check above detects. */
    @Test
    void positionTakenTwiceIsDetected() {
        int found = 0;
        for (int seed = 0; seed < 100; seed++) {
            int window = seed;
            found += isPermutation(14, self -> Math.floorMod(PermitOrder.mix(self * 31 + window), 14)) ? 0
                    : 1;
        }
        assertTrue(found >= 99, found + " of 100");
    }

    @Test
    void permitsAddUpToTheLimitAndMoreMembersNeverGetMore() {
        for (int members : new int[] {1, 2, 3, 14, 100, 300}) {
            for (int all : new int[] {0, 1, 2, 13, 14, 15, 100, 299, 1_000}) {
                int sum = 0;
                for (int position = 0; position < members; position++) {
                    int permits = PermitOrder.permitsAt(all, position, members);
                    sum += permits;
                    assertTrue(Math.abs(permits - (double) all / members) < 1);
                    assertTrue(PermitOrder.permitsAt(all, position + 1, members + 1) <= permits
                            && PermitOrder.permitsAt(all, position, members + 1) <= permits);
                }
                assertEquals(all, sum);
            }
        }
    }

    /** Each member has each position once in a cycle, and its share of a few windows within two permits. */
    @Test
    void balancedOrderIsFairOverFewAndManyWindows() {
        for (int members : new int[] {1, 2, 3, 14, 100, 300}) {
            for (int first : new int[] {1, Math.max(1, members / 10), Math.max(1, members / 2)}) {
                var turns = new int[members];
                for (int window = 0; window < members; window++) {
                    for (int self = 0; self < members; self++) {
                        turns[self] += PermitOrder.balancedPosition(5, window, self, members) < first ? 1 : 0;
                        assertEquals((double) (window + 1) * first / members, turns[self], 3);
                    }
                }
                int even = first;
                assertTrue(Arrays.stream(turns).allMatch(each -> each == even));
            }
        }
    }

    @Test
    void rankedOrderGivesEachItsShareAndMoreMembersNeverImproveAPosition() {
        var random = new SplittableRandom(3);
        var all = names(100);
        var turns = new int[100];
        for (int window = 0; window < 100; window++) {
            var some = new ArrayList<>(all);
            some.removeIf(each -> random.nextInt(3) == 0);
            for (int self = 0; self < 100; self++) {
                int position = PermitOrder.rankedPosition(9, window, all.get(self), all);
                turns[self] += position < 10 ? 1 : 0;
                assertTrue(position >= PermitOrder.rankedPosition(9, window, all.get(self), some));
            }
        }
        var shares = Arrays.stream(turns).summaryStatistics();
        assertTrue(shares.getMin() >= 5 && shares.getMax() <= 16, shares.toString());
    }

    @Test
    void firstListCallTimesAreUnchanged() {
        for (int dispatchers = 1; dispatchers <= 300; dispatchers++) {
            for (int self = 0; self < dispatchers; self++) {
                var random = new SplittableRandom(self);
                double turn = dispatchers == 1 ? 0 : Math.min(0.0025, 1.0 / dispatchers);
                long before = 1 + (long) (10 * SECOND * turn * (self + random.nextDouble()));
                assertEquals(before, new DiscoveryCallSchedule(self, dispatchers, 10 * SECOND, false,
                        new SplittableRandom(self)).firstDelay(0));
            }
        }
    }

    /** Members on different Java versions must compute the same numbers. */
    @Test
    void mixedNumbersEqualThoseOfSplittableRandom() {
        for (long seed = -1_000; seed < 1_000; seed++) {
            assertEquals(new SplittableRandom(seed).nextLong(), SplitMix64.mix(seed));
        }
    }
}
