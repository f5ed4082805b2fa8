package ryemast.fleet;

import java.util.Map;

/**
 * A heartbeat as it was read.
 *
 * @param process drawn at random by the process that wrote it, to distinguish two processes with one name
 * @param sequence sequence number, counted from 0 under one incarnation
 * @param duration duration of the lease, as set by its holder
 * @param wallTime the sender's wall clock when it was written, Unix time in microseconds; 0: not reported
 * @param demand demand by service, in hundredths of its reservation; null: not reported
 */
public record MemberRecord(String name, long incarnation, String process, long sequence, long duration,
        long version, long wallTime, Map<String, Integer> demand) {

    /** A heartbeat without wall clock and demand. */
    public MemberRecord(String name, long incarnation, String process, long sequence, long duration,
            long version) {
        this(name, incarnation, process, sequence, duration, version, 0, null);
    }

    /** A copy with wall clock and demand. */
    public MemberRecord withClockAndDemand(long wallClock, Map<String, Integer> demandNow) {
        return new MemberRecord(name, incarnation, process, sequence, duration, version, wallClock,
                demandNow);
    }
}
