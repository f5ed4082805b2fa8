package ryemast.fleet.choices;

import java.util.function.Predicate;

/**
 * The width of a member's subset. Guarantees that at least half of a subset's expected weight is usable, or
 * that it contains all workers: where workers are unhealthy or full the width increases at once, as far as
 * needed. It decreases when three quarters of the expected weight have been usable at the next smaller width
 * for a while, so that workers that come and go do not make it oscillate. Times are microseconds.
 */
public final class SubsetWidth {

    private static final double MIN_USABLE = 0.5;
    private static final double NARROWING_THRESHOLD = 0.75;
    /** Longer than most failed workers take to recover and fail again. */
    private static final long NARROWING_DELAY = 10_000_000;

    private int width;
    private long enoughSince = Long.MAX_VALUE;

    /** The width to use from now on; to be called whenever the workers' state may have changed. */
    public int width(long now, Subset subset, Predicate<String> usable) {
        width = Math.min(width, subset.maxWidth());
        while (width < subset.maxWidth()
                && subset.usableWeight(width, usable) < MIN_USABLE * subset.expectedWeight()) {
            width++;
            enoughSince = Long.MAX_VALUE;
        }
        if (width == 0 || subset.usableWeight(width - 1, usable) < NARROWING_THRESHOLD
                * subset.expectedWeight()) {
            enoughSince = Long.MAX_VALUE;
        } else if (enoughSince == Long.MAX_VALUE) {
            enoughSince = now;
        } else if (now - enoughSince >= NARROWING_DELAY) {
            width--;
            enoughSince = now;
        }
        return width;
    }
}
