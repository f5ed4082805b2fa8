/**
 * Settles who is a member: takes what any source says of the workers (the platform's discovery, Consul, an
 * operator, the calls themselves) and yields one list of workers, each with its state, the reason and since
 * when. No I/O, clocks, threads or chance: times are handed in, in microseconds on the loop's clock.
 * docs/membership.md weighs the options.
 */
package ryemast.membership;
