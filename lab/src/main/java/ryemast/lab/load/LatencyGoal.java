package ryemast.lab.load;

import java.util.Locale;
import java.util.regex.Pattern;

/**
 * A goal such as {@code p99<50ms}: that share of all jobs asked for is answered well within that time.
 *
 * <p>A job that was refused or failed counts as later than any limit. Otherwise a dispatcher could reach
 * every goal by refusing whatever would be late.
 *
 * @param percentile  above 0 and below 100
 * @param limit       in microseconds
 */
public record LatencyGoal(double percentile, long limit) {

    private static final Pattern FORM =
            Pattern.compile("p(\\d+(?:\\.\\d+)?)\\s*<=?\\s*(\\d+(?:\\.\\d+)?)\\s*(us|ms|s)");
    private static final double MICROS_PER_MS = 1e3;
    private static final double MICROS_PER_S = 1e6;

    /** The exception's message says what was expected. */
    public static LatencyGoal parse(String text) {
        var found = FORM.matcher(text.strip().toLowerCase(Locale.ROOT));
        if (!found.matches()) {
            throw new IllegalArgumentException("'" + text
                    + "' is no latency goal; expected one such as p99<50ms");
        }
        double percentile = Double.parseDouble(found.group(1));
        // p999 is what some call p99.9.
        if (!found.group(1).contains(".") && percentile > 100) {
            percentile /= Math.pow(10, found.group(1).length() - 2);
        }
        if (percentile <= 0 || percentile >= 100) {
            throw new IllegalArgumentException("'" + text + "': the percentile must lie between 0 and 100");
        }
        double unit = switch (found.group(3)) {
            case "us" -> 1;
            case "ms" -> MICROS_PER_MS;
            default -> MICROS_PER_S;
        };
        long limit = Math.round(Double.parseDouble(found.group(2)) * unit);
        if (limit < 1) {
            throw new IllegalArgumentException("'" + text + "': the time must be above 0");
        }
        return new LatencyGoal(percentile, limit);
    }

    public boolean holds(Latency latency) {
        return latency.over(percentile, true) < limit;
    }

    @Override
    public String toString() {
        var number = percentile == Math.rint(percentile) ? Long.toString((long) percentile)
                : Double.toString(percentile);
        return "p" + number + "<" + (limit % 1000 == 0 ? limit / 1000 + "ms" : limit + "us");
    }
}
