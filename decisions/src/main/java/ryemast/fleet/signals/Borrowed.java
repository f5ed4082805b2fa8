package ryemast.fleet.signals;

/**
 * The merged estimate of one worker from the reports of other fleet members, robust against a minority of
 * false reports. Immutable.
 *
 * @param mergedAt   when it was computed, on this process's clock; the values decay from then on
 * @param jobs       slots of the worker that jobs of other members take
 * @param work       remaining work of these jobs, in slot-seconds
 * @param logSpeed   natural logarithm of the speed
 * @param samples    how many own samples the speed is worth; 0: unknown
 * @param suspicion  probability that the worker is faulty; 0: unknown
 */
public record Borrowed(long mergedAt, double jobs, double work, double logSpeed, double samples,
        double suspicion) {

    /** Time constant of the exponential decay of jobs and work that no newer report confirms. */
    static final double LOAD_DECAY_SECONDS = 1;
    /**
     * Time constant of the decay of speed and suspicion, the same as for own observations in
     * {@link ryemast.health.WorkerHealth}.
     */
    static final double ESTIMATE_DECAY_SECONDS = 8;
    private static final double SECOND = 1e6;

    /** The factor, from 0 to 1, that applies to jobs and work at that time. */
    public double loadDecay(long now) {
        return decay(now - mergedAt, LOAD_DECAY_SECONDS);
    }

    /** The factor, from 0 to 1, that applies to samples and suspicion at that time. */
    public double estimateDecay(long now) {
        return decay(now - mergedAt, ESTIMATE_DECAY_SECONDS);
    }

    static double decay(long micros, double seconds) {
        return Math.exp(-Math.max(0, micros) / SECOND / seconds);
    }
}
