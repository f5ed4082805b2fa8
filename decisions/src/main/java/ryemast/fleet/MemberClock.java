package ryemast.fleet;

/**
 * Another member's wall clock, as reported in its heartbeat.
 *
 * @param wallTime Unix time in microseconds
 * @param observedAt time on this process's own clock, within a heartbeat interval and a call of that wall
 *     time
 */
public record MemberClock(String name, long wallTime, long observedAt) {
}
