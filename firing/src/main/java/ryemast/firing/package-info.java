/**
 * Runs a timetable on the loop: carries out what {@code ryemast.timetable} decides, over the fleet's records
 * and the exchange. Owned by the loop; no thread of its own. docs/timetable.md has the records and what they
 * cost.
 */
package ryemast.firing;
