package ryemast.lab.fleet;

import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import ryemast.lab.fleet.RecordBook.Change;

/**
 * The timetable's rules, from the boxes' runs and every change of the records: what must run once runs once
 * at most, each fire's end is recorded once, and no fire is left without an end though a process and the
 * agent were well for long enough.
 *
 * <p>A fire is due at each nominal time between the run's begin and its quiet end; where missed ones are let
 * go, it is owed an end only if a process was well about its time; one that is claimed, if a process was well
 * for long enough after anything was last done for it.
 */
final class FireJudge implements FleetJudge {

    private static final long LONGEST = 3_600_000_000L;
    private static final int DIGITS = 3;
    /** Beats and calls that the machine held up for so long may have cost a holder its lease. */
    private static final long STARVED = 1_000_000;

    /** What is known of one fire. */
    private static final class Fire {
        private final List<BoxRun> runs = new ArrayList<>();
        private final List<Life> lives = new ArrayList<>();

        /** When anything was last done for it: a job that fails up to its deadline may have three turns. */
        long seenAt(long nominal) {
            long life = lives.stream().mapToLong(Life::at).max().orElse(nominal);
            long run = runs.stream().mapToLong(each -> each.end() == null ? each.beganAt() : each.endedAt())
                    .max().orElse(nominal);
            return Math.max(nominal, Math.max(life, run));
        }

        long times(String state) {
            return lives.stream().filter(each -> each.state.equals(state)).count();
        }
    }

    /** A change of a fire's record; {@code holder} as the record has it. */
    private record Life(long at, String state, String holder) {
    }

    @Override
    public void judge(FleetBooks books, Findings findings) {
        var entries = new HashMap<String, Trial.Entry>();
        books.trial().entries().forEach(each -> entries.put(each.name(), each));
        var fires = new HashMap<FireId, Fire>();
        for (var run : books.runs()) {
            var id = FireId.ofRequest(run.id());
            if (id != null) {
                fires.computeIfAbsent(id, key -> new Fire()).runs.add(run);
            }
        }
        for (var change : books.records()) {
            var id = FireId.ofRecord(change.key());
            var life = id == null ? null : life(change);
            if (life != null) {
                fires.computeIfAbsent(id, key -> new Fire()).lives.add(life);
            }
        }
        long due = due(books, fires, findings);
        tell(entries, fires, findings);
        unknowns(books, fires, findings);
        findings.count("fires_due", due);
        var takeovers = new Histogram(LONGEST, DIGITS);
        fires.values().forEach(each -> takeovers(books, each, takeovers));
        findings.times("takeover_ms", takeovers);
    }

    /** Null: removed, or not to be read. */
    private static Life life(Change change) {
        if (change.value() == null) {
            return null;
        }
        try {
            var record = JsonParser.parseString(change.value()).getAsJsonObject();
            return new Life(change.at(), record.get("state").getAsString(),
                    record.has("holder") ? record.get("holder").getAsString() : "");
        } catch (JsonParseException | IllegalStateException | NullPointerException e) {
            return new Life(change.at(), "unreadable", "");
        }
    }

    /** Counts those due, and tells of each that is owed an end and has none. */
    private static long due(FleetBooks books, Map<FireId, Fire> fires, Findings findings) {
        var wellness = new Wellness(books);
        long patience = books.trial().patience();
        long from = books.history().beganAt();
        long until = books.history().endedAt();
        long count = 0;
        long missed = 0;
        for (var entry : books.trial().entries()) {
            long latest = until - patience - entry.jitter();
            long begun = Math.max(from, begun(books, entry.name()));
            for (long nominal = entry.next(begun); nominal < latest; nominal = entry.next(nominal)) {
                count++;
                var id = new FireId(entry.name(), nominal);
                var fire = fires.get(id);
                if (fire != null && fire.times("ended") + fire.times("unknown") > 0) {
                    continue;
                }
                missed++;
                boolean owed = !isAhead(books, nominal) && (entry.skips() && fire == null
                        ? wellness.lasted(nominal - patience, nominal + patience, 2 * patience)
                        : wellness.lasted(fire == null ? nominal : fire.seenAt(nominal), until, patience));
                if (owed) {
                    var what = "Fire " + id + " has no end, though a process and the agent were well for long"
                            + " enough.";
                    if (books.waits().waited(-1, nominal, nominal + patience) >= STARVED) {
                        findings.doubtful("fire-end", nominal, what);
                    } else {
                        findings.breach("fire-end", nominal, what);
                    }
                }
            }
        }
        findings.count("fires_missed", missed);
        return count;
    }

    /** The first nominal time that the records let an entry fire at: those before it are nobody's. */
    private static long begun(FleetBooks books, String entry) {
        var key = "fires/" + entry + "/mark";
        return books.records().stream().filter(each -> each.value() != null && each.key().endsWith(key))
                .findFirst().map(each -> FireId.micros(JsonParser.parseString(each.value()).getAsJsonObject()
                        .get("nominal").getAsString())).orElse(0L);
    }

    /** Whether a wall clock was set forward before: what its process then took for missed is not owed. */
    private static boolean isAhead(FleetBooks books, long nominal) {
        return books.struck().stream().anyMatch(each -> each.strike().kind() == StrikeKind.CLOCK_STEP
                && each.strike().size() > 0 && each.at() <= nominal + books.trial().patience());
    }

    private static void tell(Map<String, Trial.Entry> entries, Map<FireId, Fire> fires, Findings findings) {
        var late = new Histogram(LONGEST, DIGITS);
        var shares = new TreeMap<String, Long>();
        long ended = 0;
        long unknown = 0;
        long runTwice = 0;
        long endedTwice = 0;
        for (var each : fires.entrySet()) {
            var id = each.getKey();
            var fire = each.getValue();
            var entry = entries.get(id.entry());
            boolean isEnded = fire.times("ended") > 0;
            ended += isEnded ? 1 : 0;
            unknown += !isEnded && fire.times("unknown") > 0 ? 1 : 0;
            if (fire.times("ended") + fire.times("unknown") > 1) {
                endedTwice++;
                findings.breach("end-once", id.nominal(), "The end of fire " + id + " was recorded "
                        + (fire.times("ended") + fire.times("unknown")) + " times.");
            }
            if (entry == null || fire.runs.isEmpty()) {
                continue;
            }
            if (entry.once() && fire.runs.size() > 1) {
                runTwice++;
                findings.breach("once", fire.runs.get(1).beganAt(), "Fire " + id
                        + " must run once and ran " + fire.runs.size() + " times, by " + fire.runs.stream()
                        .map(run -> "n" + run.dispatcher()).toList() + ".");
            }
            var first = fire.runs.get(0);
            shares.merge("n" + first.dispatcher(), 1L, Long::sum);
            long by = first.beganAt() - entry.moment(id.nominal());
            late.recordValue(Math.max(0, Math.min(LONGEST, by)));
        }
        findings.count("fires_ended", ended);
        findings.count("fires_unknown", unknown);
        findings.count("once_only_run_twice", runTwice);
        findings.count("ends_recorded_twice", endedTwice);
        findings.times("late_ms", late);
        findings.counts("share_by_replica", shares);
    }

    /** An end is unknown for a reason only: a fault hit the holder between 'sent' and the end. */
    private static void unknowns(FleetBooks books, Map<FireId, Fire> fires, Findings findings) {
        fires.forEach((id, fire) -> {
            Life sent = null;
            for (var life : fire.lives) {
                if (life.state.equals("sent")) {
                    sent = life;
                } else if (life.state.equals("unknown") && !explained(books, sent, life.at)) {
                    findings.breach("unknown", id.nominal(), "The end of fire " + id + " is unknown though"
                            + " nothing befell its holder since it was sent.");
                }
            }
        });
    }

    private static boolean explained(FleetBooks books, Life sent, long until) {
        // A lease outlives its last beat, so what struck just before counts as well.
        return sent == null || books.struck().stream().anyMatch(each -> each.at() <= until
                && each.untilAt() >= sent.at - books.trial().patience()
                && (each.strike().target() == Strike.AGENT
                || each.strike().targetName().equals(sent.holder)));
    }

    /** From a holder's last strike until another one has claimed what it held. */
    private static void takeovers(FleetBooks books, Fire fire, Histogram takeovers) {
        for (int i = 1; i < fire.lives.size(); i++) {
            var before = fire.lives.get(i - 1);
            var life = fire.lives.get(i);
            if (before.holder.isEmpty() || life.holder.isEmpty() || life.holder.equals(before.holder)) {
                continue;
            }
            long since = books.struck().stream()
                    .filter(each -> each.strike().targetName().equals(before.holder)
                            && each.strike().kind().disables() && each.at() < life.at)
                    .mapToLong(FleetBooks.Struck::at).max().orElse(before.at);
            takeovers.recordValue(Math.max(0, Math.min(LONGEST, life.at - since)));
        }
    }
}
