/**
 * Fleet membership, leases and key ownership, decided from the records read and from times on each process's
 * own monotonic clock. Does no I/O and has no clock; {@code ryemast.coordination.FleetKeeper} performs the
 * operations. Times and durations are in microseconds. docs/fleet.md has the states, the timing and the
 * faults.
 */
package ryemast.fleet;
