package ryemast.lab.fit;

import org.apache.commons.math3.analysis.MultivariateFunction;
import org.apache.commons.math3.exception.TooManyEvaluationsException;
import org.apache.commons.math3.optim.InitialGuess;
import org.apache.commons.math3.optim.MaxEval;
import org.apache.commons.math3.optim.PointValuePair;
import org.apache.commons.math3.optim.SimpleValueChecker;
import org.apache.commons.math3.optim.nonlinear.scalar.GoalType;
import org.apache.commons.math3.optim.nonlinear.scalar.ObjectiveFunction;
import org.apache.commons.math3.optim.nonlinear.scalar.noderiv.NelderMeadSimplex;
import org.apache.commons.math3.optim.nonlinear.scalar.noderiv.SimplexOptimizer;

/**
 * The least value of a function of a few figures, by Nelder and Mead's simplex. On a ridge, where it would
 * creep on for ever, the best that was met in so many evaluations has to do.
 */
final class Least {

    private static final int EVALUATIONS = 1_500;
    private static final double RELATIVE = 1e-10;

    private Least() {
    }

    /** {@code step}: the first simplex's size; {@code close}: values that differ by less are alike. */
    static PointValuePair of(MultivariateFunction function, double[] from, double step, double close) {
        var best = new PointValuePair[] {new PointValuePair(from, function.value(from))};
        MultivariateFunction noted = point -> {
            double value = function.value(point);
            if (value < best[0].getValue()) {
                best[0] = new PointValuePair(point, value);
            }
            return value;
        };
        try {
            new SimplexOptimizer(new SimpleValueChecker(RELATIVE, close)).optimize(new MaxEval(EVALUATIONS),
                    new ObjectiveFunction(noted), GoalType.MINIMIZE, new InitialGuess(from),
                    new NelderMeadSimplex(from.length, step));
        } catch (TooManyEvaluationsException e) {
            return best[0];
        }
        return best[0];
    }
}
