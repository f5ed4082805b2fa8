package ryemast.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonParser;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.logging.ErrorManager;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import ryemast.core.Note;

class LogTest {

    private static final String TEMPLATE = "{worker} answered {status} to {txn}";
    private static final long BEGIN = 1_800_000_000_123L;

    private final Logger logger = Logger.getLogger("ryemast.net.worker.Call");
    private final List<LogRecord> written = new ArrayList<>();
    private final List<String> said = new ArrayList<>();
    private final Repeats repeats = new Repeats(2, 1_000, record -> said.add(record.getMessage()));
    private final Handler handler = new Handler() {
        @Override
        public void publish(LogRecord record) {
            written.add(record);
        }

        @Override
        public void flush() {
            // It keeps all it gets.
        }

        @Override
        public void close() {
            // It holds nothing open.
        }
    };

    @BeforeEach
    void listen() {
        logger.setUseParentHandlers(false);
        logger.addHandler(handler);
    }

    @AfterEach
    void leave() {
        logger.removeHandler(handler);
        logger.setUseParentHandlers(true);
    }

    private LogRecord note(String txn) {
        Note.warning(logger, TEMPLATE, "worker", "s-1", "status", 418,
                "txn", txn);
        return written.get(written.size() - 1);
    }

    private static LogRecord at(long ms, LogRecord record) {
        record.setInstant(Instant.ofEpochMilli(BEGIN + ms));
        return record;
    }

    @Test
    void aLineOfTextIsWhatTheJdksFormatterWouldWrite() {
        var record = at(0, note("it's {0}"));
        record.setThrown(new IllegalStateException("for a reason"));
        var at = LocalDateTime.ofInstant(record.getInstant(), ZoneId.systemDefault());
        var trace = new StringWriter();
        record.getThrown().printStackTrace(new PrintWriter(trace, true));
        assertEquals(String.format(Locale.ROOT, "%tF %tT.%tL WARNING ryemast.net.worker.Call: "
                + "s-1 answered 418 to it's {0}%n%s%n", at, at, at, trace), new TextLines().format(record));
        assertTrue(new TextLines().format(at(-86_400_000L * 365 * 800, note(""))).startsWith("1227-"));
    }

    @Test
    void aRecordThatCannotBeFormattedCostsItsCallerNothing() {
        var err = System.err;
        var bytes = new ByteArrayOutputStream();
        var stderr = new ToStandardError(new TextLines());
        stderr.setErrorManager(new ErrorManager() {
            @Override
            public synchronized void error(String message, Exception thrown, int code) {
                said.add(message);
            }
        });
        System.setErr(new PrintStream(bytes, true));
        try {
            stderr.publish(at(0, note("\u00e9")));
            var broken = note("");
            broken.setThrown(new IllegalStateException() {
                private static final long serialVersionUID = 1L;

                @Override
                public String toString() {
                    throw new IllegalStateException("it has no words");
                }
            });
            stderr.publish(broken);
        } finally {
            System.setErr(err);
        }
        assertTrue(bytes.toString(StandardCharsets.UTF_8).endsWith("to \u00e9" + System.lineSeparator()));
        assertEquals(1, bytes.toString(StandardCharsets.UTF_8).lines().count());
        assertEquals(1, said.size());
    }

    @Test
    void aLineOfJsonHoldsTheFieldsAsTheyAre() {
        var line = new JsonLines().format(at(0, note("a\"{worker}\n{0}\u2028")));
        assertEquals(1, line.lines().count());
        var json = JsonParser.parseString(line).getAsJsonObject();
        assertEquals(List.of("time", "level", "part", "message", "worker", "status", "txn"),
                List.copyOf(json.keySet()));
        assertEquals("2027-01-15T08:00:00.123Z", json.get("time").getAsString());
        assertEquals("WARNING", json.get("level").getAsString());
        assertEquals("net.worker.Call", json.get("part").getAsString());
        assertEquals("s-1 answered 418 to a\"{worker}\n{0}\u2028", json.get("message").getAsString());
        assertEquals(418, json.get("status").getAsInt());
        assertEquals("a\"{worker}\n{0}\u2028", json.get("txn").getAsString());
    }

    @Test
    void anExceptionIsOneFieldAndWhatIsAbsentNone() {
        Note.log(logger, Level.SEVERE, new IllegalStateException("odd"), "failed", "txn", null, "share",
                Double.NaN);
        var json = JsonParser.parseString(new JsonLines().format(written.get(0))).getAsJsonObject();
        assertFalse(json.has("txn"));
        assertEquals("NaN", json.get("share").getAsString());
        var trace = json.get("exception").getAsString();
        assertTrue(trace.startsWith("java.lang.IllegalStateException: odd\n\tat "));
    }

    @Test
    void theTextFormSaysWhatItSaidBefore() {
        var text = new SimpleFormatter().formatMessage(note("it's {0}"));
        assertEquals("s-1 answered 418 to it's {0}", text);
    }

    @Test
    void aRunOfOneKindIsBoundedAndCounted() {
        assertTrue(repeats.isLoggable(at(0, note("t1"))));
        assertTrue(repeats.isLoggable(at(1, note("t2"))));
        for (int i = 0; i < 5; i++) {
            assertFalse(repeats.isLoggable(at(10 * i, note("t3"))));
        }
        var other = new LogRecord(Level.WARNING, "another kind");
        other.setLoggerName(logger.getName());
        assertTrue(repeats.isLoggable(at(999, other)));
        assertEquals(List.of(), said);
        assertTrue(repeats.isLoggable(at(1_000, note("t4"))));
        assertEquals(List.of("held back 5 more such lines in 40 ms: " + TEMPLATE), said);
        repeats.end();
        assertEquals(1, said.size());
    }

    @Test
    void whatWasHeldBackIsSaidAtTheEnd() {
        for (int i = 0; i < 4; i++) {
            repeats.isLoggable(at(i, note("t")));
        }
        repeats.end();
        assertEquals(List.of("held back 2 more such lines in 3 ms: " + TEMPLATE), said);
    }

    @Test
    void aClockSetBackBeginsANewWindow() {
        for (int i = 0; i < 3; i++) {
            repeats.isLoggable(at(0, note("t")));
        }
        assertTrue(repeats.isLoggable(at(-5_000, note("t"))));
        assertEquals(1, said.size());
    }

    @Test
    void kindsWithoutNumberTakeNoMoreRoom() {
        for (int i = 0; i < 5_000; i++) {
            var record = new LogRecord(Level.INFO, "text " + i % 400);
            assertTrue(repeats.isLoggable(at(0, record)));
        }
        assertEquals(List.of(), said);
    }
}
