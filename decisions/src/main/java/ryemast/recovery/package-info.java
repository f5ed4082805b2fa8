/**
 * What becomes of work that is accepted for good: after each turn of a job, and after a crash in the midst of
 * one. No I/O, no clock.
 */
package ryemast.recovery;
