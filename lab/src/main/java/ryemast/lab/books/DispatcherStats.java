package ryemast.lab.books;

import java.util.List;

/**
 * What the supervisor of one dispatcher's process measured, over all its starts. {@link #UNKNOWN}: not known,
 * as of a dispatcher that somebody else runs.
 *
 * @param cpuMicros      processor time used from when the load began until it had ended
 * @param rssPeakMb      the most memory that its process held
 * @param readyMicros    from its first start until its health check said 200
 * @param readyCpuMicros processor time used until then
 * @param alive          whether it ran when the run had ended
 * @param died           whether it ended by itself though nobody had told it to
 * @param exitCode       of the last process that ended, null if none has
 * @param lastLines      the end of its log
 */
public record DispatcherStats(int number, long cpuMicros, double rssPeakMb, long readyMicros,
        long readyCpuMicros, boolean alive, boolean died, Integer exitCode, List<String> lastLines) {

    public static final long UNKNOWN = -1;

    public DispatcherStats {
        lastLines = List.copyOf(lastLines);
    }
}
