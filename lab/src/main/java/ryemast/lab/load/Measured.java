package ryemast.lab.load;

import ryemast.lab.books.Attempt;
import ryemast.lab.books.History;
import ryemast.lab.books.JobStory;

/**
 * What a run's books say of the measured interval alone: of the jobs that were due in it, how each ended and
 * how long it took; and how many ended in it, which is what the processor time of the interval was spent on.
 *
 * @param seconds    how long the interval was
 * @param failed     all that were neither served nor refused, unanswered ones among them
 * @param ended      jobs whose client got its last word in the interval, whenever they were due
 * @param cpuMicros  the dispatcher's processor time in the interval, below 0 if it is not known
 * @param stolen     the part of the machine that its host gave to others meanwhile
 */
public record Measured(double seconds, long asked, long served, long refused, long failed, long unanswered,
        long ended, Latency latency, long cpuMicros, double stolen) {

    private static final double MICROS_PER_S = 1e6;

    /** The interval from {@code from} on, and before {@code to}. */
    static Measured of(History history, long from, long to, long cpuMicros, double stolen) {
        long[] counts = new long[4];
        long ended = 0;
        long asked = 0;
        var latency = new Latency();
        for (JobStory story : history.jobs()) {
            long closedAt = story.closedAt();
            ended += closedAt != Attempt.NEVER && closedAt >= from && closedAt < to ? 1 : 0;
            long due = story.job().askedAt();
            if (due < from || due >= to) {
                continue;
            }
            asked++;
            switch (story.outcome()) {
                case SERVED -> {
                    counts[0]++;
                    latency.served(story.servedAt() - due);
                }
                case REFUSED -> counts[1]++;
                case FAILED -> counts[2]++;
                default -> {
                    counts[2]++;
                    counts[3]++;
                }
            }
            if (story.servedAt() == Attempt.NEVER) {
                latency.notServed();
            }
        }
        return new Measured((to - from) / MICROS_PER_S, asked, counts[0], counts[1], counts[2], counts[3],
                ended, latency, cpuMicros, stolen);
    }

    public double askedPerSecond() {
        return seconds == 0 ? 0 : asked / seconds;
    }

    public double servedPerSecond() {
        return seconds == 0 ? 0 : served / seconds;
    }

    public double cpuMicrosPerJob() {
        return ended == 0 || cpuMicros < 0 ? 0 : (double) cpuMicros / ended;
    }

    /** The part of its core that the dispatcher used. */
    public double busy() {
        return seconds == 0 || cpuMicros < 0 ? 0 : cpuMicros / (seconds * MICROS_PER_S);
    }

    /** Of all that was asked for. */
    public double share(long count) {
        return asked == 0 ? 0 : (double) count / asked;
    }
}
