package ryemast.log;

import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.logging.Filter;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import ryemast.core.Note;

/**
 * Bounds long runs of lines of one kind, so that a fault that repeats itself a thousand times a second
 * neither hides the others nor costs the dispatcher its processor. Of a kind (one logger, one level, one
 * template of a {@link Note}, or else one text) the first few in a window are let through; how many were held
 * back is said before the first line, of whatever kind, that comes after the window's end, and at the
 * program's end. The time is the lines' own: there is no thread and no clock here. Safe for many threads.
 */
public final class Repeats implements Filter {

    /** Texts that differ each time would otherwise fill the memory: the kind unheard for longest goes. */
    private static final int MOST_KINDS = 256;

    private final int limit;
    private final long window;
    private final Consumer<LogRecord> out;
    private final Map<Kind, Run> runs = new LinkedHashMap<>(16, 0.75f, true);
    /** No window ends before this one; so that a line costs no look at all the runs. */
    private long nextEnd = Long.MAX_VALUE;
    /** What the filter says itself comes by here, too, on the thread that holds it. */
    private boolean saying;

    /** No record: making the code that compares records would cost every start some milliseconds. */
    private static final class Kind {
        private final String logger;
        private final Level level;
        private final String text;

        Kind(LogRecord record) {
            logger = record.getLoggerName();
            level = record.getLevel();
            text = record instanceof Note note ? note.template() : record.getMessage();
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof Kind kind && level == kind.level && Objects.equals(text, kind.text)
                    && Objects.equals(logger, kind.logger);
        }

        @Override
        public int hashCode() {
            return Objects.hashCode(text);
        }
    }

    private static final class Run {
        private final long began;
        private int seen;
        private long last;

        Run(long began) {
            this.began = began;
        }
    }

    /**
     * @param limit   how many lines of a kind are let through in a window
     * @param window  how long that is, in milliseconds
     * @param out     where the word of those held back goes
     */
    public Repeats(int limit, long window, Consumer<LogRecord> out) {
        this.limit = limit;
        this.window = window;
        this.out = out;
    }

    @Override
    public synchronized boolean isLoggable(LogRecord record) {
        if (saying) {
            return true;
        }
        long now = record.getMillis();
        if (now >= nextEnd) {
            endWindows(now);
        }
        var kind = new Kind(record);
        var run = runs.get(kind);
        // A system's clock may be set back: a window must not last until it has caught up.
        if (run == null || run.began - now > window) {
            if (run != null) {
                tell(kind, run);
            }
            run = new Run(now);
            runs.put(kind, run);
        }
        nextEnd = Math.min(nextEnd, run.began + window);
        run.last = now;
        run.seen++;
        if (runs.size() > MOST_KINDS) {
            var oldest = runs.entrySet().iterator().next();
            runs.remove(oldest.getKey());
            tell(oldest.getKey(), oldest.getValue());
        }
        return run.seen <= limit;
    }

    /** Says what is still unsaid; to be called when the program ends. */
    public synchronized void end() {
        endWindows(Long.MAX_VALUE);
    }

    private void endWindows(long now) {
        List<Map.Entry<Kind, Run>> over = new ArrayList<>();
        nextEnd = Long.MAX_VALUE;
        for (var each : runs.entrySet()) {
            long end = each.getValue().began + window;
            if (now >= end) {
                over.add(Map.entry(each.getKey(), each.getValue()));
            } else {
                nextEnd = Math.min(nextEnd, end);
            }
        }
        over.forEach(each -> runs.remove(each.getKey()));
        over.forEach(each -> tell(each.getKey(), each.getValue()));
    }

    private void tell(Kind kind, Run run) {
        int held = run.seen - limit;
        if (held > 0) {
            var word = Note.of(kind.logger, kind.level,
                    "held back {held} more such lines in {within_ms} ms: {kind}",
                    "held", held, "within_ms", run.last - run.began, "kind", kind.text);
            word.setInstant(Instant.ofEpochMilli(run.last));
            saying = true;
            try {
                out.accept(word);
            } finally {
                saying = false;
            }
        }
    }
}
