/** Gossip of load and health reports on workers between fleet members, and its merging. No I/O, no clock. */
package ryemast.fleet.signals;
