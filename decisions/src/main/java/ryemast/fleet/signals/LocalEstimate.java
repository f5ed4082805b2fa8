package ryemast.fleet.signals;

/**
 * This member's own estimate of a worker, to compare reports with, and its report on it.
 *
 * @param worker     worker ID
 * @param startedAt  start time of the worker's process, on this process's clock; 0: long ago
 * @param slots      estimated number of slots
 * @param speed      speed estimated from own observations
 * @param report     null if the worker was not observed recently
 */
public record LocalEstimate(String worker, long startedAt, double slots, double speed, WorkerReport report) {
}
