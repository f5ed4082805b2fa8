package ryemast.timetable.calendar;

import com.cronutils.model.field.expression.FieldExpression;
import com.cronutils.model.field.expression.On;
import com.cronutils.model.field.value.SpecialChar;
import java.time.LocalDate;
import java.time.YearMonth;
import java.util.ArrayList;
import java.util.List;

/**
 * The days that an expression's two day fields name in a month. If both are restrictions, a day that either
 * names is one (POSIX, crontab); a field is a restriction unless it names all its values, as {@code *} does.
 */
final class Days {

    private static final int DAYS_A_WEEK = 7;
    private static final int MOST_WEEKS = 5;
    private static final int SATURDAY = 6;

    private final boolean byMonth;
    private final boolean byWeek;
    private final long monthDays;
    private final long weekDays;
    private final List<On> specialMonthDays;
    private final List<On> specialWeekDays;

    /** Tells of forms that the library reads and that name no day. */
    static void check(Field field, FieldExpression found) {
        for (var each : specials(found)) {
            int nth = each.getNth().getValue();
            var kind = each.getSpecialChar().getValue();
            if (field == Field.DAY_OF_MONTH && kind == SpecialChar.L && nth >= field.most) {
                throw new IllegalArgumentException("no month has a day so long before its last");
            } else if (kind == SpecialChar.HASH && (nth < 1 || nth > MOST_WEEKS)) {
                throw new IllegalArgumentException("after # stands 1 to 5");
            } else if (field == Field.DAY_OF_WEEK && each.getTime().getValue() < 0) {
                throw new IllegalArgumentException("L must say which day's last, as 5L does");
            }
        }
    }

    Days(FieldExpression month, FieldExpression week) {
        monthDays = Values.of(Field.DAY_OF_MONTH, month);
        weekDays = Values.of(Field.DAY_OF_WEEK, week);
        byMonth = Long.bitCount(monthDays) < Field.DAY_OF_MONTH.span();
        byWeek = Long.bitCount(weekDays) < Field.DAY_OF_WEEK.span();
        specialMonthDays = specials(month);
        specialWeekDays = specials(week);
    }

    private static List<On> specials(FieldExpression found) {
        var specials = new ArrayList<On>();
        for (var part : Values.parts(found)) {
            if (Values.isSpecial(part)) {
                specials.add((On) part);
            }
        }
        return List.copyOf(specials);
    }

    /** Bit d is set if day d is named. */
    long in(int year, int month) {
        int length = YearMonth.of(year, month).lengthOfMonth();
        int first = LocalDate.of(year, month, 1).getDayOfWeek().getValue() % DAYS_A_WEEK;
        long named = !byWeek ? ofMonth(length, first) : !byMonth ? ofWeek(length, first)
                : ofMonth(length, first) | ofWeek(length, first);
        return named & (2L << length) - 2;
    }

    private long ofMonth(int length, int first) {
        long bits = monthDays;
        for (var each : specialMonthDays) {
            int day = switch (each.getSpecialChar().getValue()) {
                case L -> length - Math.max(0, each.getNth().getValue());
                case LW -> workingDay(length, length, first);
                default -> workingDay(each.getTime().getValue(), length, first);
            };
            bits |= day > 0 ? 1L << day : 0;
        }
        return bits;
    }

    /** The working day nearest to a day, in the same month; 0 where the month has no such day. */
    private static int workingDay(int day, int length, int first) {
        if (day > length) {
            return 0;
        }
        return switch (dayOfWeek(day, first)) {
            case SATURDAY -> day > 1 ? day - 1 : day + 2;
            case 0 -> day < length ? day + 1 : day - 2;
            default -> day;
        };
    }

    private long ofWeek(int length, int first) {
        long bits = 0;
        for (int day = 1; day <= length; day++) {
            bits |= (weekDays >>> dayOfWeek(day, first) & 1) << day;
        }
        for (var each : specialWeekDays) {
            int earliest = 1 + Math.floorMod(each.getTime().getValue() - first, DAYS_A_WEEK);
            bits |= 1L << (each.getSpecialChar().getValue() == SpecialChar.L
                    ? earliest + (length - earliest) / DAYS_A_WEEK * DAYS_A_WEEK
                    : earliest + (each.getNth().getValue() - 1) * DAYS_A_WEEK);
        }
        return bits;
    }

    /** 0 is Sunday. */
    private static int dayOfWeek(int day, int first) {
        return (first + day - 1) % DAYS_A_WEEK;
    }
}
