package ryemast.lab.fleet;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.Set;
import ryemast.lab.scenario.Scenario;

/**
 * One trial for one run, with all that is drawn from its seed.
 *
 * @param call       the trial as it was named, for the line that plays it again
 * @param operator   further lines of each process's operator file, with {@code {agent}}, {@code {name}},
 *                   {@code {disk}}, {@code {timetable}} and {@code {reservations}} for its own
 * @param timetable  the text of the timetable's file; empty: there is none
 * @param patience   how long a process and the agent must be well for a fire to be owed its end
 * @param leans      the part of the clients' connections that go to one process as long as it is up
 */
public record Trial(String call, long seed, Scenario scenario, Plan plan, String operator, String timetable,
        List<Entry> entries, long patience, Reserved reserved, double leans) {

    /** Without reservations. */
    Trial(String call, long seed, Scenario scenario, Plan plan, String operator, String timetable,
            List<Entry> entries, long patience) {
        this(call, seed, scenario, plan, operator, timetable, entries, patience, Reserved.NONE, 0);
    }

    /**
     * What the books know of reservations.
     *
     * @param text     of the reservations file, without its windows; empty: there is none
     * @param slack    so many microseconds' work may be begun ahead of a reservation
     * @param settled  for so long nothing must have struck or changed for a reservation to be owed
     * @param window   over so long it is owed
     * @param less     less this part of it
     * @param acts     for so long a member may act by a page of the book that another one has replaced
     * @param late     so much later than what it follows the book may be, whoever has to keep it meanwhile
     * @param weight   the work a second that a worker of weight 1 clears, in microseconds
     */
    public record Reserved(String text, List<Service> services, double slack, long settled, long window,
            double less, long acts, long late, double weight) {

        static final Reserved NONE = new Reserved("", List.of(), 0, 0, 1, 0, 0, 0, 1);

        /** With the windows, which are counted from that moment. */
        String text(Instant began) {
            var all = text;
            for (var each : services) {
                all = all.replace(each.mark(), each.always() ? "" : "zone = \"UTC\"\nfrom = "
                        + began.plus(each.from, ChronoUnit.MICROS) + "\nuntil = "
                        + began.plus(each.until, ChronoUnit.MICROS) + "\n");
            }
            return all;
        }
    }

    /**
     * A tenant's jobs of some classes.
     *
     * @param classes    their numbers; empty: all
     * @param perSecond  work, in microseconds
     * @param rank       the lowest yields first
     * @param from       of its window, in microseconds since {@link FleetBooks#origin}
     * @param until      of its window; 0: it has none
     */
    public record Service(String name, int tenant, Set<Integer> classes, double perSecond, boolean capped,
            int rank, long from, long until) {

        boolean always() {
            return until == 0;
        }

        /** Stands in the file for what is known at its writing only. */
        String mark() {
            return "{window of " + name + "}\n";
        }

        boolean covers(int otherTenant, int jobClass) {
            return tenant == otherTenant && (classes.isEmpty() || classes.contains(jobClass));
        }
    }

    /**
     * What the books know of one of the timetable's entries; its nominal times are the whole multiples of
     * {@code every} in Unix time, and {@code phase} more.
     *
     * @param jobClass  its number
     * @param once      whether a fire must not run twice
     * @param work      of each fire, in microseconds on a core of speed 1
     * @param every     in microseconds, as is {@code jitter}, by which a fire may be later than its time
     * @param seed      the timetable's, for jitter
     * @param skips     whether fires that were missed are let go
     */
    public record Entry(String name, String path, int jobClass, boolean once, double work, long every,
            long phase, long jitter, long seed, boolean skips) {

        /** Its first nominal time after that one. */
        long next(long after) {
            return (Math.floorDiv(after - phase, every) + 1) * every + phase;
        }

        /** When the fire of a nominal time is due; the jitter ends before the next one. */
        long moment(long nominal) {
            return jitter == 0 ? nominal : nominal + Jitter.drawn(name, seed, nominal, jitter);
        }
    }
}
