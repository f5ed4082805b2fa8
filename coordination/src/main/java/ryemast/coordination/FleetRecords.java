package ryemast.coordination;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.logging.Logger;
import ryemast.core.Note;
import ryemast.fleet.FenceRecord;
import ryemast.fleet.LeaseTerms;
import ryemast.fleet.MemberRecord;

/**
 * The records of who is in the fleet, as JSON. One that can't be read is taken as that of an unknown process
 * which may live for as long as any, so that it is waited for and then replaced, and never taken as absent.
 */
final class FleetRecords {

    static final String MEMBERS = "members/";
    static final String FENCES = "fences/";

    private static final Logger LOG = Logger.getLogger(FleetRecords.class.getName());
    private static final String UNKNOWN = "?";
    private static final long MS = 1_000;

    private FleetRecords() {
    }

    static String text(MemberRecord record) {
        var json = new JsonObject();
        json.addProperty("incarnation", record.incarnation());
        json.addProperty("process", record.process());
        json.addProperty("beat", record.sequence());
        json.addProperty("lasts_ms", (record.duration() + MS - 1) / MS);
        if (record.wallTime() != 0) {
            json.addProperty("wall_us", record.wallTime());
        }
        if (record.demand() != null) {
            var wants = new JsonObject();
            record.demand().forEach(wants::addProperty);
            json.add("wants", wants);
        }
        return json.toString();
    }

    static String text(FenceRecord record) {
        var json = new JsonObject();
        json.addProperty("incarnation", record.incarnation());
        json.addProperty("process", record.process());
        json.addProperty("seizures", record.takeovers());
        return json.toString();
    }

    static MemberRecord member(Coordination.Entry entry) {
        var name = entry.key().substring(MEMBERS.length());
        try {
            var json = json(entry);
            return new MemberRecord(name, json.get("incarnation").getAsLong(),
                    json.get("process").getAsString(), json.get("beat").getAsLong(),
                    json.get("lasts_ms").getAsLong() * MS, entry.version(),
                    json.has("wall_us") ? json.get("wall_us").getAsLong() : 0,
                    json.has("wants") ? wants(json.getAsJsonObject("wants")) : null);
        } catch (JsonParseException | IllegalStateException | NullPointerException | NumberFormatException
                | UnsupportedOperationException | ClassCastException e) {
            faulty(entry, e);
            return new MemberRecord(name, 0, UNKNOWN, 0, LeaseTerms.MAX_DURATION, entry.version());
        }
    }

    private static Map<String, Integer> wants(JsonObject json) {
        var wants = new HashMap<String, Integer>();
        json.entrySet().forEach(each -> wants.put(each.getKey(), each.getValue().getAsInt()));
        return wants;
    }

    static FenceRecord fence(Coordination.Entry entry) {
        if (entry == null) {
            return FenceRecord.NONE;
        }
        try {
            var json = json(entry);
            return new FenceRecord(json.get("incarnation").getAsLong(), json.get("process").getAsString(),
                    json.get("seizures").getAsInt(), entry.version());
        } catch (JsonParseException | IllegalStateException | NullPointerException | NumberFormatException
                | UnsupportedOperationException e) {
            faulty(entry, e);
            return new FenceRecord(0, UNKNOWN, 0, entry.version());
        }
    }

    private static JsonObject json(Coordination.Entry entry) {
        return JsonParser.parseString(new String(entry.value(), StandardCharsets.UTF_8)).getAsJsonObject();
    }

    private static void faulty(Coordination.Entry entry, RuntimeException why) {
        Note.warning(LOG, "record {key} at version {version} can't be read ({why}); it is taken as that of an"
                + " unknown process until it is replaced. If no program wrote it, remove it",
                "key", entry.key(), "version", entry.version(), "why", why.getMessage());
    }
}
