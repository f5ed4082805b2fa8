/**
 * Scheduling of calls and jobs: when the next poll, watch or heartbeat is due and at which of several
 * servers, when a call has failed, and how many batch jobs may be in flight, in which order. No I/O, clocks
 * or threads; random numbers come from a seed.
 */
package ryemast.pacing;
