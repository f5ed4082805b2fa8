package ryemast.timetable.calendar;

import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * When one entry fires. A fire has a nominal time, which names it, and a moment, at which it is due: later by
 * what is drawn for it, which entry, nominal time and seed alone decide. No fire overtakes another: its
 * moment is before the nominal time of the next, and so before the next one's moment. Immutable.
 */
public final class Schedule {

    /** What does not fire for so long does not fire any more; some leap days are eight years apart. */
    public static final Duration HORIZON = Duration.ofDays(30 * 366);

    private static final long MILLIS = 1_000;
    private static final String JITTER = "jitter";
    /** Where an entry says no beginning, it is asked from here on whether it fires at all. */
    private static final Instant SOME_TIME = Instant.parse("2024-01-01T00:00:00Z");

    private final String entry;
    private final long seed;
    private final Expression expression;
    private final ZoneId zone;
    private final Occurrences occurrences;
    private final DaysOff daysOff;
    private final Duration jitter;
    private final Instant from;
    private final Instant until;

    private Schedule(String entry, long seed, Expression expression, ZoneId zone, DaysOff daysOff,
            Duration jitter, Instant from, Instant until) {
        this.entry = entry;
        this.seed = seed;
        this.expression = expression;
        this.zone = zone;
        occurrences = new Occurrences(expression, zone.getRules());
        this.daysOff = daysOff;
        this.jitter = jitter;
        this.from = from;
        this.until = until;
    }

    /**
     * A schedule for ever, with no days off and no jitter.
     *
     * @param entry  its name: what H is spread by and draws are drawn for
     * @param seed   the fleet's, for draws
     */
    public static Schedule parse(String expression, ZoneId zone, String entry, long seed)
            throws FaultyExpressionException {
        return new Schedule(entry, seed, Dialect.read(expression, entry), zone, DaysOff.NONE, Duration.ZERO,
                Instant.MIN, Instant.MAX);
    }

    /** The same with moments later by a drawn part of {@code most}, in milliseconds. */
    public Schedule jittered(Duration most) {
        return new Schedule(entry, seed, expression, zone, daysOff, most, from, until);
    }

    /** The same but for these days, by the date of the nominal time in the schedule's zone. */
    public Schedule without(DaysOff off) {
        return new Schedule(entry, seed, expression, zone, off, jitter, from, until);
    }

    /** The same for nominal times from the first instant on and before the second. */
    public Schedule within(Instant first, Instant end) {
        return new Schedule(entry, seed, expression, zone, daysOff, jitter, first, end);
    }

    public ZoneId zone() {
        return zone;
    }

    /** Whether there is any fire at all within {@link #HORIZON} of its beginning. */
    public boolean fires() {
        var begin = from.equals(Instant.MIN) ? SOME_TIME : from;
        return next((until.isBefore(begin) ? until.minus(HORIZON) : begin).minusNanos(1)).isPresent();
    }

    /** The first nominal time after an instant; none if there is none within {@link #HORIZON}. */
    public Optional<Instant> next(Instant after) {
        var earliest = after.isBefore(from) ? from.minusNanos(1) : after;
        if (!earliest.isBefore(until)) {
            return Optional.empty();
        }
        long second = earliest.getEpochSecond() + 1;
        long horizon = second + HORIZON.getSeconds();
        while (true) {
            second = occurrences.next(second, horizon);
            if (second == Expression.NONE || !Instant.ofEpochSecond(second).isBefore(until)) {
                return Optional.empty();
            }
            var date = Instant.ofEpochSecond(second).atZone(zone).toLocalDate();
            var open = daysOff.open(date);
            if (open.equals(date)) {
                return Optional.of(Instant.ofEpochSecond(second));
            }
            // A fire that stands for a skipped one is at the very beginning of its day at the earliest.
            second = Math.max(second + 1, open.atStartOfDay(zone).toEpochSecond());
        }
    }

    /**
     * When the fire of a nominal time is due. Draws that reach up to the next nominal time or beyond it are
     * shrunk in proportion to the time there is; days off do not lengthen that time, so that other days off
     * change no moment.
     */
    public Instant moment(Instant nominal) {
        long second = nominal.getEpochSecond();
        long local = occurrences.local(second);
        long reach = expression.reach(local) * MILLIS + jitter.toMillis();
        if (reach == 0) {
            return nominal;
        }
        long drawn = expression.drawn(local, entry, seed, second) * MILLIS
                + Draws.below(jitter.toMillis() + 1, JITTER, entry, seed, second);
        long next = occurrences.next(second + 1, second + 1 + reach / MILLIS + 1);
        long room = next == Expression.NONE ? Long.MAX_VALUE : (next - second) * MILLIS;
        return nominal.plusMillis(room > reach ? drawn : drawn * room / (reach + 1));
    }

    /** The first nominal times after one instant and up to another, {@code most} at most, in their order. */
    public List<Instant> between(Instant after, Instant upTo, int most) {
        var found = new ArrayList<Instant>();
        var next = next(after);
        while (found.size() < most && next.isPresent() && !next.get().isAfter(upTo)) {
            found.add(next.get());
            next = next(next.get());
        }
        return found;
    }

    /**
     * The last nominal times after one instant and up to another, {@code most} at most, in their order: what
     * is left to do after a long silence. Looks back over twice the time at each step, so that its cost goes
     * by what it finds and not by how long the silence was.
     */
    public List<Instant> latest(Instant after, Instant upTo, int most) {
        var span = Duration.ofHours(1);
        var found = new ArrayDeque<Instant>();
        while (true) {
            var whole = !upTo.minus(span).isAfter(after);
            var next = next(whole ? after : upTo.minus(span));
            found.clear();
            while (next.isPresent() && !next.get().isAfter(upTo)) {
                found.add(next.get());
                if (found.size() > most) {
                    found.remove();
                }
                next = next(next.get());
            }
            if (whole || found.size() >= most) {
                return List.copyOf(found);
            }
            span = span.multipliedBy(2);
        }
    }
}
