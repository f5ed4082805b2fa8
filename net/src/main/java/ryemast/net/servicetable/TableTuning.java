package ryemast.net.servicetable;

/**
 * How patient a watch on the service table is.
 *
 * @param silence         it speaks every 2 s; this long without a word, in microseconds, several beats are
 *                        missing
 * @param connectLimitMs  how long its connection may take to come up, in milliseconds
 * @param longestLine     guards the memory against a line without end: some thousand workers fit; in bytes
 */
public record TableTuning(long silence, long connectLimitMs, int longestLine) {

    public static final TableTuning DEFAULT = new TableTuning(6_500_000, 5_000, 1 << 20);
}
