package ryemast.firing;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
import java.time.DateTimeException;
import java.time.Instant;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.logging.Logger;
import ryemast.coordination.Coordination;
import ryemast.core.Note;
import ryemast.timetable.RecordContent;
import ryemast.timetable.RecordContent.How;
import ryemast.timetable.RecordContent.ExecutionRecord;
import ryemast.timetable.RecordContent.Watermark;
import ryemast.timetable.RecordContent.State;
import ryemast.timetable.VersionedRecord;

/** The form of a timetable's records: {@code fires/ENTRY/NOMINAL} and {@code fires/ENTRY/mark}, JSON each. */
final class Keys {

    static final String FIRES = "fires/";
    static final String FENCES = "fences/";
    private static final Logger LOG = Logger.getLogger(Keys.class.getName());
    private static final String MARK = "mark";
    private static final DateTimeFormatter NOMINAL =
            DateTimeFormatter.ofPattern("uuuuMMdd'T'HHmmss'Z'", Locale.ROOT);
    private static final long SECOND = 1_000_000;

    private Keys() {
    }

    static String nominal(long micros) {
        return NOMINAL.format(LocalDateTime.ofEpochSecond(Math.floorDiv(micros, SECOND), 0, ZoneOffset.UTC));
    }

    static String key(String entry, long nominal) {
        return FIRES + entry + "/" + (nominal == VersionedRecord.WATERMARK ? MARK : nominal(nominal));
    }

    static boolean isMark(String key) {
        return key.startsWith(FIRES) && key.endsWith("/" + MARK);
    }

    /** The entry that a key below {@link #FIRES} is of. */
    static String entry(String key) {
        int end = key.indexOf('/', FIRES.length());
        return end < 0 ? "" : key.substring(FIRES.length(), end);
    }

    static byte[] bytes(RecordContent content) {
        var json = new JsonObject();
        if (content instanceof Watermark mark) {
            json.addProperty("nominal", nominal(mark.scheduledTime()));
            json.addProperty("missed", mark.missed());
            json.addProperty("skipped", mark.skipped());
        } else if (content instanceof ExecutionRecord life) {
            json.addProperty("state", word(life.state()));
            json.addProperty("holder", life.holder());
            json.addProperty("fence", life.fence());
            json.addProperty("turn", life.attempt());
            json.addProperty("once", life.runsOnce());
            json.addProperty("at_us", life.recordedAt());
            json.addProperty("until_us", life.startDeadline());
            if (life.outcome() != How.NONE) {
                json.addProperty("how", word(life.outcome()));
            }
            if (!life.reason().isEmpty()) {
                json.addProperty("why", life.reason());
            }
        }
        return json.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static String word(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    /** By entry; without those that can't be read. */
    static Map<String, List<VersionedRecord>> seen(List<Coordination.Entry> found) {
        var by = new HashMap<String, List<VersionedRecord>>();
        for (var each : found) {
            var seen = seen(each);
            if (seen != null) {
                by.computeIfAbsent(seen.jobName(), key -> new ArrayList<>(2)).add(seen);
            }
        }
        return by;
    }

    /** A record that can't be read is told in the log, and left alone; null if it is none of ours at all. */
    static VersionedRecord seen(Coordination.Entry found) {
        var entry = entry(found.key());
        var last = found.key().substring(found.key().lastIndexOf('/') + 1);
        boolean isMark = last.equals(MARK);
        try {
            long nominal = isMark ? VersionedRecord.WATERMARK : micros(last);
            return new VersionedRecord(entry, nominal, isMark ? mark(json(found)) : life(json(found)),
                    found.version());
        } catch (DateTimeException | JsonParseException | IllegalArgumentException | IllegalStateException
                | NullPointerException e) {
            Note.warning(LOG, "timetable: the record {key} can't be read, and is left alone: {why}; "
                    + "where it is a mark, its entry does not fire until it is mended or removed",
                    "key", found.key(), "why", e.toString());
            return isMark ? new VersionedRecord(entry, VersionedRecord.WATERMARK, null, found.version())
                    : null;
        }
    }

    private static long micros(String nominal) {
        return Instant.from(NOMINAL.withZone(ZoneOffset.UTC).parse(nominal)).getEpochSecond() * SECOND;
    }

    private static JsonObject json(Coordination.Entry found) {
        return JsonParser.parseString(new String(found.value(), StandardCharsets.UTF_8)).getAsJsonObject();
    }

    private static Watermark mark(JsonObject json) {
        return new Watermark(micros(json.get("nominal").getAsString()), json.get("missed").getAsLong(),
                json.get("skipped").getAsLong());
    }

    private static ExecutionRecord life(JsonObject json) {
        return new ExecutionRecord(State.valueOf(json.get("state").getAsString().toUpperCase(Locale.ROOT)),
                json.get("holder").getAsString(), json.get("fence").getAsLong(), json.get("turn").getAsInt(),
                json.get("once").getAsBoolean(), json.get("at_us").getAsLong(),
                json.get("until_us").getAsLong(),
                json.has("how") ? How.valueOf(json.get("how").getAsString().toUpperCase(Locale.ROOT))
                        : How.NONE,
                json.has("why") ? json.get("why").getAsString() : "");
    }
}
