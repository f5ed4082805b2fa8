package ryemast.lab.consul;

import java.util.regex.Pattern;

/** Times as Go writes them, and as Consul therefore takes them: {@code 10s}, {@code 1m30s}, {@code 250ms}. */
final class Durations {

    private static final Pattern PART = Pattern.compile("([0-9]+(?:\\.[0-9]+)?)(ns|us|ms|s|m|h)");

    private Durations() {
    }

    /** In microseconds; an {@link IllegalArgumentException} says that it is none. */
    static long micros(String text) {
        var matcher = PART.matcher(text);
        int end = 0;
        double sum = 0;
        while (matcher.find() && matcher.start() == end) {
            end = matcher.end();
            sum += Double.parseDouble(matcher.group(1)) * switch (matcher.group(2)) {
                case "ns" -> 0.001;
                case "us" -> 1;
                case "ms" -> 1e3;
                case "s" -> 1e6;
                case "m" -> 60e6;
                default -> 3600e6;
            };
        }
        if (end == 0 || end < text.length()) {
            throw new IllegalArgumentException("time: invalid duration \"" + text + "\"");
        }
        return (long) sum;
    }
}
