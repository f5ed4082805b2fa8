package ryemast;

import java.util.logging.Level;
import java.util.logging.Logger;

/** The log: one line a record, on standard error. */
final class Logs {

    private Logs() {
    }

    static void setUp() {
        System.setProperty("java.util.logging.SimpleFormatter.format",
                "%1$tF %1$tT.%1$tL %4$s %3$s: %5$s%6$s%n");
        Logger.getLogger("org.apache.mina").setLevel(Level.WARNING);
    }
}
