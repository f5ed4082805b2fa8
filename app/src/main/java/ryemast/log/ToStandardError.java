package ryemast.log;

import java.nio.charset.StandardCharsets;
import java.util.logging.ErrorManager;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Writes each record to standard error, whole and at once, in UTF-8. Not {@link
 * java.util.logging.ConsoleHandler}, which makes the formatter that {@link TextLines} avoids before it can be
 * given another one. Safe for many threads.
 */
public final class ToStandardError extends Handler {

    public ToStandardError(Formatter formatter) {
        setFormatter(formatter);
    }

    @Override
    public void publish(LogRecord record) {
        if (!isLoggable(record)) {
            return;
        }
        byte[] line;
        try {
            line = getFormatter().format(record).getBytes(StandardCharsets.UTF_8);
        } catch (RuntimeException e) {
            // A line that can't be written must not cost its caller the step that it is in.
            reportError("a log record cannot be formatted", e, ErrorManager.FORMAT_FAILURE);
            return;
        }
        synchronized (System.err) {
            System.err.write(line, 0, line.length);
            System.err.flush();
        }
    }

    @Override
    public void flush() {
        System.err.flush();
    }

    @Override
    public void close() {
        flush();
    }
}
