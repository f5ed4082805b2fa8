package ryemast.pacing;

/**
 * How fast calls may follow one another. Times are in microseconds.
 *
 * @param hold        how long a server may hold a call until there is news
 * @param slack       how much longer than that its answer may take
 * @param burst       so many answers in a row may be followed by the next call at once
 * @param every       after that, calls come this far apart
 * @param firstPause  after a first setback; doubled with each one that follows
 * @param mostPause   the longest
 * @param longPause   the first after one that time alone won't mend soon: too many calls, or a token that
 *                    won't do
 * @param homeAfter   after so long with a server that is not the first one, the first one is tried again
 */
public record Pace(long hold, long slack, int burst, long every, long firstPause, long mostPause,
        long longPause,
        long homeAfter) {

    private static final long MS = 1_000;

    /**
     * A drain must be known well within half a second, so that even the slowest pace of calls that bring
     * nothing new is a quarter of one; ten calls at once let a burst of changes through as they come.
     */
    public static final Pace DEFAULT = new Pace(10_000 * MS, 1_000 * MS, 10, 250 * MS, 100 * MS, 2_000 * MS,
            500 * MS, 30_000 * MS);

    public Pace withHold(long other) {
        return new Pace(other, slack, burst, every, firstPause, mostPause, longPause, homeAfter);
    }
}
