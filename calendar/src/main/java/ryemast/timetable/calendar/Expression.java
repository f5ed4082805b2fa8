package ryemast.timetable.calendar;

import java.time.LocalDate;

/**
 * An expression as what it names in local time, whatever the zone. Local times are seconds since 1970 as if
 * the clock on the wall were UTC. Immutable.
 */
final class Expression {

    /** There is no such time. */
    static final long NONE = Long.MIN_VALUE;
    private static final int DAY_S = 86_400;
    private static final int HOUR_S = 3_600;
    private static final int MINUTE_S = 60;
    private static final long ALL_MINUTES = (1L << 60) - 1;
    private static final long ALL_HOURS = (1L << 24) - 1;

    private final long seconds;
    private final long minutes;
    private final long hours;
    private final long months;
    private final Days days;
    private final byte[] secondsDrawn;
    private final byte[] minutesDrawn;
    private final byte[] hoursDrawn;

    /**
     * @param values  of each field
     * @param drawn   how far draws reach in seconds, minutes and hours, null where none are
     */
    Expression(long[] values, Days days, byte[][] drawn) {
        seconds = values[0];
        minutes = values[1];
        hours = values[2];
        months = values[Field.MONTH.ordinal()];
        this.days = days;
        secondsDrawn = drawn[0];
        minutesDrawn = drawn[1];
        hoursDrawn = drawn[2];
    }

    /**
     * Whether it stands for a distance of time and not for times of the day: its hours or its minutes are
     * all that there are. It then goes by the time that passes, however the clock on the wall is set.
     */
    boolean runs() {
        return hours == ALL_HOURS || minutes == ALL_MINUTES;
    }

    /** The first time from {@code from} on and before {@code end}; {@link #NONE} if there is none. */
    long next(long from, long end) {
        long day = Math.floorDiv(from, DAY_S);
        var date = LocalDate.ofEpochDay(day);
        int year = date.getYear();
        int month = date.getMonthValue();
        long named = named(year, month);
        if ((named >>> date.getDayOfMonth() & 1) != 0) {
            int time = time(Math.floorMod(from, DAY_S));
            if (time >= 0) {
                return before(day * DAY_S + time, end);
            }
        }
        int after = date.getDayOfMonth() + 1;
        long first = day - date.getDayOfMonth() + 1;
        while (first * DAY_S < end) {
            int found = Values.atOrAfter(named, after);
            if (found > 0) {
                return before((first + found - 1) * DAY_S + time(0), end);
            }
            year += month / 12;
            month = month % 12 + 1;
            first = LocalDate.of(year, month, 1).toEpochDay();
            named = named(year, month);
            after = 1;
        }
        return NONE;
    }

    boolean has(long local) {
        return next(local, local + 1) == local;
    }

    private static long before(long found, long end) {
        return found < end ? found : NONE;
    }

    private long named(int year, int month) {
        return (months >>> month & 1) == 0 ? 0 : days.in(year, month);
    }

    /** The first time of the day from a second of the day on; -1 if it is over for the day. */
    private int time(int from) {
        int hour = from / HOUR_S;
        if ((hours >>> hour & 1) != 0) {
            int minute = from % HOUR_S / MINUTE_S;
            if ((minutes >>> minute & 1) != 0) {
                int second = Values.atOrAfter(seconds, from % MINUTE_S);
                if (second >= 0) {
                    return hour * HOUR_S + minute * MINUTE_S + second;
                }
            }
            int later = Values.atOrAfter(minutes, minute + 1);
            if (later >= 0) {
                return hour * HOUR_S + later * MINUTE_S + Values.atOrAfter(seconds, 0);
            }
        }
        int later = Values.atOrAfter(hours, hour + 1);
        return later < 0 ? -1 : later * HOUR_S + Values.atOrAfter(minutes, 0) * MINUTE_S
                + Values.atOrAfter(seconds, 0);
    }

    /** How many seconds a draw may reach beyond a time that it has; a whole number of the units drawn. */
    int reach(long local) {
        int time = Math.floorMod(local, DAY_S);
        return hour(time) * HOUR_S + minute(time) * MINUTE_S + second(time);
    }

    /** What is drawn for one fire, in seconds: 0 to the {@link #reach}. */
    int drawn(long local, String entry, long seed, long nominal) {
        int time = Math.floorMod(local, DAY_S);
        return draw(hour(time), Field.HOUR, entry, seed, nominal) * HOUR_S
                + draw(minute(time), Field.MINUTE, entry, seed, nominal) * MINUTE_S
                + draw(second(time), Field.SECOND, entry, seed, nominal);
    }

    private static int draw(int width, Field field, String entry, long seed, long nominal) {
        return width == 0 ? 0 : (int) Draws.below(width + 1, field.label, entry, seed, nominal);
    }

    private int hour(int time) {
        return hoursDrawn == null ? 0 : hoursDrawn[time / HOUR_S];
    }

    private int minute(int time) {
        return minutesDrawn == null ? 0 : minutesDrawn[time % HOUR_S / MINUTE_S];
    }

    private int second(int time) {
        return secondsDrawn == null ? 0 : secondsDrawn[time % MINUTE_S];
    }
}
