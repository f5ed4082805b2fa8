/** How much a box may be given, whatever else speaks for it. No I/O, clocks, threads or chance. */
package ryemast.limits;
