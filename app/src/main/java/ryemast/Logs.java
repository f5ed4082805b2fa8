package ryemast;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import ryemast.log.JsonLines;
import ryemast.log.LogTuning;
import ryemast.log.Repeats;

/** The log: one line a record, on standard error; in text unless an operator wants JSON. */
final class Logs {

    /** Held here, as a logger that nobody holds forgets its level. */
    private static final Logger MINA = Logger.getLogger("org.apache.mina");
    private static final Logger OWN = Logger.getLogger("ryemast");
    private static final List<Repeats> REPEATS = new ArrayList<>();

    private Logs() {
    }

    static void setUp(LogTuning tuning) {
        System.setProperty("java.util.logging.SimpleFormatter.format",
                "%1$tF %1$tT.%1$tL %4$s %3$s: %5$s%6$s%n");
        MINA.setLevel(Level.WARNING);
        for (var handler : Logger.getLogger("").getHandlers()) {
            if (tuning.json()) {
                handler.setFormatter(new JsonLines());
            }
            if (tuning.level() != Level.INFO) {
                handler.setLevel(tuning.level());
                OWN.setLevel(tuning.level());
            }
            if (tuning.repeatLimit() > 0) {
                var repeats = new Repeats(tuning.repeatLimit(), tuning.repeatWindow(), handler::publish);
                handler.setFilter(repeats);
                REPEATS.add(repeats);
            }
        }
    }

    /** Says what was held back and not said yet. */
    static void end() {
        REPEATS.forEach(Repeats::end);
    }
}
