/**
 * Migration of a running service from one site to another: each side's record, what each side does next, and
 * what it may reserve and run meanwhile. No I/O, clocks or threads; the tables are in docs/moves.md.
 */
package ryemast.move;
