package ryemast.coordination;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.logging.Level;
import java.util.logging.Logger;
import ryemast.coordination.Coordination.Fate;
import ryemast.core.Loop;
import ryemast.core.Note;

/**
 * Which of what comes in revisions (a timetable, a site's reservations) the fleet has. Guarantees that the
 * highest revision counts, whenever each replica read its file: claims are made under the record of the
 * revision, so that none is made by an older one once a newer one is there. One revision with two contents is
 * refused by whoever comes second, with both digests. A replica that lags owns nothing, and its share goes to
 * those that have the revision. Owned by the loop.
 */
public final class Editions {

    private static final Logger LOG = Logger.getLogger(Editions.class.getName());
    private static final long AGAIN = 500_000;

    /**
     * What this replica has.
     *
     * @param number   at least 1
     * @param digest   of all that it says
     * @param content  what it holds, in words, for the log
     */
    public record Edition(long number, String digest, String content) {
    }

    /** This replica's place in its fleet. */
    public interface Place {

        String self();

        /** Null: nothing may be changed. */
        Fence fence();
    }

    /** What the record of the revision is to ours. */
    public enum Standing { UNKNOWN, OURS, OLDER, NEWER, CLASH }

    /** A revision as it is recorded; {@code digest}: of a replica's own word, empty. */
    private record Said(long revision, String digest, long version) {
    }

    private final Loop loop;
    private final Coordination records;
    private final Place place;
    private final String what;
    private final String revisionKey;
    private final String at;
    private final Runnable changed;
    private final Runnable unwatch;
    private Edition own;
    private Said said;
    private Map<String, Said> replicas = Map.of();
    private Standing told = Standing.UNKNOWN;
    /** A new fence may mean that the records were lost, and begin anew. */
    private long fenceSeen;
    private boolean heard;
    private boolean busy;

    /** {@code what}: the first part of its records' keys, and its name in the log. */
    public Editions(Loop loop, Coordination records, Place place, String what, Edition own,
            Runnable changed) {
        this.loop = loop;
        this.records = records;
        this.place = place;
        this.what = what;
        this.own = own;
        this.changed = changed;
        revisionKey = revisionKey(what);
        at = what + "/at/";
        unwatch = records.watch(what + "/", new Coordination.Watcher() {
            @Override
            public void changed(List<Coordination.Entry> all) {
                read(all, false);
            }

            @Override
            public void blind(String why) {
                // What was told last goes on to count: steps under an old revision fail.
            }
        });
    }

    /** The record that says which revision counts. */
    public static String revisionKey(String what) {
        return what + "/revision";
    }

    public void replace(Edition by) {
        own = by;
        told = Standing.UNKNOWN;
        settle();
    }

    public void end() {
        unwatch.run();
    }

    /** The version of the record of the revision. */
    public long version() {
        return said == null ? 0 : said.version;
    }

    /** Those of some members that have the highest revision. */
    public List<String> able(List<String> members) {
        return said == null ? List.of() : members.stream()
                .filter(each -> replicas.containsKey(each)
                        && replicas.get(each).revision == said.revision).toList();
    }

    private void read(List<Coordination.Entry> all, boolean certain) {
        heard = true;
        Said revision = null;
        var by = new TreeMap<String, Said>();
        for (var entry : all) {
            if (entry.key().equals(revisionKey)) {
                revision = read(entry);
            } else if (entry.key().startsWith(at)) {
                var read = read(entry);
                if (read != null) {
                    by.put(entry.key().substring(at.length()), read);
                }
            }
        }
        // An answer from the past must not bring an older revision back.
        if (certain || said == null || revision != null && revision.version >= said.version) {
            said = revision;
            replicas = by;
        }
        settle();
        changed.run();
    }

    private Said read(Coordination.Entry entry) {
        try {
            var json = JsonParser.parseString(new String(entry.value(), StandardCharsets.UTF_8))
                    .getAsJsonObject();
            return new Said(json.get("revision").getAsLong(),
                    json.has("digest") ? json.get("digest").getAsString() : "", entry.version());
        } catch (JsonParseException | IllegalStateException | NumberFormatException
                | NullPointerException e) {
            Note.warning(LOG, "{what}: the record {key} can't be read: {why}", "what", what, "key",
                    entry.key(), "why", e.toString());
            return null;
        }
    }

    /** As far as the records are known. */
    public Standing standing() {
        if (!heard) {
            return Standing.UNKNOWN;
        }
        if (said == null || said.revision < own.number()) {
            return Standing.OLDER;
        }
        return said.revision > own.number() ? Standing.NEWER
                : said.digest.equals(own.digest()) ? Standing.OURS : Standing.CLASH;
    }

    /** Sees to it that the records say what this replica has; to be called when the fence has changed too. */
    public void settle() {
        if (!heard) {
            return;
        }
        var standing = standing();
        tell(standing);
        var fence = place.fence();
        if (fence != null && fence.version() != fenceSeen) {
            fenceSeen = fence.version();
            readAnew();
        }
        // A lagging or refused replica says so, as its record may be left from when it was not.
        long says = standing == Standing.CLASH ? 0 : own.number();
        var before = replicas.get(place.self());
        boolean stale = before == null || before.revision != says;
        if (busy || fence == null || standing != Standing.OLDER && !stale) {
            return;
        }
        var step = new Step().require(fence.key(), fence.version());
        if (standing == Standing.OLDER) {
            step.put(revisionKey, json(own.number(), own.digest()), version());
        }
        if (stale) {
            step.put(at + place.self(), json(says, ""),
                    before == null ? Coordination.ABSENT : before.version);
        }
        busy = true;
        records.commit(step, result -> {
            busy = false;
            // Whatever came of it, what is there now decides.
            loop.at(loop.now() + (result.fate() == Fate.DONE ? 0 : AGAIN), this::readAnew);
        });
    }

    private void readAnew() {
        records.list(what + "/", true, reading -> {
            if (reading.good()) {
                read(reading.entries(), true);
            } else {
                loop.at(loop.now() + AGAIN, this::readAnew);
            }
        });
    }

    private static String json(long revision, String digest) {
        var json = new JsonObject();
        json.addProperty("revision", revision);
        if (!digest.isEmpty()) {
            json.addProperty("digest", digest);
        }
        return json.toString();
    }

    private void tell(Standing standing) {
        if (standing == told) {
            return;
        }
        told = standing;
        switch (standing) {
            case NEWER -> Note.warning(LOG, "{what}: this replica's file has revision {own}, the fleet has"
                    + " {fleet}; it claims nothing until it has that file too", "what", what,
                    "own", own.number(), "fleet", said.revision);
            case CLASH -> Note.log(LOG, Level.SEVERE, null, "{what}: revision {revision} has the digest"
                    + " {own} here and {fleet} in the fleet; this replica claims nothing until the file has"
                    + " the fleet's content, or a higher revision", "what", what, "revision", own.number(),
                    "own", own.digest(), "fleet", said.digest);
            case OLDER -> Note.info(LOG, "{what}: revision {own} takes the place of {fleet}",
                    "what", what, "own", own.number(), "fleet", said == null ? "none" : said.revision);
            case OURS -> Note.info(LOG, "{what}: revision {own} with {content} counts",
                    "what", what, "own", own.number(), "content", own.content());
            default -> throw new IllegalStateException(standing.name());
        }
    }
}
