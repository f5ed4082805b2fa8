package ryemast.lab.compare;

/**
 * What can be said of the service of the two at a look.
 *
 * @param low, high  the interval that holds at this look though there are others (repeated confidence
 * interval)
 * @param more       how many more runs would probably settle it; 0 if it is, -1: no number below a million
 */
public record Verdict(Word word, double low, double high, long more) {

    public enum Word {
        A_IS_BETTER, B_IS_BETTER,
        /** They differ by less than matters. */
        ALIKE,
        UNDECIDED
    }

    /** Two-sided 95% and a power of 80%. */
    private static final double NEEDED = 1.96 + 0.8416;
    private static final double WITHIN = 1.96;
    private static final long MOST = 1_000_000;

    /** {@code margin}: differences below it don't matter. */
    static Verdict of(Paired service, double quantile, double margin) {
        double half = service.half(quantile);
        if (Double.isNaN(half)) {
            return new Verdict(Word.UNDECIDED, Double.NaN, Double.NaN, -1);
        }
        double low = service.mean() - half;
        double high = service.mean() + half;
        // An interval wholly within the margin settles it too, whichever side of nothing it lies on.
        var word = low >= -margin && high <= margin ? Word.ALIKE : low > 0 ? Word.A_IS_BETTER
                : high < 0 ? Word.B_IS_BETTER : Word.UNDECIDED;
        return new Verdict(word, low, high, word == Word.UNDECIDED ? more(service, margin) : 0);
    }

    public boolean settled() {
        return word != Word.UNDECIDED;
    }

    /** By the spread and the difference seen so far: whichever of the two answers would come first. */
    private static long more(Paired service, double margin) {
        double mean = Math.abs(service.mean());
        double other = needed(service.deviation(), mean, NEEDED);
        double alike = mean < margin ? needed(service.deviation(), margin - mean, WITHIN)
                : Double.POSITIVE_INFINITY;
        double all = Math.min(other, alike);
        return all > MOST ? -1 : Math.max(1, (long) Math.ceil(all) - service.runs());
    }

    private static double needed(double deviation, double difference, double quantile) {
        double ratio = quantile * deviation / difference;
        return difference <= 0 ? Double.POSITIVE_INFINITY : ratio * ratio;
    }
}
