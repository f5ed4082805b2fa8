package ryemast.toml;

import java.util.List;
import java.util.stream.Collectors;
import org.tomlj.Toml;
import org.tomlj.TomlArray;

/** Values and ranges as the messages say them. */
final class Values {

    /** The longest text that a message holds as a whole. */
    static final int LONGEST = 60;
    /** Beyond this, a double's whole numbers have gaps, and its digits would say too much. */
    private static final double LAST_WHOLE = 1e15;

    private Values() {
    }

    /** What a value is, as in "is 7, a whole number". */
    static String said(Object value) {
        if (value instanceof String text) {
            return "is the text " + quoted(text);
        } else if (value instanceof Long) {
            return "is the whole number " + value;
        } else if (value instanceof Double number) {
            return "is " + (number.isNaN() ? "nan" : number.isInfinite() ? number > 0 ? "inf" : "-inf"
                    : "the number " + number);
        } else if (value instanceof Boolean) {
            return "is " + value;
        } else if (value instanceof TomlArray array) {
            return "is an array of " + array.size();
        } else if (value instanceof org.tomlj.TomlTable) {
            return "is a table";
        }
        return "is the date or time " + value;
    }

    static String quoted(String text) {
        var shown = text.length() > LONGEST ? text.substring(0, LONGEST) + "..." : text;
        return "\"" + Toml.tomlEscape(shown) + "\"";
    }

    /** The number, if it is one and finite. */
    static Double finite(Object value) {
        if (value instanceof Long whole) {
            return whole.doubleValue();
        }
        return value instanceof Double number && Double.isFinite(number) ? number : null;
    }

    static String oneOf(List<String> words) {
        return words.stream().map(Values::quoted).collect(Collectors.joining(" or "));
    }

    static String between(long least, long most) {
        if (most == Long.MAX_VALUE) {
            return least == Long.MIN_VALUE ? "of any size" : "of at least " + least;
        }
        return least == Long.MIN_VALUE ? "of at most " + most : "from " + least + " to " + most;
    }

    static String between(double least, double most) {
        boolean bottomless = least <= -Double.MAX_VALUE;
        if (most >= Double.MAX_VALUE) {
            return bottomless ? "of any size" : "of at least " + plain(least);
        }
        return bottomless ? "of at most " + plain(most) : "from " + plain(least) + " to " + plain(most);
    }

    static String plain(double number) {
        return number == Math.rint(number) && Math.abs(number) < LAST_WHOLE ? Long.toString((long) number)
                : Double.toString(number);
    }
}
