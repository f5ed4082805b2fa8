package ryemast.lab.model;

import com.google.gson.JsonObject;
import org.apache.commons.statistics.distribution.TDistribution;

/**
 * A mean over independent runs with its 95% interval, Student's t; immutable. Of fewer than two runs there is
 * no interval.
 */
public record Spread(int runs, double mean, double deviation) {

    private static final double UPPER = 0.975;

    public static Spread of(double... values) {
        double mean = 0;
        double squares = 0;
        // Welford's way (Technometrics 4(3), 1962): no digits are lost where the values are nearly alike.
        for (int i = 0; i < values.length; i++) {
            double off = values[i] - mean;
            mean += off / (i + 1);
            squares += off * (values[i] - mean);
        }
        return new Spread(values.length, values.length == 0 ? Double.NaN : mean,
                values.length < 2 ? Double.NaN
                : Math.sqrt(squares / (values.length - 1)));
    }

    /** Half the interval's width; NaN if there is none. */
    public double half() {
        if (runs < 2) {
            return Double.NaN;
        }
        double t = TDistribution.of(runs - 1).inverseCumulativeProbability(UPPER);
        return t * deviation / Math.sqrt(runs);
    }

    public double low() {
        return mean - half();
    }

    public double high() {
        return mean + half();
    }

    public boolean holds(double value) {
        return low() <= value && value <= high();
    }

    /** {@code mean, low, high}; what is not known is null. */
    public JsonObject json() {
        var json = new JsonObject();
        json.addProperty("mean", known(mean));
        json.addProperty("low", known(low()));
        json.addProperty("high", known(high()));
        return json;
    }

    private static Double known(double value) {
        return Double.isNaN(value) ? null : value;
    }
}
