package ryemast.lab.fleet;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import ryemast.lab.fleet.FleetBooks.Struck;
import ryemast.lab.fleet.RecordBook.Change;

/**
 * How a fire may become somebody's, from every change of the records: by the step that moves its entry's mark
 * up to it, so that nobody can claim it anew once its record is dropped; not before its moment, which is the
 * same for all; and by a process that has the highest recorded revision of the timetable.
 */
final class ClaimJudge implements FleetJudge {

    private static final String REVISION = "timetable/revision";
    private static final String MARK = "/mark";
    /** A process's clock and the books' tell the same time, but in whole milliseconds. */
    private static final long CLOCKS = 20_000;

    /** By entry and version: up to which nominal time it was marked. */
    private final Map<String, NavigableMap<Long, Long>> marks = new HashMap<>();
    private final NavigableMap<Long, Long> revisions = new TreeMap<>();

    @Override
    public void judge(FleetBooks books, Findings findings) {
        marks.clear();
        revisions.clear();
        books.records().forEach(this::note);
        var entries = new HashMap<String, Trial.Entry>();
        books.trial().entries().forEach(each -> entries.put(each.name(), each));
        var there = new HashSet<FireId>();
        for (var change : books.records()) {
            var id = FireId.ofRecord(change.key());
            if (id != null && entries.containsKey(id.entry()) && isMade(change, id, there)) {
                mark(id, change, findings);
                moment(books, entries.get(id.entry()), id, change, findings);
                revision(books, id, change, findings);
            }
        }
    }

    /** Whether its record was not there before. */
    private static boolean isMade(Change change, FireId id, Set<FireId> there) {
        if (change.value() == null) {
            there.remove(id);
            return false;
        }
        return there.add(id);
    }

    private void note(Change change) {
        var json = json(change);
        if (json == null) {
            return;
        }
        if (change.key().endsWith(REVISION) && json.has("revision")) {
            revisions.put(change.version(), json.get("revision").getAsLong());
        } else if (change.key().endsWith(MARK) && json.has("nominal")) {
            var parts = change.key().split("/");
            marks.computeIfAbsent(parts[parts.length - 2], key -> new TreeMap<>())
                    .put(change.version(), FireId.micros(json.get("nominal").getAsString()));
        }
    }

    private static JsonObject json(Change change) {
        try {
            return change.value() == null ? null : JsonParser.parseString(change.value()).getAsJsonObject();
        } catch (JsonParseException | IllegalStateException e) {
            return null;
        }
    }

    private void mark(FireId id, Change change, Findings findings) {
        var its = marks.getOrDefault(id.entry(), new TreeMap<>());
        var before = its.lowerEntry(change.version());
        var by = its.floorEntry(change.version());
        if (by == null || by.getValue() < id.nominal()) {
            findings.breach("mark", change.at(), "Fire " + id + " was claimed with no mark that says so.");
        } else if (before != null && before.getValue() >= id.nominal()) {
            findings.breach("mark", change.at(), "Fire " + id + " was claimed though its entry's mark had"
                    + " passed it.");
        }
    }

    /** While all clocks are right. */
    private static void moment(FleetBooks books, Trial.Entry entry, FireId id, Change change,
            Findings findings) {
        long early = entry.moment(id.nominal()) - change.at();
        boolean set = books.struck().stream().anyMatch(each -> each.at() <= change.at()
                && each.strike().kind().struck() == StrikeKind.Struck.CLOCK);
        if (early > CLOCKS && !set) {
            findings.breach("moment", change.at(), "Fire " + id + " was claimed " + early / 1_000
                    + " ms before its moment.");
        }
    }

    private void revision(FleetBooks books, FireId id, Change change, Findings findings) {
        var json = json(change);
        var counts = revisions.floorEntry(change.version());
        if (json == null || !json.has("holder") || counts == null) {
            return;
        }
        var holder = json.get("holder").getAsString();
        var revised = books.struck().stream().map(Struck::strike)
                .filter(each -> each.kind() == StrikeKind.REVISE).toList();
        if (!revised.isEmpty() && counts.getValue() > had(books.struck(), holder, change.at())) {
            findings.breach("revision", change.at(), "Fire " + id + " was claimed by " + holder
                    + ", which did not have revision " + counts.getValue() + " that counted by then.");
        }
    }

    /** The highest revision that a process may have had: each strike gives the next one, first to one. */
    private static long had(List<Struck> struck, String process, long at) {
        long next = 1;
        long has = 1;
        for (var each : struck) {
            if (each.strike().kind() == StrikeKind.REVISE) {
                next++;
                boolean its = each.strike().targetName().equals(process);
                has = its || each.at() + each.strike().lasts() <= at ? next : has;
            }
        }
        return has;
    }
}
