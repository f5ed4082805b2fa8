/**
 * Distributed choices that add up: the subset of workers of each member of a large fleet, the order in which
 * members get permits, and each member's share of a tenant's rate, all computed from what every member knows,
 * without communication. See docs/choices.md.
 */
package ryemast.fleet.choices;
