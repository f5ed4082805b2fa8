package ryemast.lab.load;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.DoubleFunction;
import java.util.function.Function;

/**
 * Finds the highest rate at which a goal holds, by doubling and then halving the bracket until its ends lie
 * within 5% of each other. Each step is a run of its own.
 *
 * <p>A step that fails is repeated once and counts as failed only when it fails again: one hiccup of the
 * machine must not cut the answer in half, as a wrong failure is never looked at again. A step at which the
 * emulator was late says nothing about the dispatcher; it ends the search upwards all the same, and the
 * outcome names the emulator as the limit.
 */
public final class RateSearch {

    static final double CLOSE = 1.05;
    private static final double LEAST_RATE = 1;
    private static final double MOST_RATE = 1e6;
    private static final int MOST_STEPS = 60;

    /** What a step says. */
    public enum Verdict { HOLDS, FAILS, EMULATOR_LATE }

    /** One step's outcome; {@code note}: a few words for its line in the table. */
    public record Step<T>(double rate, Verdict verdict, boolean repeated, T detail) {
    }

    /**
     * What the search found.
     *
     * @param rate             the highest rate at which the goal held, 0: it held nowhere
     * @param failedAt         the lowest rate above it at which it did not, 0: it held everywhere
     * @param emulatorLimited  the emulator gave out at {@code failedAt}: the dispatcher may do more
     */
    public record Found<T>(double rate, double failedAt, boolean emulatorLimited, List<Step<T>> steps) {
    }

    private RateSearch() {
    }

    /** {@code cutShort} is asked before each step: true ends the search with what is known by then. */
    public static <T> Found<T> search(double firstRate, DoubleFunction<T> run,
            Function<T, Verdict> judge, Consumer<Step<T>> told,
            BooleanSupplier cutShort) {
        var steps = new ArrayList<Step<T>>();
        double holds = 0;
        double fails = 0;
        boolean late = false;
        double rate = Math.max(LEAST_RATE, firstRate);
        while (steps.size() < MOST_STEPS && !cutShort.getAsBoolean()) {
            var verdict = step(rate, run, judge, told, cutShort, steps);
            if (verdict == null) {
                break;
            }
            if (verdict == Verdict.HOLDS) {
                holds = rate;
            } else {
                fails = rate;
                late = verdict == Verdict.EMULATOR_LATE;
            }
            if (fails == 0) {
                rate = holds * 2;
            } else if (holds == 0) {
                rate = fails / 2;
            } else if (fails / holds <= CLOSE) {
                break;
            } else {
                rate = Math.sqrt(fails * holds);
            }
            if (rate < LEAST_RATE || rate > MOST_RATE) {
                break;
            }
        }
        return new Found<>(holds, fails, late, List.copyOf(steps));
    }

    /** Null if the search was cut short in the middle of the step. */
    private static <T> Verdict step(double rate, DoubleFunction<T> run,
            Function<T, Verdict> judge, Consumer<Step<T>> told,
            BooleanSupplier cutShort, List<Step<T>> steps) {
        Verdict verdict = null;
        for (int i = 0; i < 2 && verdict != Verdict.HOLDS; i++) {
            T detail = run.apply(rate);
            if (cutShort.getAsBoolean()) {
                return null;
            }
            verdict = judge.apply(detail);
            var step = new Step<>(rate, verdict, i > 0, detail);
            steps.add(step);
            told.accept(step);
        }
        return verdict;
    }
}
