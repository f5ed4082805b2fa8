package ryemast.net.worker;

/**
 * How connections to workers are kept; times in microseconds.
 *
 * @param leastRest  however little connections last, what has rested for less is used again
 * @param forgiving  after so long without a break at the next use, they may rest for twice as long again
 * @param patience   how long an answer is awaited that no routed task waits for any more
 */
public record WorkerTuning(long leastRest, long forgiving, long patience) {

    public static final WorkerTuning DEFAULT = new WorkerTuning(25_000, 30_000_000, 2_000_000);
}
