package ryemast.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** What a whole fleet tries at a sick box and sends beyond first sends, whatever its size. */
class FleetExtrasTest {

    private static final long MS = 1_000;
    private static final long S = 1_000_000;
    private static final int[] SIZES = {1, 2, 3, 7, 10, 11, 14, 99, 100, 300};

    /** What each of a fleet has tried in each window, all of them whenever they may. */
    private static int[][] tried(int members, int windows) {
        var each = IntStream.range(0, members).mapToObj(self -> new TrialTurns(self, members)).toList();
        each.forEach(turns -> turns.at(0));
        var tried = new int[windows][members];
        for (int window = 0; window < windows; window++) {
            for (int self = 0; self < members; self++) {
                long now = (window + 1) * S + TrialTurns.BOUND.guard() + self % 10 * 90 * MS;
                while (each.get(self).has("box", tried[window][self], now)) {
                    tried[window][self]++;
                }
            }
        }
        return tried;
    }

    @Test
    void trialsAreDealtOutOneByOneAndEachHasItsShareWithinACycle() {
        for (int members = 2; members <= 300; members++) {
            // From window 1 on: the second cycle is whole.
            var tried = tried(members, 2 * members);
            var shares = new int[members];
            for (int window = 0; window < tried.length; window++) {
                var stats = Arrays.stream(tried[window]).summaryStatistics();
                assertEquals(TrialTurns.BOUND.permits(), stats.getSum(), members + " in " + window);
                assertTrue(stats.getMax() - stats.getMin() <= 1, members + " in " + window);
                for (int self = 0; window + 1 >= members && window + 1 < 2 * members && self < members;
                        self++) {
                    shares[self] += tried[window][self];
                }
            }
            for (int share : shares) {
                assertEquals(TrialTurns.BOUND.permits(), share, members + " members, a cycle");
            }
        }
    }

    @Test
    void whoBeganInAWindowHasNoTurnInItAndNoTurnBeginsWithinTheGuard() {
        for (int members : new int[] {2, 14, 300}) {
            for (int self = 0; self < members; self++) {
                var turns = new TrialTurns(self, members);
                turns.at(3 * S + 1);
                assertFalse(turns.has("box", 0, 3 * S + S / 2));
                assertFalse(turns.has("box", 0, 4 * S + TrialTurns.BOUND.guard() - 1));
                assertTrue(members > 10 || turns.has("box", 0, 4 * S + TrialTurns.BOUND.guard()));
            }
        }
    }

    /** The most trials of one box in any window, by dispatchers that find it down, of 12 s of trying. */
    private static int mostTrials(int members, IntFunction<Health> of) {
        var fleet = IntStream.range(0, members).mapToObj(of).toList();
        var boxes = fleet.stream().map(health -> {
            var all = IntStream.range(0, 4).mapToObj(i -> health.box("w" + i)).toList();
            health.list(all);
            return all.get(0);
        }).toList();
        var tried = new int[14];
        for (long now = S; now < 13 * S; now += 25 * MS) {
            for (int i = 0; i < members; i++) {
                fleet.get(i).review(now);
                boolean aside = boxes.get(i).standing() == Standing.TRIAL;
                if (!aside || fleet.get(i).trialDue(now) != null) {
                    tried[(int) (now / S)] += aside ? 1 : 0;
                    boxes.get(i).sent(now, now, 0.1, 0).ended(Sign.NO_CONNECTION, false, now);
                }
            }
        }
        return Arrays.stream(tried).max().orElseThrow();
    }

    @Test
    void aSickBoxMeetsNoMoreTrialsThanTheBoundAndWithoutTurnsItDoes() {
        for (int members : SIZES) {
            int most = mostTrials(members, self -> health(self, members));
            assertTrue(most > 0 && most <= TrialTurns.BOUND.permits(), most + " by " + members);
        }
        assertTrue(mostTrials(14, self -> health(0, 1)) > TrialTurns.BOUND.permits());
    }

    private static Health health(int self, int members) {
        return new Health(true, 0, 10 * MS, self, members);
    }

    /** Whether a fleet whose members spend whatever they have keeps to the bound at all times. */
    private static boolean keeps(long seed, List<Purse> fleet) {
        var random = new SplittableRandom(seed);
        boolean copies = random.nextBoolean();
        double first = 0;
        double spent = 0;
        long now = 0;
        long gap = 1 + random.nextLong(200 * MS);
        for (int i = 0; i < 3_000; i++) {
            now += random.nextInt(300) == 0 ? 20 * S : random.nextLong(gap);
            var purse = fleet.get(random.nextInt(fleet.size()));
            for (int sends = random.nextInt(4); sends > 0; sends--) {
                purse.firstSend(now);
                first++;
            }
            double sure = random.nextDouble();
            boolean spends = random.nextInt(5) > 0;
            while (spends && (copies ? purse.affordsCopy(sure, now) : purse.affordsRepeat(now))) {
                double before = purse.spent();
                if (copies) {
                    purse.copy(sure, now);
                } else {
                    purse.repeat(now);
                }
                spent += purse.spent() - before;
            }
            if (spent > 24 + 0.22 * first + 4.0 * now / S + 1e-6) {
                return false;
            }
        }
        return spent > 0 || copies;
    }

    private static List<Purse> purses(int members, int each) {
        return IntStream.range(0, members).mapToObj(self -> new Purse(each)).toList();
    }

    @Test
    void extraSendsOfAllKeepToOneBoundAndWithAWholePurseForEachTheyDoNot() {
        for (int members = 1; members <= 300; members++) {
            assertTrue(keeps(members, purses(members, members)), members + " members");
        }
        for (int members : new int[] {14, 100, 300}) {
            long found = IntStream.range(0, 10).filter(seed -> !keeps(seed, purses(members, 1))).count();
            assertTrue(found >= 5, found + " of 10 seeds with " + members);
        }
    }

    /** What is saved up while nothing is sent: as one alone, or one repeat for each if that is more. */
    @Test
    void allTogetherSaveUpAsMuchAsOneAlone() {
        for (int members : SIZES) {
            int saved = 0;
            for (var purse : purses(members, members)) {
                purse.firstSend(0);
                for (; purse.affordsRepeat(100 * S); saved++) {
                    purse.repeat(100 * S);
                }
            }
            assertTrue(saved <= Math.max(24, members), saved + " by " + members);
            assertTrue(saved >= Math.min(12, members), saved + " by " + members);
        }
    }

    /** The purse of one dispatcher as it was before fleets shared one, answer for answer. */
    @Test
    void aloneThePurseAndTheTurnsAreWhatTheyWere() {
        var random = new SplittableRandom(7);
        var turns = new TrialTurns(0, 1);
        var purse = new Purse(1);
        double money = 24;
        long now = 0;
        for (int i = 0; i < 100_000; i++) {
            double seconds = random.nextInt(10) == 0 ? 0 : Math.pow(10, -4 + 5 * random.nextDouble());
            long before = now;
            now += (long) (seconds * S);
            double passed = (double) (now - before) / S;
            money = money > 24 ? 24 + (money - 24) * Math.exp(-passed / 10)
                    : Math.min(24, money + 4 * passed);
            double sure = random.nextDouble();
            double price = Math.min(24, 1 / Math.max(0.05, sure));
            assertEquals(money >= 1, purse.affordsRepeat(now));
            assertEquals(money >= price, purse.affordsCopy(sure, now));
            int what = random.nextInt(8);
            if (what < 6) {
                purse.firstSend(now);
                money += 0.22;
            } else if (what == 6) {
                purse.repeat(now);
                money = Math.max(0, money - 1);
            } else {
                purse.copy(sure, now);
                money = Math.max(0, money - price);
            }
            assertTrue(turns.has("box", i, now));
        }
    }
}
