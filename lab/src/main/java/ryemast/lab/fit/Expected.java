package ryemast.lab.fit;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import ryemast.lab.fit.Seen.Attempt;
import ryemast.lab.fit.Seen.Box;

/**
 * What a job of a class and a hint is to be expected to cost, learned together with how fast boxes are.
 *
 * <p>Not simply its hint: a dispatcher sends jobs with large hints to fast boxes, and of jobs with large
 * hints more are overestimated than not (regression to the mean), so that fast boxes would look faster than
 * they are. Given class and hint, though, which box a job went to says nothing of its cost. So the logarithm
 * of a run's time is taken as a function of the hint, one for each class, less the box's speed; the two are
 * fitted in turns, each by medians, which a few wild jobs hardly move. The function is made of the medians of
 * up to ten groups of equal size, joined by lines. One constant stays open, as twice the speed is half the
 * work; it is set so that the middle hint is right.
 */
final class Expected {

    private static final int ROUNDS = 6;
    private static final int GROUP = 25;
    private static final int MOST_GROUPS = 10;
    private static final int FEW = 12;

    /** Logarithms of hints, and of the costs to be expected of them. */
    private record Curve(double[] hints, double[] costs) {

        double at(double hint) {
            int last = hints.length - 1;
            if (last == 0) {
                // With one group alone, a cost in proportion to its hint is the best guess.
                return costs[0] + hint - hints[0];
            }
            int i = 0;
            while (i < last - 1 && hint > hints[i + 1]) {
                i++;
            }
            double slope = (costs[i + 1] - costs[i]) / (hints[i + 1] - hints[i]);
            return costs[i] + slope * (hint - hints[i]);
        }
    }

    private final ToDoubleFunction<Attempt> hint;
    private final Map<Integer, Curve> curves = new HashMap<>();
    private final Map<Box, Double> speeds = new HashMap<>();
    private Curve any;
    private double commonError;

    /**
     * @param hint  a run's logarithm; 0 for all where there are none
     * @param time  a run's logarithm
     */
    Expected(List<Attempt> runs, ToDoubleFunction<Attempt> hint, ToDoubleFunction<Attempt> time) {
        this.hint = hint;
        var byClass = new HashMap<Integer, List<Attempt>>();
        var byBox = new HashMap<Box, List<Attempt>>();
        for (var run : runs) {
            byClass.computeIfAbsent(run.job.jobClass, c -> new ArrayList<>()).add(run);
            byBox.computeIfAbsent(run.box, b -> new ArrayList<>()).add(run);
            speeds.put(run.box, 0.0);
        }
        byClass.values().forEach(of -> of.sort(Comparator.comparingDouble(hint::applyAsDouble)));
        for (int round = 0; round < ROUNDS; round++) {
            ToDoubleFunction<Attempt> cost = run -> time.applyAsDouble(run) + speeds.get(run.box);
            any = new Curve(new double[] {0}, new double[] {median(runs, run -> cost.applyAsDouble(run)
                    - hint.applyAsDouble(run))});
            byClass.forEach((jobClass, of) -> curves.put(jobClass, curve(of, cost)));
            byBox.forEach((box, of) -> speeds.put(box, median(of, run -> of(run) - time.applyAsDouble(run))));
            centre(runs, time);
        }
        commonError = commonError(runs, time);
    }

    /**
     * What all boxes' logarithms may be off together, as a standard error: the constant rests on the hints'
     * own errors, and what is expected of a hint on about as many runs again for each half of the hints. A
     * median has half of pi times the variance of a mean.
     */
    private double commonError(List<Attempt> runs, ToDoubleFunction<Attempt> time) {
        var left = runs.stream().mapToDouble(run -> of(run) - time.applyAsDouble(run) - speeds.get(run.box))
                .toArray();
        var hints = runs.stream().mapToDouble(run -> hint.applyAsDouble(run) - time.applyAsDouble(run)
                - speeds.get(run.box)).toArray();
        double of = Stats.sigma(left, "").value();
        double ofHints = Stats.sigma(hints, "").value();
        return Double.isNaN(of) ? 0 : Math.sqrt(Math.PI / 2 * (ofHints * ofHints
                + 2 * of * of) / runs.size());
    }

    double commonError() {
        return commonError;
    }

    /** The middle hint is right; where there are none, the middle speed is 1. */
    private void centre(List<Attempt> runs, ToDoubleFunction<Attempt> time) {
        boolean hinted = runs.stream().anyMatch(run -> hint.applyAsDouble(run) != 0);
        double off = hinted ? median(runs, run -> hint.applyAsDouble(run) - time.applyAsDouble(run)
                - speeds.get(run.box))
                : -speeds.values().stream().mapToDouble(Double::doubleValue).average().orElse(0);
        speeds.replaceAll((box, speed) -> speed + off);
        curves.replaceAll((jobClass, curve) -> new Curve(curve.hints,
                Arrays.stream(curve.costs).map(cost -> cost + off).toArray()));
        any = new Curve(any.hints, new double[] {any.costs[0] + off});
    }

    private Curve curve(List<Attempt> sorted, ToDoubleFunction<Attempt> cost) {
        if (sorted.size() < FEW) {
            return any;
        }
        int groups = Math.max(1, Math.min(MOST_GROUPS, sorted.size() / GROUP));
        var hints = new ArrayList<Double>();
        var costs = new ArrayList<Double>();
        for (int i = 0; i < groups; i++) {
            var some = sorted.subList(sorted.size() * i / groups, sorted.size() * (i + 1) / groups);
            double at = median(some, hint);
            // Many equal hints fill several groups; a line between equals would stand upright.
            if (hints.isEmpty() || at > hints.get(hints.size() - 1) + 1e-9) {
                hints.add(at);
                costs.add(median(some, cost));
            }
        }
        return new Curve(array(hints), array(costs));
    }

    private static double[] array(List<Double> values) {
        return values.stream().mapToDouble(Double::doubleValue).toArray();
    }

    private static double median(List<Attempt> runs, ToDoubleFunction<Attempt> of) {
        return Stats.median(runs.stream().mapToDouble(of).sorted().toArray());
    }

    /** The logarithm of the cost to be expected. */
    double of(Attempt run) {
        return curves.getOrDefault(run.job.jobClass, any).at(hint.applyAsDouble(run));
    }
}
