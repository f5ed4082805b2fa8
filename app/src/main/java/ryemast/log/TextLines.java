package ryemast.log;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * The log for people: a line has the time here, with milliseconds, the level, who says it and what; a stack
 * trace follows where there is one. Not {@link java.util.logging.SimpleFormatter}, which looks like it: that
 * one tries its pattern out as it is made, and the locale's numbers and dates which that loads took a third
 * of a start's processor time (50 of 150 ms).
 */
public final class TextLines extends Formatter {

    private static final int DATE_AND_TIME = "2026-01-01 00:00:00.000 ".length();

    @Override
    public String format(LogRecord record) {
        var message = formatMessage(record);
        var line = new StringBuilder(DATE_AND_TIME + message.length() + 64);
        time(line, LocalDateTime.ofInstant(record.getInstant(), ZoneId.systemDefault()));
        line.append(' ').append(record.getLevel().getName()).append(' ').append(record.getLoggerName())
                .append(": ").append(message);
        if (record.getThrown() != null) {
            var trace = new StringWriter();
            trace.append(System.lineSeparator());
            record.getThrown().printStackTrace(new PrintWriter(trace, true));
            line.append(trace);
        }
        return line.append(System.lineSeparator()).toString();
    }

    private static void time(StringBuilder line, LocalDateTime at) {
        digits(line, at.getYear(), 1000);
        digits(line.append('-'), at.getMonthValue(), 10);
        digits(line.append('-'), at.getDayOfMonth(), 10);
        digits(line.append(' '), at.getHour(), 10);
        digits(line.append(':'), at.getMinute(), 10);
        digits(line.append(':'), at.getSecond(), 10);
        digits(line.append('.'), at.getNano() / 1_000_000, 100);
    }

    /** With zeros ahead; {@code unit}: that of the first digit. */
    private static void digits(StringBuilder line, int number, int unit) {
        for (int each = unit; each > 0; each /= 10) {
            line.append((char) ('0' + number / each % 10));
        }
    }
}
