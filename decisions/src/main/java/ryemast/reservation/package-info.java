/**
 * Capacity reservations: which service has how much of the site's work per second, each member's quota of it,
 * and what a request may use. No I/O, no clock, no randomness. docs/reservations.md lists options, states and
 * bounds.
 */
package ryemast.reservation;
