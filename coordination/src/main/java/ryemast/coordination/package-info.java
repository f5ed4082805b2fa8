/**
 * What the dispatchers of a fleet must agree on: records with versions, changed several at a time or not at
 * all, and watched. Over the embedded store where one dispatcher has the site to itself, over Consul's KV
 * where there are several. Who may do what by such records (leases, fences, fires) is decided in
 * {@code ryemast.fleet} and its neighbours; here is only how records are had and changed.
 * docs/coordination.md weighs the options.
 */
package ryemast.coordination;
