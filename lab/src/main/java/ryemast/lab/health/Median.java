package ryemast.lab.health;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.Arrays;
import java.util.Collection;
import java.util.Locale;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The median over runs with its 95% interval by the bootstrap's percentiles (Efron, Annals of Statistics 7,
 * 1979), and the least and the greatest; immutable. What never happened is later than any time. The resamples
 * are drawn from a fixed seed, so that the same runs give the same interval.
 */
record Median(int runs, double median, double low, double high, double least, double greatest, int never) {

    /** A row's word for what did not happen while it could have. */
    static final String NEVER = "never";
    private static final int RESAMPLES = 2_000;
    private static final double TAIL = 0.025;
    private static final long SEED = 8;

    static Median of(double... values) {
        if (values.length == 0) {
            return new Median(0, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, 0);
        }
        var sorted = values.clone();
        Arrays.sort(sorted);
        var draw = RandomSource.XO_RO_SHI_RO_128_PP.create(SEED);
        var medians = new double[RESAMPLES];
        var resample = new double[values.length];
        for (int i = 0; i < RESAMPLES; i++) {
            for (int j = 0; j < resample.length; j++) {
                resample[j] = sorted[draw.nextInt(sorted.length)];
            }
            Arrays.sort(resample);
            medians[i] = middle(resample);
        }
        Arrays.sort(medians);
        int tail = (int) (TAIL * RESAMPLES);
        return new Median(values.length, middle(sorted), medians[tail], medians[RESAMPLES - 1 - tail],
                sorted[0],
                sorted[sorted.length - 1], (int) Arrays.stream(values).filter(Double::isInfinite).count());
    }

    private static double middle(double[] sorted) {
        int half = sorted.length / 2;
        return sorted.length % 2 == 1 ? sorted[half] : (sorted[half - 1] + sorted[half]) / 2;
    }

    /** Over the rows in which the figure is known. */
    static Median of(Collection<JsonObject> rows, String figure) {
        return of(rows.stream().map(row -> row.get(figure)).filter(value -> !value.isJsonNull())
                .mapToDouble(Median::value).toArray());
    }

    private static double value(JsonElement figure) {
        var primitive = figure.getAsJsonPrimitive();
        return primitive.isString() ? Double.POSITIVE_INFINITY : primitive.getAsDouble();
    }

    JsonObject json() {
        var json = new JsonObject();
        json.addProperty("runs", runs);
        put(json, "median", median);
        put(json, "low", low);
        put(json, "high", high);
        put(json, "least", least);
        put(json, "greatest", greatest);
        json.addProperty(NEVER, never);
        return json;
    }

    private static void put(JsonObject json, String name, double value) {
        if (Double.isInfinite(value)) {
            json.addProperty(name, NEVER);
        } else {
            json.addProperty(name, Double.isNaN(value) ? null : (Double) value);
        }
    }

    /** As {@code 0.31 (0.28 to 0.35)}, a dash where nothing is known. */
    String words(int digits) {
        if (runs == 0) {
            return "-";
        }
        var middle = number(median, digits);
        return low == high ? middle : middle + " (" + number(low, digits) + " to " + number(high, digits)
                + ")";
    }

    private static String number(double value, int digits) {
        return Double.isInfinite(value) ? NEVER : String.format(Locale.ROOT, "%." + digits + "f", value);
    }
}
