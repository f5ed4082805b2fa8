package ryemast.lab.fleet;

import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import ryemast.lab.fleet.RecordBook.Change;

/**
 * Who may change a fire's record, and who may send its job, from every change of the records and the boxes'
 * runs. A change bears its writer's present fence, in the order in which the keeper of the records made them,
 * so that this has no limit of time. A job begins at a box only by one whom a record named before, and not
 * long after the fence that the record bears has moved.
 */
final class FenceJudge implements FleetJudge {

    /**
     * From the check of lease and fence until the job begins at a box: a process may be stopped between the
     * check and the system call, bytes may wait, and the box may.
     */
    private static final long ON_THE_WAY = 500_000;
    private static final String FENCES = "fences/";

    /** A fence of a name, at a version, and since when. */
    private record Had(long version, long at) {
    }

    /** What a record of a fire names. */
    private record Named(String holder, long fence) {
    }

    private final Map<String, NavigableMap<Long, Had>> fences = new HashMap<>();
    /** By fire and holder: the fence that was named at each time. */
    private final Map<FireId, Map<String, NavigableMap<Long, Long>>> named = new HashMap<>();

    @Override
    public void judge(FleetBooks books, Findings findings) {
        fences.clear();
        named.clear();
        for (var change : books.records()) {
            int name = change.key().lastIndexOf(FENCES);
            if (name >= 0) {
                fences.computeIfAbsent(change.key().substring(name + FENCES.length()), key -> new TreeMap<>())
                        .put(change.version(), new Had(change.version(), change.at()));
            } else {
                fire(change, findings);
            }
        }
        for (var run : books.runs()) {
            var id = FireId.ofRequest(run.id());
            if (id != null) {
                run(books, id, run, findings);
            }
        }
    }

    private static Named named(Change change) {
        try {
            var record = JsonParser.parseString(change.value()).getAsJsonObject();
            return new Named(record.get("holder").getAsString(), record.get("fence").getAsLong());
        } catch (JsonParseException | IllegalStateException | NullPointerException e) {
            return null;
        }
    }

    private void fire(Change change, Findings findings) {
        var id = FireId.ofRecord(change.key());
        var life = id == null || change.value() == null ? null : named(change);
        if (life == null) {
            return;
        }
        named.computeIfAbsent(id, key -> new HashMap<>())
                .computeIfAbsent(life.holder, key -> new TreeMap<>()).put(change.at(), life.fence);
        var had = fences.getOrDefault(life.holder, new TreeMap<>());
        if (had.isEmpty() || had.lastKey() != life.fence) {
            findings.breach("fence", change.at(), "The record of fire " + id + " was changed by "
                    + life.holder + " under its fence " + life.fence + ", which "
                    + (had.isEmpty() ? "never was" : "is " + had.lastKey() + " by then") + ".");
        }
    }

    private void run(FleetBooks books, FireId id, BoxRun run, Findings findings) {
        var sender = "n" + run.dispatcher();
        var under = named.getOrDefault(id, Map.of()).getOrDefault(sender, new TreeMap<>())
                .floorEntry(run.beganAt());
        if (under == null) {
            findings.breach("lease", run.beganAt(), "Fire " + id + " was sent by " + sender
                    + ", which no record had named.");
            return;
        }
        var moved = fences.getOrDefault(sender, new TreeMap<>()).higherEntry(under.getValue());
        long late = moved == null ? 0 : run.beganAt() - moved.getValue().at();
        if (late > ON_THE_WAY && late > ON_THE_WAY
                + books.waits().waited(run.dispatcher(), moved.getValue().at(), run.beganAt())) {
            findings.breach("lease", run.beganAt(), "Fire " + id + " was sent by " + sender + " "
                    + late / 1_000 + " ms after its fence had moved.");
        }
    }
}
