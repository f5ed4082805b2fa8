package ryemast.net.discovery;

/**
 * How patient a watch on the service table is. What the table has to tell counts as told 6 s later even on a
 * watch that is dead and has not said so; a silence must be noticed and the table asked anew well within that
 * time.
 *
 * @param silence         it speaks every 2 s; this long without a word, in microseconds, a beat is missing
 * @param connectLimitMs  how long its connection may take to come up, in milliseconds
 * @param longestLine     guards the memory against a line without end: some thousand workers fit; in bytes
 */
public record DiscoveryTuning(long silence, long connectLimitMs, int longestLine) {

    public static final DiscoveryTuning DEFAULT = new DiscoveryTuning(3_200_000, 1_000, 1 << 20);
}
