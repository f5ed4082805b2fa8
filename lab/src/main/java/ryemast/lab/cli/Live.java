package ryemast.lab.cli;

import java.io.PrintStream;
import java.time.Duration;
import me.tongfei.progressbar.ProgressBar;
import me.tongfei.progressbar.ProgressBarBuilder;
import me.tongfei.progressbar.ProgressBarStyle;

/**
 * Shows how far a run has come: a bar on a terminal, a plain line every few seconds elsewhere, nothing if
 * quiet. It writes to standard error, so that standard output holds results alone.
 */
final class Live implements AutoCloseable {

    private static final long LINE_EVERY = Duration.ofSeconds(5).toNanos();
    private static final int REFRESH_MS = 200;
    private static final long PERCENT = 100;

    private final PrintStream out;
    private final String what;
    private final ProgressBar bar;
    private final boolean quiet;
    private long lineAt;

    Live(String what, boolean quiet) {
        this(what, quiet, System.console() != null, System.err);
    }

    Live(String what, boolean quiet, boolean terminal, PrintStream out) {
        this.what = what;
        this.quiet = quiet;
        this.out = out;
        bar = quiet || !terminal ? null : new ProgressBarBuilder().setTaskName(what).setInitialMax(PERCENT)
                .setStyle(ProgressBarStyle.ASCII).setUpdateIntervalMillis(REFRESH_MS).hideEta().build();
        lineAt = System.nanoTime() + LINE_EVERY;
    }

    /** {@code share}: of the run that is over; {@code words}: what it looks like. */
    void at(double share, String words) {
        long percent = Math.round(PERCENT * Math.max(0, Math.min(1, share)));
        if (bar != null) {
            bar.stepTo(percent);
            bar.setExtraMessage(words);
        } else if (!quiet && System.nanoTime() >= lineAt) {
            lineAt = System.nanoTime() + LINE_EVERY;
            out.println(what + ": " + percent + "%, " + words);
        }
    }

    /** A line that stays, whatever the progress looks like. */
    void say(String line) {
        if (quiet) {
            return;
        }
        if (bar != null) {
            // Clears the bar's line; the bar draws itself anew.
            out.print("\r\033[K");
        }
        out.println(line);
    }

    @Override
    public void close() {
        if (bar != null) {
            bar.close();
        }
    }
}
