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

class TurnsTest {

    private static final long SECOND = 1_000_000;

    static List<String> names(int members) {
        return IntStream.range(0, members).mapToObj(each -> "member-" + each).toList();
    }

    /** Whether the places of all are 0, 1, 2 ... in some order. */
    private static boolean isLine(int members, IntUnaryOperator place) {
        var taken = IntStream.range(0, members).map(place).sorted().toArray();
        return Arrays.equals(taken, IntStream.range(0, members).toArray());
    }

    @Test
    void everyLineIsAPermutation() {
        for (int members = 1; members <= 300; members++) {
            var names = names(members);
            int count = members;
            for (long window = -2; window < 5; window++) {
                long at = window;
                assertTrue(isLine(count, self -> Turns.rotated(77, at, self, count)), count + " at " + at);
                assertTrue(isLine(count, self -> Turns.balanced(77, at, self, count)), count + " at " + at);
                assertTrue(members % 37 > 1
                        || isLine(count, self -> Turns.ranked(77, at, names.get(self), names)));
            }
        }
    }

    /** A line by drawn numbers gives one turn to two, and the check above sees it. */
    @Test
    void aTurnTakenByTwoIsFound() {
        int found = 0;
        for (int seed = 0; seed < 100; seed++) {
            int window = seed;
            found += isLine(14, self -> Math.floorMod(Turns.mixed(self * 31 + window), 14)) ? 0 : 1;
        }
        assertTrue(found >= 99, found + " of 100");
    }

    @Test
    void whatIsDealtOutIsAllThereIsAndMoreMembersNeverGetMore() {
        for (int members : new int[] {1, 2, 3, 14, 100, 300}) {
            for (int all : new int[] {0, 1, 2, 13, 14, 15, 100, 299, 1_000}) {
                int sum = 0;
                for (int place = 0; place < members; place++) {
                    int part = Turns.part(all, place, members);
                    sum += part;
                    assertTrue(Math.abs(part - (double) all / members) < 1);
                    assertTrue(Turns.part(all, place + 1, members + 1) <= part
                            && Turns.part(all, place, members + 1) <= part);
                }
                assertEquals(all, sum);
            }
        }
    }

    /** Each member has each place once in a cycle, and its share of few windows within two turns. */
    @Test
    void balancedLinesAreFairInTheShortAsInTheLong() {
        for (int members : new int[] {1, 2, 3, 14, 100, 300}) {
            for (int first : new int[] {1, Math.max(1, members / 10), Math.max(1, members / 2)}) {
                var turns = new int[members];
                for (int window = 0; window < members; window++) {
                    for (int self = 0; self < members; self++) {
                        turns[self] += Turns.balanced(5, window, self, members) < first ? 1 : 0;
                        assertEquals((double) (window + 1) * first / members, turns[self], 3);
                    }
                }
                int even = first;
                assertTrue(Arrays.stream(turns).allMatch(each -> each == even));
            }
        }
    }

    @Test
    void rankedLinesGiveEachItsPartAndALargerSetBringsNobodyForward() {
        var random = new SplittableRandom(3);
        var all = names(100);
        var turns = new int[100];
        for (int window = 0; window < 100; window++) {
            var some = new ArrayList<>(all);
            some.removeIf(each -> random.nextInt(3) == 0);
            for (int self = 0; self < 100; self++) {
                int place = Turns.ranked(9, window, all.get(self), all);
                turns[self] += place < 10 ? 1 : 0;
                assertTrue(place >= Turns.ranked(9, window, all.get(self), some));
            }
        }
        var shares = Arrays.stream(turns).summaryStatistics();
        assertTrue(shares.getMin() >= 5 && shares.getMax() <= 16, shares.toString());
    }

    @Test
    void firstListCallsComeWhenTheyDidBefore() {
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

    /** Members with different Java must draw alike. */
    @Test
    void mixedNumbersAreThoseOfTheReference() {
        for (long seed = -1_000; seed < 1_000; seed++) {
            assertEquals(new SplittableRandom(seed).nextLong(), Mix.of(seed));
        }
    }
}
