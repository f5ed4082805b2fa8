/**
 * Trials of a whole fleet: real dispatchers' processes beside an emulated site, every link of theirs over a
 * proxy, struck by a plan that is drawn before the start, and judged from what boxes, clients and records
 * saw. docs/lab-fleet.md tells how trials are written and run.
 */
package ryemast.lab.fleet;
