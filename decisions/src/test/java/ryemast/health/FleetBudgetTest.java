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

/** Bounds for whole fleets of any size: recovery probes of a sick worker, and sends beyond first ones. */
class FleetBudgetTest {

    private static final long MS = 1_000;
    private static final long S = 1_000_000;
    private static final int[] SIZES = {1, 2, 3, 7, 10, 11, 14, 99, 100, 300};

    /** Probes sent by each dispatcher in each window, with every permit used. */
    private static int[][] probesByWindow(int members, int windows) {
        var permits = IntStream.range(0, members).mapToObj(self -> new ProbePermits(self, members)).toList();
        permits.forEach(each -> each.noteTime(0));
        var probes = new int[windows][members];
        for (int window = 0; window < windows; window++) {
            for (int self = 0; self < members; self++) {
                long now = (window + 1) * S + ProbePermits.BOUND.guard() + self % 10 * 90 * MS;
                while (permits.get(self).allows("box", probes[window][self], now)) {
                    probes[window][self]++;
                }
            }
        }
        return probes;
    }

    @Test
    void probePermitsAreSpreadEvenlyInEachWindowAndCycle() {
        for (int members = 2; members <= 300; members++) {
            // Probes begin in window 1: the second cycle is complete.
            var probes = probesByWindow(members, 2 * members);
            var shares = new int[members];
            for (int window = 0; window < probes.length; window++) {
                var stats = Arrays.stream(probes[window]).summaryStatistics();
                assertEquals(ProbePermits.BOUND.permits(), stats.getSum(), members + " in " + window);
                assertTrue(stats.getMax() - stats.getMin() <= 1, members + " in " + window);
                for (int self = 0; window + 1 >= members && window + 1 < 2 * members && self < members;
                        self++) {
                    shares[self] += probes[window][self];
                }
            }
            for (int share : shares) {
                assertEquals(ProbePermits.BOUND.permits(), share, members + " members, a cycle");
            }
        }
    }

    @Test
    void noProbeIsPermittedInTheStartWindowOrWithinTheGuard() {
        for (int members : new int[] {2, 14, 300}) {
            for (int self = 0; self < members; self++) {
                var permits = new ProbePermits(self, members);
                permits.noteTime(3 * S + 1);
                assertFalse(permits.allows("box", 0, 3 * S + S / 2));
                assertFalse(permits.allows("box", 0, 4 * S + ProbePermits.BOUND.guard() - 1));
                assertTrue(members > 10 || permits.allows("box", 0, 4 * S + ProbePermits.BOUND.guard()));
            }
        }
    }

    /** Most probes of one worker in any window, over 12 s, by dispatchers that find it down. */
    private static int maxProbesInAWindow(int members, IntFunction<OutlierDetector> newDetector) {
        var fleet = IntStream.range(0, members).mapToObj(newDetector).toList();
        var workers = fleet.stream().map(health -> {
            var own = IntStream.range(0, 4).mapToObj(i -> health.worker("w" + i)).toList();
            health.setListed(own);
            return own.get(0);
        }).toList();
        var probes = new int[14];
        for (long now = S; now < 13 * S; now += 25 * MS) {
            for (int i = 0; i < members; i++) {
                fleet.get(i).review(now);
                boolean ejected = workers.get(i).trafficState() == TrafficState.EJECTED;
                if (!ejected || fleet.get(i).recoveryProbeDue(now) != null) {
                    probes[(int) (now / S)] += ejected ? 1 : 0;
                    workers.get(i).recordSend(now, now, 0.1, 0).ended(Sign.NO_CONNECTION, false, now);
                }
            }
        }
        return Arrays.stream(probes).max().orElseThrow();
    }

    @Test
    void probesOfASickWorkerStayWithinTheBoundOnlyWithPermits() {
        for (int members : SIZES) {
            int most = maxProbesInAWindow(members, self -> newDetector(self, members));
            assertTrue(most > 0 && most <= ProbePermits.BOUND.permits(), most + " by " + members);
        }
        assertTrue(maxProbesInAWindow(14, self -> newDetector(0, 1)) > ProbePermits.BOUND.permits());
    }

    private static OutlierDetector newDetector(int self, int members) {
        return new OutlierDetector(true, 0, 10 * MS, self, members);
    }

    /** Whether a fleet whose members spend their whole budgets stays within the bound at all times. */
    private static boolean staysWithinBound(long seed, List<RetryBudget> fleet) {
        var random = new SplittableRandom(seed);
        boolean hedges = random.nextBoolean();
        double first = 0;
        double spent = 0;
        long now = 0;
        long gap = 1 + random.nextLong(200 * MS);
        for (int i = 0; i < 3_000; i++) {
            now += random.nextInt(300) == 0 ? 20 * S : random.nextLong(gap);
            var budget = fleet.get(random.nextInt(fleet.size()));
            for (int sends = random.nextInt(4); sends > 0; sends--) {
                budget.depositFirstSend(now);
                first++;
            }
            double confidence = random.nextDouble();
            boolean spends = random.nextInt(5) > 0;
            while (spends && (hedges ? budget.canHedge(confidence, now) : budget.canRetry(now))) {
                double before = budget.spent();
                if (hedges) {
                    budget.chargeHedge(confidence, now);
                } else {
                    budget.chargeRetry(now);
                }
                spent += budget.spent() - before;
            }
            if (spent > 24 + 0.22 * first + 4.0 * now / S + 1e-6) {
                return false;
            }
        }
        return spent > 0 || hedges;
    }

    private static List<RetryBudget> budgets(int members, int dispatchers) {
        return IntStream.range(0, members).mapToObj(self -> new RetryBudget(dispatchers)).toList();
    }

    @Test
    void extraSendsStayWithinTheBoundOnlyWithADividedBudget() {
        for (int members = 1; members <= 300; members++) {
            assertTrue(staysWithinBound(members, budgets(members, members)), members + " members");
        }
        for (int members : new int[] {14, 100, 300}) {
            long found = IntStream.range(0, 10)
                    .filter(seed -> !staysWithinBound(seed, budgets(members, 1))).count();
            assertTrue(found >= 5, found + " of 10 seeds with " + members);
        }
    }

    /** Retries saved without sends: as many as for a single dispatcher, or one for each if that is more. */
    @Test
    void aFleetSavesAsMuchAsASingleDispatcher() {
        for (int members : SIZES) {
            int saved = 0;
            for (var budget : budgets(members, members)) {
                budget.depositFirstSend(0);
                for (; budget.canRetry(100 * S); saved++) {
                    budget.chargeRetry(100 * S);
                }
            }
            assertTrue(saved <= Math.max(24, members), saved + " by " + members);
            assertTrue(saved >= Math.min(12, members), saved + " by " + members);
        }
    }

    /** Guards the undivided budget of a single dispatcher against changes made for fleets. */
    @Test
    void aSingleDispatcherHasTheWholeBudgetAndUnlimitedPermits() {
        var random = new SplittableRandom(7);
        var permits = new ProbePermits(0, 1);
        var budget = new RetryBudget(1);
        double balance = 24;
        long now = 0;
        for (int i = 0; i < 100_000; i++) {
            double seconds = random.nextInt(10) == 0 ? 0 : Math.pow(10, -4 + 5 * random.nextDouble());
            long before = now;
            now += (long) (seconds * S);
            double passed = (double) (now - before) / S;
            balance = balance > 24 ? 24 + (balance - 24) * Math.exp(-passed / 10)
                    : Math.min(24, balance + 4 * passed);
            double confidence = random.nextDouble();
            double hedgeCost = Math.min(24, 1 / Math.max(0.05, confidence));
            assertEquals(balance >= 1, budget.canRetry(now));
            assertEquals(balance >= hedgeCost, budget.canHedge(confidence, now));
            int action = random.nextInt(8);
            if (action < 6) {
                budget.depositFirstSend(now);
                balance += 0.22;
            } else if (action == 6) {
                budget.chargeRetry(now);
                balance = Math.max(0, balance - 1);
            } else {
                budget.chargeHedge(confidence, now);
                balance = Math.max(0, balance - hedgeCost);
            }
            assertTrue(permits.allows("box", i, now));
        }
    }
}
