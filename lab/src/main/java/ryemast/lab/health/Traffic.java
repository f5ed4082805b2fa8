package ryemast.lab.health;

import java.util.Arrays;
import java.util.Collection;
import java.util.List;

/**
 * Who was sent how much and when; immutable. All is measured against what clients asked for in the same time,
 * so that a dispatcher that refuses everything is not taken to spread its traffic well.
 *
 * <p>A box's share is what it is sent for each job asked for. Shares are taken over windows, which begin at
 * any tenth of a second: one is long enough that a box is usually sent {@link #ENOUGH} in it, and at least a
 * second.
 */
final class Traffic {

    static final long SECOND = 1_000_000;
    /** Something never happened. */
    static final long NEVER = Long.MAX_VALUE;
    /** Under this part of its former share, a box counts as left; from the other on, as back in full. */
    static final double LEFT = 0.2;
    static final double BACK = 0.8;
    /** With so many expected, a fifth of them comes by chance once in ten thousand windows. */
    static final double ENOUGH = 20;
    private static final long STEP = 100_000;

    private final long[] asked;
    private final long[][] sent;

    /**
     * @param asked  when jobs were asked for
     * @param sent   for each box, when something was sent to it
     */
    Traffic(Collection<Long> asked, List<? extends Collection<Long>> sent) {
        this.asked = sorted(asked);
        this.sent = sent.stream().map(Traffic::sorted).toArray(long[][]::new);
    }

    private static long[] sorted(Collection<Long> times) {
        return times.stream().mapToLong(Long::longValue).sorted().toArray();
    }

    /** How many of the times lie from one to before another. */
    private static int count(long[] times, long from, long until) {
        return before(times, until) - before(times, from);
    }

    private static int before(long[] times, long at) {
        int found = Arrays.binarySearch(times, at);
        if (found < 0) {
            return -found - 1;
        }
        while (found > 0 && times[found - 1] == at) {
            found--;
        }
        return found;
    }

    int sent(int box, long from, long until) {
        return count(sent[box], from, until);
    }

    int sent(long from, long until) {
        int all = 0;
        for (var times : sent) {
            all += count(times, from, until);
        }
        return all;
    }

    int asked(long from, long until) {
        return count(asked, from, until);
    }

    /** What a box is sent for each job asked for; 0 where none was. */
    double share(int box, long from, long until) {
        int jobs = asked(from, until);
        return jobs == 0 ? 0 : (double) sent(box, from, until) / jobs;
    }

    /** How long a window is, by what was sent in a time of calm: whole seconds. */
    long window(long from, long until) {
        double each = (double) sent(from, until) / sent.length / (until - from);
        return each == 0 ? SECOND : Math.max(1, (long) Math.ceil(ENOUGH / each / SECOND)) * SECOND;
    }

    /** How long after {@code from} a box gets under a fifth of its former share, if before {@code until}. */
    long leftAfter(int box, double former, long from, long until, long window) {
        for (long at = from; at + window <= until; at += STEP) {
            if (sent(box, at, at + window) < LEFT * former * asked(at, at + window)) {
                // The first such window still has as much as it may of what was sent before traffic left.
                int last = before(sent[box], at + (long) (LEFT * window) + STEP) - 1;
                return last >= 0 && sent[box][last] >= at ? sent[box][last] - from : at - from;
            }
        }
        return NEVER;
    }

    /**
     * How long after {@code from} a box has four fifths of its former share again, if before {@code until}.
     */
    long backAfter(int box, double former, long from, long until, long window) {
        for (long at = from; at + window <= until; at += STEP) {
            if (sent(box, at, at + window) >= BACK * former * asked(at, at + window)) {
                int first = before(sent[box], at);
                return first < sent[box].length && sent[box][first] < at + window
                        ? Math.max(at, Math.min(sent[box][first], at + (long) ((1 - BACK) * window)
                        + STEP)) - from
                        : at - from;
            }
        }
        return NEVER;
    }

    /**
     * Seconds in which boxes got under a fifth of what is fair, each box on its own: its former share among
     * {@code boxes}, of all that was asked for.
     */
    double asideSeconds(Collection<Integer> boxes, double[] former, long from, long until, long window) {
        double all = boxes.stream().mapToDouble(box -> former[box]).sum();
        double whole = Arrays.stream(former).sum();
        double seconds = 0;
        for (long at = from; all > 0 && at + window <= until; at += window) {
            int jobs = asked(at, at + window);
            for (int box : boxes) {
                double fair = former[box] / all * whole * jobs;
                if (sent(box, at, at + window) < LEFT * fair) {
                    seconds += (double) window / SECOND;
                }
            }
        }
        return seconds;
    }
}
