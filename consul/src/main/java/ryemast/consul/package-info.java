/**
 * Consul as a source of workers: its catalogue and health API, asked by blocking queries, and the
 * dispatcher's own registration. Knows HTTP and JSON; what is made of Consul's word is {@code
 * ryemast.membership}'s matter, and how fast it is asked {@code ryemast.pacing}'s. docs/operate-consul.md is
 * the operators' page.
 */
package ryemast.consul;
