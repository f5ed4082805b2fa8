package ryemast;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import ryemast.log.JsonLines;
import ryemast.log.LogTuning;
import ryemast.log.NoFile;
import ryemast.log.Repeats;
import ryemast.log.TextLines;
import ryemast.log.ToStandardError;

/**
 * The log: one line a record, on standard error; in text unless an operator wants JSON. Where the system
 * properties of java.util.logging name a configuration, its handlers stand in for ours.
 */
final class Logs {

    private static final String CLASS = "java.util.logging.config.class";
    private static final String FILE = "java.util.logging.config.file";
    private static final List<Repeats> REPEATS = new ArrayList<>();
    /** Held here, as a logger that nobody holds forgets its level. */
    private static final List<Logger> HELD = new ArrayList<>();

    private Logs() {
    }

    static void setUp(LogTuning tuning) {
        if (System.getProperty(CLASS) == null && System.getProperty(FILE) == null) {
            // Before the first logger is asked for: from there on it is settled.
            System.setProperty(CLASS, NoFile.class.getName());
        }
        held("org.apache.mina").setLevel(Level.WARNING);
        var root = Logger.getLogger("");
        if (root.getHandlers().length == 0) {
            root.addHandler(new ToStandardError(new TextLines()));
        }
        for (var handler : root.getHandlers()) {
            if (tuning.json()) {
                handler.setFormatter(new JsonLines());
            }
            if (tuning.level() != Level.INFO) {
                handler.setLevel(tuning.level());
                held("ryemast").setLevel(tuning.level());
            }
            if (tuning.repeatLimit() > 0) {
                var repeats = new Repeats(tuning.repeatLimit(), tuning.repeatWindow(), handler::publish);
                handler.setFilter(repeats);
                REPEATS.add(repeats);
            }
        }
    }

    private static Logger held(String name) {
        var logger = Logger.getLogger(name);
        HELD.add(logger);
        return logger;
    }

    /** Says what was held back and not said yet. */
    static void end() {
        REPEATS.forEach(Repeats::end);
    }
}
