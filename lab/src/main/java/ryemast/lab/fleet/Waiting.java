package ryemast.lab.fleet;

import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.HashMap;
import java.util.Map;

/**
 * Which fires' jobs wait inside which process: recorded as about to be handed in, and not seen at any box
 * since. Goes by records and boxes alone, and is told by them as it happens. Any thread may use it.
 */
final class Waiting {

    /**
     * The answer to the record has come back by then, also on a machine with much else to do, and the job is
     * inside; an answer that is read after the stop is too late for its call.
     */
    private static final long INSIDE = 150_000;
    /** Beyond this a job's deadline may pass before its process goes on. */
    private static final long LATEST = 500_000;

    private record Recorded(String holder, long at) {
    }

    private final Map<FireId, Recorded> fires = new HashMap<>();

    synchronized void recorded(RecordBook.Change change) {
        var id = FireId.ofRecord(change.key());
        if (id == null) {
            return;
        }
        var recorded = change.value() == null ? null : handsIn(change);
        if (recorded == null) {
            fires.remove(id);
        } else {
            fires.put(id, recorded);
        }
    }

    /** Null: by this record nothing is to be handed in. */
    private static Recorded handsIn(RecordBook.Change change) {
        try {
            var record = JsonParser.parseString(change.value()).getAsJsonObject();
            var state = record.get("once").getAsBoolean() ? "sent" : "claimed";
            return record.get("state").getAsString().equals(state)
                    ? new Recorded(record.get("holder").getAsString(), change.at()) : null;
        } catch (JsonParseException | IllegalStateException | NullPointerException e) {
            return null;
        }
    }

    /** A job has reached a box. */
    synchronized void arrived(String txn) {
        fires.remove(FireId.ofRequest(txn));
    }

    synchronized boolean inside(int process, long now) {
        var name = "n" + process;
        return fires.values().stream().anyMatch(each -> each.holder.equals(name)
                && now - each.at >= INSIDE && now - each.at <= LATEST);
    }
}
