package ryemast.timetable.calendar;

import java.time.Instant;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.time.zone.ZoneOffsetTransition;
import java.time.zone.ZoneRules;

/**
 * An expression's fires as real times, the clock changes of its zone included. Between two changes, local and
 * real time differ by a constant, so the search goes from one change to the next.
 *
 * <p>Where the clock jumps ahead, an expression of fixed times fires once at the first moment after the jump
 * for all that it names in the skipped time. Where the clock is set back, what it names in the doubled time
 * is fired the first time round. An expression that {@link Expression#runs runs} fires in each real hour and
 * in no skipped one (Vixie's cron draws the same line).
 */
final class Occurrences {

    private static final ZoneOffset AS_IF_UTC = ZoneOffset.UTC;

    private final Expression expression;
    private final ZoneRules rules;

    Occurrences(Expression expression, ZoneRules rules) {
        this.expression = expression;
        this.rules = rules;
    }

    /** The first fire from a second on and before {@code end}; {@link Expression#NONE} if there is none. */
    long next(long from, long end) {
        long second = from;
        while (second < end) {
            var at = Instant.ofEpochSecond(second);
            long offset = rules.getOffset(at).getTotalSeconds();
            long local = second + offset;
            if (!expression.runs()) {
                var last = lastChange(second);
                if (last != null && last.isGap() && last.toEpochSecond() == second
                        && skipped(last) != Expression.NONE) {
                    return second;
                }
                if (last != null && last.isOverlap()) {
                    local = Math.max(local, local(last.getDateTimeBefore()));
                }
            }
            var change = rules.nextTransition(at);
            long until = change == null ? end : Math.min(end, change.toEpochSecond());
            long found = expression.next(local, until + offset);
            if (found != Expression.NONE) {
                return found - offset;
            }
            second = until;
        }
        return Expression.NONE;
    }

    /**
     * The local time that an expression names for a fire: that of the clock, or the first one skipped where
     * the fire stands for skipped ones. That of the clock, too, for a time that is no fire at all.
     */
    long local(long fire) {
        long local = fire + rules.getOffset(Instant.ofEpochSecond(fire)).getTotalSeconds();
        var last = expression.has(local) ? null : lastChange(fire);
        long skipped = last == null || !last.isGap() || last.toEpochSecond() != fire ? Expression.NONE
                : skipped(last);
        return skipped == Expression.NONE ? local : skipped;
    }

    /** The last change of the clock at or before a second; null if there is none. */
    private ZoneOffsetTransition lastChange(long second) {
        return rules.previousTransition(Instant.ofEpochSecond(second + 1));
    }

    private long skipped(ZoneOffsetTransition gap) {
        return expression.next(local(gap.getDateTimeBefore()), local(gap.getDateTimeAfter()));
    }

    private static long local(LocalDateTime time) {
        return time.toEpochSecond(AS_IF_UTC);
    }
}
