package ryemast.timetable.calendar;

import java.time.DayOfWeek;
import java.time.Duration;
import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Times of some weekdays in a zone, between two instants. Guarantees that its spans are in order, don't meet,
 * and are the same whoever asks for them. A time that a zone's clocks skip counts as so much later, one that
 * comes twice as its first, as {@link java.time.ZonedDateTime#of} has it. Immutable.
 *
 * @param days  on which it begins
 * @param from  {@code until} at or before it is a time of the next day
 */
public record Window(Set<DayOfWeek> days, LocalTime from, LocalTime until, ZoneId zone, Instant since,
        Instant before) {

    /** No window is longer than a day, and no zone's clocks are set by as much. */
    private static final int DAYS_BACK = 2;

    /** @param until  is no part of it */
    public record Span(Instant from, Instant until) {
    }

    public Window {
        days = Set.copyOf(days);
    }

    /** Its spans of which some part lies between the two times. */
    public List<Span> spans(Instant first, Instant last) {
        var found = new ArrayList<Span>();
        var end = LocalDate.ofInstant(last, zone);
        for (var day = LocalDate.ofInstant(first, zone).minusDays(DAYS_BACK); !day.isAfter(end);
                day = day.plusDays(1)) {
            if (days.contains(day.getDayOfWeek())) {
                var span = on(day, found.isEmpty() ? Instant.MIN : found.get(found.size() - 1).until);
                if (span.from.isBefore(span.until) && span.from.isBefore(last) && span.until.isAfter(first)) {
                    found.add(span);
                }
            }
        }
        return found;
    }

    /** The first span that ends after a time; null if there is none within so long. */
    public Span next(Instant at, Duration within) {
        var begin = at.isBefore(since) ? since : at;
        var found = spans(begin, begin.plus(within));
        return found.isEmpty() ? null : found.get(0);
    }

    private Span on(LocalDate day, Instant after) {
        var begin = later(later(day.atTime(from).atZone(zone).toInstant(), since), after);
        var end = (until.isAfter(from) ? day : day.plusDays(1)).atTime(until).atZone(zone).toInstant();
        return new Span(begin, end.isBefore(before) ? end : before);
    }

    private static Instant later(Instant one, Instant other) {
        return one.isBefore(other) ? other : one;
    }
}
