/** The entries file of a timetable: TOML that people write, read whole or not at all, all faults at once. */
package ryemast.entries;
