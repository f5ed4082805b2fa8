package ryemast.log;

import com.google.gson.stream.JsonWriter;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;
import ryemast.core.Note;

/**
 * The log for machines: each line is one JSON object, whatever its message holds. It has {@code time} (UTC,
 * ISO 8601 with milliseconds), {@code level}, {@code part} (who says it), {@code message}, the fields of a
 * {@link Note} under their own names, and {@code exception}, a stack trace, where there is one.
 */
public final class JsonLines extends Formatter {

    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.SSS'Z'").withZone(ZoneOffset.UTC);
    private static final String OWN = "ryemast.";

    @Override
    public String format(LogRecord record) {
        var line = new StringWriter();
        // Not Gson.toJson: a stream needs no reflection, and the order of the fields is this one.
        try (var json = new JsonWriter(line)) {
            json.beginObject();
            json.name("time").value(TIME.format(record.getInstant()));
            json.name("level").value(record.getLevel().getName());
            json.name("part").value(part(record.getLoggerName()));
            json.name("message").value(formatMessage(record));
            if (record instanceof Note note) {
                for (var field : note.fields().entrySet()) {
                    if (field.getValue() != null) {
                        write(json.name(field.getKey()), field.getValue());
                    }
                }
            }
            if (record.getThrown() != null) {
                json.name("exception").value(trace(record.getThrown()));
            }
            json.endObject();
        } catch (IOException e) {
            throw new UncheckedIOException("a writer in memory failed", e);
        }
        return line.append('\n').toString();
    }

    private static void write(JsonWriter json, Object value) throws IOException {
        if (value instanceof Boolean flag) {
            json.value(flag);
        } else if (value instanceof Number number && Double.isFinite(number.doubleValue())) {
            json.value(number);
        } else {
            json.value(value.toString());
        }
    }

    private static String part(String logger) {
        if (logger == null) {
            return "";
        }
        return logger.startsWith(OWN) ? logger.substring(OWN.length()) : logger;
    }

    private static String trace(Throwable thrown) {
        var text = new StringWriter();
        thrown.printStackTrace(new PrintWriter(text, true));
        return text.toString();
    }
}
