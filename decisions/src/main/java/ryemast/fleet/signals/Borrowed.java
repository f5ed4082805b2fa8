package ryemast.fleet.signals;

/**
 * What others' evidence of one worker comes to, trimmed among them. Not to be changed.
 *
 * @param at        when it was added up, on this process's clock; it fades from then on
 * @param jobs      slots that others' jobs take there
 * @param work      what is left of them, in slot-seconds
 * @param logSpeed  logarithm of the speed
 * @param samples   how many own samples the speed is worth; 0: nothing is known
 * @param sick      how likely it is sick; 0: nothing is known
 */
public record Borrowed(long at, double jobs, double work, double logSpeed, double samples, double sick) {

    /** Work that nobody confirms is taken to be done by a third after so many seconds. */
    static final double HELD_SECONDS = 1;
    /** Opinions last as long as own ones do in {@link ryemast.health.WorkerHealth}. */
    static final double OPINION_SECONDS = 8;
    private static final double SECOND = 1e6;

    /** What is left by now of jobs and their work. */
    public double held(long now) {
        return faded(now - at, HELD_SECONDS);
    }

    /** What is left by now of opinions on speed and standing. */
    public double opinion(long now) {
        return faded(now - at, OPINION_SECONDS);
    }

    static double faded(long micros, double seconds) {
        return Math.exp(-Math.max(0, micros) / SECOND / seconds);
    }
}
