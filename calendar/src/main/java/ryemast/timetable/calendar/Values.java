package ryemast.timetable.calendar;

import com.cronutils.model.field.expression.Always;
import com.cronutils.model.field.expression.And;
import com.cronutils.model.field.expression.Between;
import com.cronutils.model.field.expression.Every;
import com.cronutils.model.field.expression.FieldExpression;
import com.cronutils.model.field.expression.On;
import com.cronutils.model.field.expression.QuestionMark;
import com.cronutils.model.field.value.FieldValue;
import com.cronutils.model.field.value.IntegerFieldValue;
import com.cronutils.model.field.value.SpecialChar;
import java.util.List;

/** A field's plain values out of the library's tree, as bits: bit v is set if the field holds v. */
final class Values {

    private Values() {
    }

    /** The parts of a list; the expression itself if it is none. */
    static List<FieldExpression> parts(FieldExpression found) {
        return found instanceof And list ? list.getExpressions() : List.of(found);
    }

    private static boolean isAny(FieldExpression found) {
        return found instanceof Always || found instanceof QuestionMark;
    }

    /** Whether it stands for a day that only the month's calendar tells: L, W, #. */
    static boolean isSpecial(FieldExpression part) {
        return part instanceof On on && on.getSpecialChar().getValue() != SpecialChar.NONE;
    }

    /** All plain values of a list; 0 if there are none. */
    static long of(Field field, FieldExpression found) {
        long bits = 0;
        for (var part : parts(found)) {
            bits |= isSpecial(part) ? 0 : part(field, part, 0);
        }
        return bits;
    }

    /**
     * A range that ends before it begins goes on past the field's end: 22-2 is 22, 23, 0, 1, 2, and FRI-MON
     * four days. For days of the month, that end is 31 whatever the month.
     *
     * @param step  0 for none, where a single value is that value alone
     */
    private static long part(Field field, FieldExpression part, int step) {
        if (isAny(part)) {
            return bits(field, field.least, field.most, step);
        } else if (part instanceof Every every) {
            return part(field, every.getExpression(), every.getPeriod().getValue());
        } else if (part instanceof On on) {
            int value = within(field, on.getTime().getValue());
            return bits(field, value, step == 0 ? value : field.most, step);
        } else if (part instanceof Between between) {
            int from = number(between.getFrom());
            int to = number(between.getTo());
            return bits(field, from, to < from ? to + field.span() : to, step);
        }
        throw new IllegalArgumentException("this can't be read");
    }

    private static int number(FieldValue<?> value) {
        if (value instanceof IntegerFieldValue number) {
            return number.getValue();
        }
        throw new IllegalArgumentException("a range has numbers or names at both ends");
    }

    private static long bits(Field field, int from, int to, int step) {
        long bits = 0;
        for (int value = from; value <= to; value += Math.max(1, step)) {
            bits |= 1L << within(field, value);
        }
        return bits;
    }

    private static int within(Field field, int value) {
        return (value - field.least) % field.span() + field.least;
    }

    /** The least value from {@code least} on; -1 if there is none. */
    static int atOrAfter(long bits, int least) {
        long rest = least > 63 ? 0 : bits >>> least;
        return rest == 0 ? -1 : least + Long.numberOfTrailingZeros(rest);
    }
}
