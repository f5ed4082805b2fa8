package ryemast.fleet.choices;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntFunction;
import java.util.function.LongPredicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * One tenant's rate in a fleet whose size is a setting; {@link SettledMembersTest} covers members that come
 * and go.
 */
class TenantRateLimiterTest {

    private static final long SECOND = 1_000_000;
    private static final double BURST = 4;
    private static final double[] RATES = {0.5, 3, 40, 400};

    /** The maximum number of permitted jobs in any period of this length, above rate and burst. */
    private static double maxJobsAboveLimit(int members, double rate, long length,
            IntFunction<LongPredicate> limiter) {
        var random = new SplittableRandom(members);
        var fleet = new ArrayList<LongPredicate>();
        for (int i = 0; i < members; i++) {
            fleet.add(limiter.apply(i));
        }
        var taken = new ArrayList<Long>();
        for (long now = 0; now < 6 * SECOND; now += SECOND / 10) {
            // Idle periods in which tokens accumulate, then a burst at all members at once.
            boolean crowd = now % (3 * SECOND) == 0;
            for (var each : fleet) {
                for (int job = crowd ? 10 : random.nextInt(2); job > 0; job--) {
                    if (each.test(now)) {
                        taken.add(now);
                    }
                }
            }
        }
        double most = Double.NEGATIVE_INFINITY;
        for (int last = 0, first = 0; last < taken.size(); last++) {
            while (taken.get(last) - taken.get(first) > length) {
                first++;
            }
            most = Math.max(most, last - first + 1 - rate * length / SECOND
                    - Math.max(members, Math.max(4, BURST * rate)));
        }
        return most;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 14, 100, 300})
    void wholeFleetKeepsToRateAndBurstWhateverItsSize(int members) {
        for (double rate : RATES) {
            for (long length : List.of(0L, SECOND, 5 * SECOND)) {
                double more = maxJobsAboveLimit(members, rate, length, i -> {
                    var shares = TenantRateLimiter.ofNumbered(members, new double[] {rate}, BURST);
                    return now -> !shares.exceeds(0, now);
                });
                assertTrue(more <= 1e-6, more + " jobs too many at " + rate + " a second in " + length);
            }
        }
    }

    /** An earlier version gave each member four jobs: 1,200 at once with 300 members instead of 300. */
    @Test
    void burstPerMemberIsDetected() {
        double more = maxJobsAboveLimit(300, 3, 0, i -> {
            var own = TenantRateLimiter.ofNumbered(1, new double[] {3.0 / 300}, BURST);
            return now -> !own.exceeds(0, now);
        });
        assertEquals(900, more, 1e-9);
    }

    @Test
    void singleMemberIsAPlainTokenBucketAndOtherTenantsAreUnlimited() {
        var random = new SplittableRandom(1);
        var shares = TenantRateLimiter.ofNumbered(1, new double[] {2, Double.MAX_VALUE}, BURST);
        double spent = 0;
        long now = 0;
        for (int job = 0; job < 10_000; job++) {
            long waited = random.nextLong(SECOND);
            now += waited;
            spent = Math.max(0, spent - 2.0 * waited / SECOND);
            boolean over = spent + 1 > 8;
            spent += over ? 0 : 1;
            assertEquals(over, shares.exceeds(0, now), "job " + job);
            assertFalse(shares.exceeds(1, now) || shares.exceeds(2, now) || shares.exceeds(-1, now));
        }
    }
}
