package ryemast.core;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * A line of the log whose figures are also to be had one by one, so that a form of the log for machines need
 * not take a text apart again, and so that lines that differ in their figures only are known to be alike.
 * Its text is a template: <code>{worker}</code> stands for the field of that name.
 */
public final class Note extends LogRecord {

    private static final long serialVersionUID = 1L;

    private final String template;
    private final transient Map<String, Object> fields;

    private Note(String logger, Level level, String template, Map<String, Object> fields) {
        super(level, filled(template, fields));
        this.template = template;
        this.fields = fields;
        setLoggerName(logger);
    }

    /** One to be written by other means than a logger's. */
    public static Note of(String logger, Level level, String template, Object... named) {
        var fields = new LinkedHashMap<String, Object>();
        for (int i = 0; i + 1 < named.length; i += 2) {
            fields.put((String) named[i], named[i + 1]);
        }
        return new Note(logger, level, template, Collections.unmodifiableMap(fields));
    }

    /** {@code named}: a field's name, its value, the next one's name and so on. */
    public static void info(Logger logger, String template, Object... named) {
        log(logger, Level.INFO, null, template, named);
    }

    public static void warning(Logger logger, String template, Object... named) {
        log(logger, Level.WARNING, null, template, named);
    }

    /** {@code thrown} may be null. */
    public static void log(Logger logger, Level level, Throwable thrown, String template, Object... named) {
        if (logger.isLoggable(level)) {
            var note = of(logger.getName(), level, template, named);
            note.setThrown(thrown);
            logger.log(note);
        }
    }

    /** What lines of this kind have in common. */
    public String template() {
        return template;
    }

    /** By name, in the order given; a value may be null. */
    public Map<String, Object> fields() {
        return fields;
    }

    /** One pass, so that a value with braces in it, as a client may choose one, stays as it is. */
    private static String filled(String template, Map<String, Object> fields) {
        var text = new StringBuilder();
        int from = 0;
        while (true) {
            int open = template.indexOf('{', from);
            int close = open < 0 ? -1 : template.indexOf('}', open);
            if (close < 0) {
                return text.append(template, from, template.length()).toString();
            }
            text.append(template, from, open).append(fields.get(template.substring(open + 1, close)));
            from = close + 1;
        }
    }
}
