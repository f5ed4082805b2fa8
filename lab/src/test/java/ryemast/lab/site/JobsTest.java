package ryemast.lab.site;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.scenario.Scenario.JobClass;
import ryemast.lab.scenario.Scenario.Shape;
import ryemast.lab.scenario.Scenario.Spread;
import ryemast.lab.scenario.ScenarioBuilder;
import ryemast.lab.world.Chance;

/** What is drawn for jobs and their arrivals; all at fixed seeds, so that a verdict never changes. */
class JobsTest {

    private static final long SECOND = 1_000_000;

    private static JobClass jobs(String name, double share, Spread spread, double variation) {
        return new JobClass(name, share, 40_000, spread, variation, SECOND, 1, 5 * SECOND, 1, 0,
                Scenario.Effect.FREE, 1);
    }

    private static Scenario.Load load(double rate, Shape shape, Scenario.Hints hints) {
        return new Scenario.Load(rate, 0, shape, 0.8, 4 * SECOND, hints, 0.5, 0);
    }

    /** The heavier the tail, the slower a sample's variation settles: Pareto's is held loosely. */
    @ParameterizedTest
    @CsvSource({"FIXED, 2, 0, 0", "EXPONENTIAL, 3, 1, 0.02", "LOGNORMAL, 0.5, 0.5, 0.02",
        "LOGNORMAL, 2, 2, 0.2", "PARETO, 0.4, 0.4, 0.03", "LOGNORMAL, 0, 0, 0"})
    void workHasItsMeanAndVariation(Spread spread, double variation, double seen, double tolerance) {
        var work = Jobs.work(jobs("j", 1, spread, variation));
        var draw = new Chance(11).stream("test", 0);
        double sum = 0;
        double squares = 0;
        int count = 200_000;
        for (int i = 0; i < count; i++) {
            double one = work.applyAsDouble(draw) / 40_000;
            sum += one;
            squares += one * one;
        }
        double mean = sum / count;
        assertEquals(1, mean, 0.02);
        assertEquals(seen, Math.sqrt(Math.max(0, squares / count - mean * mean)), tolerance + 1e-6);
    }

    /** With variation 2: shape 1 + √1.25 = 2.118, scale 40 ms × 1.118 / 2.118 = 21.11 ms; median 29.29 ms. */
    @Test
    void paretoHasTheMedianThatItsFormulaSays() {
        var work = Jobs.work(jobs("j", 1, Spread.PARETO, 2));
        var draw = new Chance(12).stream("test", 0);
        int above = 0;
        for (int i = 0; i < 20_000; i++) {
            double one = work.applyAsDouble(draw);
            assertTrue(one >= 21_114);
            above += one > 29_290 ? 1 : 0;
        }
        assertEquals(10_000, above, 250);
    }

    @Test
    void classesTenantsAndHintsComeInTheirShares() {
        var scenario = ScenarioBuilder.uniform(1, 1, 1, 1)
                .classes(List.of(jobs("a", 0.7, Spread.EXPONENTIAL, 1), jobs("b", 0.3, Spread.FIXED, 0)))
                .tenants(List.of(new Scenario.Tenant("t", 0.5, 0.2, 9),
                        new Scenario.Tenant("u", 0.5, 0.8, 9)))
                .load(load(10, Shape.STEADY, Scenario.Hints.ROUGH)).build();
        var jobs = new Jobs(scenario, new Chance(5), spell(7));
        var classes = new int[2];
        var tenants = new int[2];
        double logs = 0;
        double squares = 0;
        for (int i = 0; i < 10_000; i++) {
            var job = jobs.make(i, 100, 200);
            classes[job.jobClass()]++;
            tenants[job.tenant()]++;
            // A hint speaks of the plain work, a seventh of what the spell makes of it.
            double off = Math.log(job.hint() / (job.work() / 7));
            logs += off;
            squares += off * off;
            assertEquals(100 + 5 * SECOND, job.deadlineAt());
        }
        assertEquals(7_000, classes[0], 150);
        assertEquals(2_000, tenants[0], 150);
        assertEquals(0, logs / 10_000, 0.02);
        assertEquals(0.5, Math.sqrt(squares / 10_000), 0.02);
    }

    private static Heavy spell(double factor) {
        return new Heavy() {
            @Override
            public double factor(int jobClass, long now, UniformRandomProvider draw) {
                return factor * (draw.nextDouble() < 2 ? 1 : 0);
            }

            @Override
            public boolean poisoned(int jobClass, long now, UniformRandomProvider draw) {
                return factor > 8;
            }
        };
    }

    @Test
    void aSpellChangesItsJobsAndNoOtherDraw() {
        var scenario = ScenarioBuilder.uniform(1, 1, 1, 1)
                .classes(List.of(jobs("a", 1, Spread.EXPONENTIAL, 1)))
                .load(load(10, Shape.STEADY, Scenario.Hints.ROUGH)).build();
        var plain = new Jobs(scenario, new Chance(5), spell(1));
        var struck = new Jobs(scenario, new Chance(5), spell(9));
        for (long i = 99; i >= 0; i--) {
            var one = plain.make(i, 0, 0);
            var other = struck.make(99 - i, 0, 0);
            var same = struck.make(i, 0, 0);
            assertEquals(9 * one.work(), same.work(), 1e-6);
            assertEquals(one.hint(), same.hint());
            assertTrue(same.poisoned() && other.poisoned() && !one.poisoned());
        }
    }

    @ParameterizedTest
    @EnumSource(Shape.class)
    void theWholeRunHasTheRateAskedForInItsShape(Shape shape) {
        // 10.5 s holds two waves and a half, so that the mean is right only if it is taken over the run.
        long length = 10_500_000;
        double high = 0;
        double expectedHigh = 0;
        long all = 0;
        int runs = 40;
        for (int seed = 0; seed < runs; seed++) {
            var arrivals = new Arrivals(load(400, shape, Scenario.Hints.NONE), length, new Chance(seed));
            for (long at = 0; at < length; at += 1_000) {
                double rate = arrivals.relativeRate(at);
                expectedHigh += rate > 1 ? rate * 400 / 1_000 : 0;
            }
            long last = 0;
            for (long next = arrivals.next(); next != Arrivals.OVER; next = arrivals.next()) {
                assertTrue(next >= last && next < length);
                last = next;
                all++;
                high += arrivals.relativeRate(next) > 1 ? 1 : 0;
            }
        }
        // 168,000 expected, standard deviation 410.
        assertEquals(runs * 4_200, all, 1_300);
        assertEquals(expectedHigh, high, 1_300);
        assertEquals(shape != Shape.STEADY, high > 0);
    }

    @Test
    void gapsAreExponential() {
        var arrivals = new Arrivals(load(1_000, Shape.STEADY, Scenario.Hints.NONE), 20 * SECOND,
                new Chance(2));
        int longer = 0;
        int count = 0;
        long last = arrivals.next();
        for (long next = arrivals.next(); next != Arrivals.OVER; next = arrivals.next()) {
            longer += next - last > 1_000 ? 1 : 0;
            count++;
            last = next;
        }
        assertEquals(Math.exp(-1), (double) longer / count, 0.01);
    }

    @Test
    void namesAreDifferentAndKeepNoOrder() {
        var names = new Names(3);
        var seen = new HashSet<String>();
        int rising = 0;
        String last = "";
        for (int job = 0; job < 2_000; job++) {
            for (int number = 0; number < 3; number++) {
                var name = names.of(job, number);
                assertEquals(16, name.length());
                assertTrue(seen.add(name));
                rising += name.compareTo(last) > 0 ? 1 : 0;
                last = name;
            }
        }
        assertEquals(3_000, rising, 150);
        assertEquals(names.of(7, 1), new Names(3).of(7, 1));
        assertTrue(!names.of(7, 1).equals(new Names(4).of(7, 1)));
    }
}
