package ryemast.timetable.calendar;

import com.cronutils.model.Cron;
import com.cronutils.model.definition.CronDefinition;
import com.cronutils.model.definition.CronDefinitionBuilder;
import com.cronutils.model.field.CronFieldName;
import com.cronutils.model.field.expression.FieldExpression;
import com.cronutils.parser.CronParser;
import java.time.LocalDate;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;

/**
 * Reads an expression: five fields, or six with the second first, or a nickname. What is wrong is told of the
 * field that it is wrong in, which the library does not say: each field is then read alone.
 */
final class Dialect {

    private static final String FORM = "five fields (minute, hour, day of month, month, day of week), six"
            + " with the second first, or one of @yearly, @annually, @monthly, @weekly, @daily, @midnight,"
            + " @hourly";
    private static final int FIVE = 5;
    private static final int SIX = 6;
    private static final int TIMES = 3;
    /** Of the names, as in JAN and MON. */
    private static final int NAME_LENGTH = 3;
    private static final List<CronFieldName> PLACES = List.of(CronFieldName.SECOND, CronFieldName.MINUTE,
            CronFieldName.HOUR, CronFieldName.DAY_OF_MONTH, CronFieldName.MONTH, CronFieldName.DAY_OF_WEEK);
    private static final Pattern WORD = Pattern.compile("[A-Za-z]{4,}");
    /** With it the library takes several expressions for one. */
    private static final char SEVERAL = '|';
    private static final Pattern GAP = Pattern.compile("\\s+");
    private static final Pattern BEYOND = Pattern.compile("(Value|Period) ([0-9]+) not in range");
    /** A leap year, and every day of the week falls on 29 February once in the years that follow. */
    private static final long SOME_BEGIN = LocalDate.of(2024, 1, 1).toEpochDay() * 86_400;
    private static final long SOME_END = LocalDate.of(2054, 1, 1).toEpochDay() * 86_400;

    private static final CronParser PARSER = new CronParser(definition());

    private final String[] fields;
    /** How many of the six are not written. */
    private final int left;

    private Dialect(String[] fields) {
        this.fields = fields;
        left = SIX - fields.length;
    }

    /** @param entry  the name by which H is spread */
    static Expression read(String text, String entry) throws FaultyExpressionException {
        var stripped = text.strip();
        if (stripped.startsWith("@")) {
            return nickname(stripped);
        }
        var fields = GAP.split(stripped);
        if (fields.length != FIVE && fields.length != SIX) {
            throw new FaultyExpressionException(0, "", text,
                    "it has " + (stripped.isEmpty() ? 0 : fields.length) + " fields", FORM);
        }
        return new Dialect(fields).read(entry);
    }

    private static Expression nickname(String text) throws FaultyExpressionException {
        try {
            var cron = PARSER.parse(text.toLowerCase(Locale.ROOT));
            return expression(cron, new byte[TIMES][]);
        } catch (RuntimeException e) {
            throw new FaultyExpressionException(0, "", text, "there is no such nickname", FORM);
        }
    }

    private static CronDefinition definition() {
        return CronDefinitionBuilder.defineCron()
                .withSeconds().withValidRange(Field.SECOND.least, Field.SECOND.most).and()
                .withMinutes().withValidRange(Field.MINUTE.least, Field.MINUTE.most).and()
                .withHours().withValidRange(Field.HOUR.least, Field.HOUR.most).and()
                .withDayOfMonth().withValidRange(Field.DAY_OF_MONTH.least, Field.DAY_OF_MONTH.most)
                .supportsL().supportsW().supportsLW().supportsQuestionMark().and()
                .withMonth().withValidRange(Field.MONTH.least, Field.MONTH.most).and()
                .withDayOfWeek().withValidRange(Field.DAY_OF_WEEK.least, Field.DAY_OF_WEEK.mostWritten())
                .withMondayDoWValue(1).supportsL().supportsHash().supportsQuestionMark().and()
                .withSupportedNicknameYearly().withSupportedNicknameAnnually().withSupportedNicknameMonthly()
                .withSupportedNicknameWeekly().withSupportedNicknameDaily().withSupportedNicknameMidnight()
                .withSupportedNicknameHourly().instance();
    }

    private Expression read(String entry) throws FaultyExpressionException {
        var plain = new String[SIX];
        var spreads = new Spread[SIX];
        Arrays.fill(plain, "0");
        for (int i = left; i < SIX; i++) {
            if (text(i).indexOf(SEVERAL) >= 0) {
                throw fault(i, "'" + SEVERAL + "' joins no values here", "a list with commas");
            }
            spreads[i] = Spread.of(Field.values()[i], i - left + 1, text(i), entry);
            plain[i] = Field.values()[i].numbered(spreads[i].plain());
        }
        Cron cron;
        try {
            cron = PARSER.parse(String.join(" ", plain));
        } catch (RuntimeException e) {
            // The library throws what its own code stumbles over, too.
            throw faultAmong(plain, e);
        }
        var drawn = new byte[TIMES][];
        for (int i = left; i < SIX; i++) {
            check(i, tree(cron, i), spreads[i]);
            if (i < TIMES) {
                drawn[i] = spreads[i].widths();
                checkFiner(i, cron, drawn[i]);
            }
        }
        var found = expression(cron, drawn);
        if (found.next(SOME_BEGIN, SOME_END) == Expression.NONE) {
            int day = Field.DAY_OF_MONTH.ordinal();
            throw fault(day, "no month '" + text(day + 1) + "' has such a day, so it never fires",
                    "a day that there is; L is the last");
        }
        return found;
    }

    private void check(int place, FieldExpression found, Spread spread) throws FaultyExpressionException {
        var field = Field.values()[place];
        try {
            Days.check(field, found);
            if (spread.overlaps(field, Values.of(field, found))) {
                throw fault(place, "a draw reaches over another value of the list, so that one fire might"
                        + " overtake the other", "ranges and values that do not overlap");
            }
        } catch (IllegalArgumentException e) {
            throw fault(place, e.getMessage(), field.expected());
        }
    }

    /** Several minutes of an hour that each draws for itself would overtake one another. */
    private void checkFiner(int place, Cron cron, byte[] drawn) throws FaultyExpressionException {
        for (int i = left; drawn != null && i < place; i++) {
            var finer = Field.values()[i];
            if (Long.bitCount(Values.of(finer, tree(cron, i))) > 1) {
                throw fault(place, "a drawn " + Field.values()[place].label + " with several values in '"
                        + text(i) + "' (" + finer.label + ")", "one value or one draw there");
            }
        }
    }

    private static Expression expression(Cron cron, byte[][] drawn) {
        var fields = Field.values();
        var values = new long[fields.length];
        for (int i = 0; i < fields.length; i++) {
            values[i] = Values.of(fields[i], tree(cron, i));
        }
        return new Expression(values, new Days(tree(cron, Field.DAY_OF_MONTH.ordinal()),
                tree(cron, Field.DAY_OF_WEEK.ordinal())), drawn);
    }

    private static FieldExpression tree(Cron cron, int place) {
        return cron.retrieve(PLACES.get(place)).getExpression();
    }

    private FaultyExpressionException faultAmong(String[] plain, RuntimeException whole) {
        for (int i = left; i < SIX; i++) {
            var alone = new String[SIX];
            Arrays.fill(alone, "*");
            alone[i] = plain[i];
            try {
                PARSER.parse(String.join(" ", alone));
            } catch (RuntimeException e) {
                return fault(i, e);
            }
        }
        return new FaultyExpressionException(0, "", String.join(" ", fields), reason(whole), FORM);
    }

    private FaultyExpressionException fault(int place, RuntimeException why) {
        var field = Field.values()[place];
        var word = WORD.matcher(text(place));
        while (word.find()) {
            var near = word.group().substring(0, NAME_LENGTH).toUpperCase(Locale.ROOT);
            if (field.number(near) >= 0) {
                return fault(place, "'" + word.group() + "' is no name of one", near + " perhaps");
            }
        }
        return fault(place, reason(why), field.expected());
    }

    private FaultyExpressionException fault(int place, String what, String expected) {
        return new FaultyExpressionException(place - left + 1, Field.values()[place].label, text(place), what,
                expected);
    }

    private String text(int place) {
        return fields[place - left];
    }

    /** Of the library's reasons, the one that says more than its text. */
    private static String reason(RuntimeException why) {
        var beyond = BEYOND.matcher(String.valueOf(why.getMessage()));
        return !beyond.find() ? "it can't be read" : (beyond.group(1).equals("Period") ? "a step of " : "")
                + beyond.group(2) + " is beyond the field";
    }
}
