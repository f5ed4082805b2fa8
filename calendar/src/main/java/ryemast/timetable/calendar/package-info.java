/**
 * When the entries of a timetable fire: expressions in a dialect of cron, zones with their summer times, days
 * off, and the draws that spread fires. Pure: no I/O, clocks, threads or chance, so that every replica that
 * reads the same entries knows the same moments.
 *
 * <p>The parser is that of cron-utils: it knows lists, ranges, steps, names, {@code L}, {@code W} and
 * {@code #}, and gives a tree for each field. Its search for the next time is not used. Held against a walk
 * over the minutes it fails even without zones: {@code 31W} throws in each month that is shorter, a list such
 * as {@code L,15} or {@code 1,15W} loses what is no plain number, {@code 22-2} is taken as 22, and two day
 * fields are joined by "and". So days and times are matched here, from the library's tree.
 */
package ryemast.timetable.calendar;
