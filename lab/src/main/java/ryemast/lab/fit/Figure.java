package ryemast.lab.fit;

import java.util.Locale;

/**
 * One figure learned, with its 95% interval and how many samples it rests on. NaN ends: no interval can be
 * given.
 *
 * @param what  what the samples are, for people
 */
public record Figure(double value, double low, double high, long samples, String what) {

    static Figure none(String what) {
        return new Figure(Double.NaN, Double.NaN, Double.NaN, 0, what);
    }

    boolean known() {
        return !Double.isNaN(value);
    }

    Figure times(double factor) {
        return new Figure(value * factor, low * factor, high * factor, samples, what);
    }

    /** As a comment says it. */
    String words() {
        if (!known()) {
            return "not known: " + what;
        }
        var interval = Double.isNaN(low) ? "no interval: too few"
                : "95%: " + text(low) + " to " + (Double.isInfinite(high) ? "any" : text(high));
        return interval + "; from " + samples + " " + what;
    }

    /** Four digits that mean something. */
    static String text(double value) {
        if (value == 0 || Double.isNaN(value) || Double.isInfinite(value)) {
            return value == 0 ? "0" : String.valueOf(value);
        }
        int whole = (int) Math.floor(Math.log10(Math.abs(value))) + 1;
        int digits = Math.max(0, Math.min(9, 4 - whole));
        var text = String.format(Locale.ROOT, "%." + digits + "f", value);
        return text.contains(".") ? text.replaceFirst("0+$", "").replaceFirst("\\.$", "") : text;
    }
}
