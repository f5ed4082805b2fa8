package ryemast.log;

import java.util.logging.Level;

/**
 * How the log is written.
 *
 * @param json          in lines of JSON, rather than of text
 * @param level         the least grave lines that are written
 * @param repeatLimit   so many lines of a kind are written within a window; 0 for all of them
 * @param repeatWindow  how long a window is, in milliseconds
 */
public record LogTuning(boolean json, Level level, int repeatLimit, long repeatWindow) {

    public static final LogTuning DEFAULT = new LogTuning(false, Level.INFO, 100, 10_000);
}
