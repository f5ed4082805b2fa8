/**
 * The life cycle of an execution: one run of a scheduled job at one scheduled time, by one dispatcher of a
 * fleet. Decides what is due, which replica claims it, when it may be submitted, what is recorded and which
 * replica takes over. No I/O, no clock. docs/timetable.md lists the states and events and the effect of each
 * fault.
 */
package ryemast.timetable;
