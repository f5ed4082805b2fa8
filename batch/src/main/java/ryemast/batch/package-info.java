/**
 * Batch submission: a front of its own, whose jobs are on the disk before a submitter is told that they are
 * taken. What a job is and what becomes of it is the business of {@code Book}, {@code Turns} and {@code
 * Ends}; connections and messages of {@code BatchServer} and {@code Requests}. Decisions (whose turn it is,
 * how many may be out, what becomes of a job after a crash) are {@code ryemast.pacing}'s and {@code
 * ryemast.recovery}'s.
 */
package ryemast.batch;
