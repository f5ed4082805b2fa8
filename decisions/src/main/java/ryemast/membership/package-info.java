/**
 * Merges the reports of all sources of workers (the platform's discovery, Consul, an operator, the requests
 * themselves) into one list of workers, each with its state, the reason and since when. No I/O, clocks,
 * threads or randomness: times are passed in, in microseconds on the loop's clock. docs/membership.md
 * compares the options.
 */
package ryemast.membership;
