package ryemast.timetable.calendar;

import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;

/** One place of an expression: what it holds, and what may stand there. */
enum Field {

    SECOND("second", 0, 59, List.of(), ""),
    MINUTE("minute", 0, 59, List.of(), ""),
    HOUR("hour", 0, 23, List.of(), ""),
    DAY_OF_MONTH("day of month", 1, 31, List.of(),
            ", L (the last), L-3, LW, 15W (the working day nearest to 15)"),
    MONTH("month", 1, 12, List.of("JAN", "FEB", "MAR", "APR", "MAY", "JUN", "JUL", "AUG", "SEP", "OCT", "NOV",
            "DEC"), ""),
    /** 7 is Sunday too, as in most crons; the week is taken as 0 to 6. */
    DAY_OF_WEEK("day of week", 0, 6, List.of("SUN", "MON", "TUE", "WED", "THU", "FRI", "SAT"),
            ", 5L (the last Friday), 1#2 (the second Monday)");

    /** Days that every month has; H without a range stays below it, so that no month is left out. */
    private static final int LAST_OF_EVERY_MONTH = 28;

    final String label;
    final int least;
    final int most;
    private final List<String> names;
    private final Pattern named;
    private final String more;

    Field(String label, int least, int most, List<String> names, String more) {
        this.label = label;
        this.least = least;
        this.most = most;
        this.names = names;
        named = names.isEmpty() ? null : Pattern.compile("(?i)(?<![A-Z])(" + String.join("|", names)
                + ")(?=L?(?![A-Z]))");
        this.more = more;
    }

    /** Values in one turn of the field. */
    int span() {
        return most - least + 1;
    }

    /** The largest number that may be written. */
    int mostWritten() {
        return this == DAY_OF_WEEK ? most + 1 : most;
    }

    /** The last value that H alone may become. */
    int mostHashed() {
        return this == DAY_OF_MONTH ? LAST_OF_EVERY_MONTH : most;
    }

    boolean isTime() {
        return this == SECOND || this == MINUTE || this == HOUR;
    }

    /** The number that a text stands for, by itself or by its name; -1 if it is none of this field's. */
    int number(String text) {
        int named = names.indexOf(text.toUpperCase(Locale.ROOT));
        if (named >= 0) {
            return named + least;
        }
        if (!text.matches("[0-9]{1,2}")) {
            return -1;
        }
        int found = Integer.parseInt(text);
        return found >= least && found <= mostWritten() ? found : -1;
    }

    /** A text with numbers for names, which the library does not know everywhere: not in FRIL in a list. */
    String numbered(String text) {
        return named == null ? text : named.matcher(text).replaceAll(found -> "" + number(found.group()));
    }

    /** What may stand in the field, in the words of a message. */
    String expected() {
        var low = Integer.toString(least);
        var range = names.isEmpty() ? low + " to " + mostWritten()
                : low + " to " + mostWritten() + " or " + names.get(0) + " to " + names.get(names.size() - 1);
        return range + ", *, lists (1,5), ranges (1-5), steps (*/5 or 1-9/2)" + more + ", H or H(1-5)"
                + (isTime() ? ", 1~5" : "");
    }
}
