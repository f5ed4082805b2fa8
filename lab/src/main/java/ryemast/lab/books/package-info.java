/**
 * What happened in a run, written down by those it happened to, and what follows from that: the rules, the
 * measure of service, and the run's result.
 */
package ryemast.lab.books;
