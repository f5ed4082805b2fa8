package ryemast.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Checks the incremental estimates against slow references computed from all observations. */
class EvidenceTest {

    private record Observation(Sign sign, int jobClass, double weight, long gap) { }

    @Provide
    Arbitrary<List<Observation>> signs() {
        var sign = Arbitraries.of(Sign.SERVED, Sign.SERVED, Sign.SERVED, Sign.RESET, Sign.ERROR,
                Sign.NO_CONNECTION, Sign.NOTHING);
        return Combinators.combine(sign, Arbitraries.integers().between(0, 2),
                Arbitraries.doubles().between(0, 1), Arbitraries.longs().between(0, 3_000_000))
                .as(Observation::new).list().ofMinSize(1).ofMaxSize(60);
    }

    /** Every sign counts its weight, times 0.998 for each later one, times e^-(age / 10 s). */
    @Property(tries = 200, seed = "8")
    void baselineRatesAreDecayedShares(@ForAll("signs") List<Observation> signs) {
        var baseline = new BaselineRates();
        var times = new long[signs.size()];
        long now = 0;
        for (int i = 0; i < signs.size(); i++) {
            now += signs.get(i).gap();
            times[i] = now;
            baseline.count(signs.get(i).sign(), signs.get(i).jobClass(), signs.get(i).weight(), now);
        }
        for (var sign : List.of(Sign.RESET, Sign.NO_CONNECTION)) {
            double fleet = share(signs, times, sign, -1, 50);
            double ofClass = share(signs, times, sign, 1, 20);
            double expected = Math.min(0.9, Math.max(sign.baselineRate, Math.max(fleet, ofClass)));
            assertEquals(expected, baseline.expectedRate(sign, 1, false), 1e-9);
            assertEquals(Math.min(0.9, Math.max(0.4, expected)), baseline.expectedRate(sign, 1, true), 1e-9);
        }
    }

    private static double share(List<Observation> signs, long[] times, Sign sign, int jobClass,
            double priorWeight) {
        double total = priorWeight;
        double matching = priorWeight * sign.baselineRate;
        double later = 0;
        long last = 0;
        boolean found = false;
        for (int i = signs.size() - 1; i >= 0; i--) {
            var each = signs.get(i);
            if (jobClass >= 0 && each.jobClass() != jobClass) {
                continue;
            }
            last = found ? last : times[i];
            found = true;
            double weight = each.weight() * Math.pow(0.998, later++) * Math.exp((times[i] - last) / 1e6 / 10);
            total += weight;
            matching += each.sign() == sign ? weight : 0;
        }
        return matching / total;
    }

    /** The posterior follows Bayes' rule in odds form, with least probabilities, where no time has passed. */
    @Property(tries = 200, seed = "9")
    void posteriorsAreProductsOfLikelihoods(@ForAll("signs") List<Observation> signs) {
        var detector = new OutlierDetector(true, 0, 10_000, 0, 1);
        var worker = detector.worker("w");
        detector.setListed(List.of(worker));
        double flaky = 0.005;
        double down = 0.01;
        long now = 1_000_000;
        for (var each : signs) {
            if (each.sign() == Sign.NOTHING) {
                continue;
            }
            double expected = detector.baseline.expectedRate(each.sign(), each.jobClass(), false);
            var job = worker.recordSend(now, now, 0.1, each.jobClass());
            job.started(now);
            job.ended(each.sign(), false, now);
            boolean served = each.sign() == Sign.SERVED;
            double oddsFlaky = flaky / (1 - flaky - down) * (served ? 0.5 : (1 + expected) / 2 / expected);
            double oddsDown = down / (1 - flaky - down) * (served ? 0.02 : 0.98 / expected);
            double total = 1 + oddsFlaky + oddsDown;
            double sum = Math.max(0.001, 1 / total) + Math.max(0.001, oddsFlaky / total)
                    + Math.max(0.002, oddsDown / total);
            flaky = Math.max(0.001, oddsFlaky / total) / sum;
            down = Math.max(0.002, oddsDown / total) / sum;
        }
        assertEquals(flaky + down, worker.sickProbability(now), 1e-9);
    }

    @Provide
    Arbitrary<List<double[]>> runs() {
        return Combinators.combine(Arbitraries.doubles().between(0.01, 10),
                Arbitraries.doubles().between(0.1, 10)).as((guess, factor) -> new double[] {guess, factor})
                .list().ofMinSize(30).ofMaxSize(120);
    }

    /** The fit equals a weighted regression over all points, and the survival function never increases. */
    @Property(tries = 100, seed = "10")
    void runTimeModelMatchesWeightedRegression(@ForAll("runs") List<double[]> runs) {
        var model = new RunTimeModel();
        var points = new ArrayList<double[]>();
        for (var run : runs) {
            double time = Math.sqrt(run[0]) * run[1];
            model.learn(run[0], time);
            points.add(new double[] {Math.log(run[0]), Math.log(time)});
        }
        double weights = 0;
        double meanX = 0;
        double meanY = 0;
        for (int i = 0; i < points.size(); i++) {
            double weight = Math.pow(0.99, points.size() - 1 - i);
            weights += weight;
            meanX += weight * points.get(i)[0];
            meanY += weight * points.get(i)[1];
        }
        meanX /= weights;
        meanY /= weights;
        double squares = 8 * 0.64;
        double products = 8 * 0.64;
        for (int i = 0; i < points.size(); i++) {
            double weight = Math.pow(0.99, points.size() - 1 - i);
            squares += weight * Math.pow(points.get(i)[0] - meanX, 2);
            products += weight * (points.get(i)[0] - meanX) * (points.get(i)[1] - meanY);
        }
        double slope = Math.max(0, Math.min(1.2, products / squares));
        double part = weights / (weights + 8);
        double x = Math.log(0.5);
        double median = Math.exp(x + part * (meanY - meanX) + part * (slope - 1) * (x - meanX));
        assertEquals(median, model.median(0.5), 1e-6 * median);
        double before = 1;
        for (double time = 0.001; time < 1000; time *= 2) {
            double survival = model.survival(0.5, time);
            assertTrue(survival <= before && survival >= 0);
            before = survival;
        }
        assertEquals(0.5, model.survival(0.5, median), 1e-6);
    }

    /** Extra sends are at most the initial balance, the deposits of first sends and the refill together. */
    @Property(tries = 200, seed = "11")
    void retryBudgetBoundsExtraSends(@ForAll("signs") List<Observation> signs) {
        var budget = new RetryBudget(1);
        long now = 0;
        double first = 0;
        double extra = 0;
        for (var each : signs) {
            now += each.gap() / 100;
            budget.depositFirstSend(now);
            first++;
            for (int i = 0; i < 3 && each.sign() != Sign.SERVED; i++) {
                if (i == 0 && budget.canHedge(each.weight(), now)) {
                    budget.chargeHedge(each.weight(), now);
                    extra++;
                } else if (budget.canRetry(now)) {
                    budget.chargeRetry(now);
                    extra++;
                }
            }
            assertTrue(extra <= 24 + 0.22 * first + 4 * now / 1e6 + 1e-6, extra + " of " + first);
        }
    }
}
