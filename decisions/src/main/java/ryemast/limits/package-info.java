/** Upper limits on the work that a worker may be sent. No I/O, clocks, threads or random numbers. */
package ryemast.limits;
