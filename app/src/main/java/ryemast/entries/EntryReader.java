package ryemast.entries;

import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import ryemast.timetable.calendar.Entry;
import ryemast.timetable.calendar.FaultyExpressionException;
import ryemast.timetable.calendar.Missed;
import ryemast.timetable.calendar.Overlap;
import ryemast.timetable.calendar.Schedule;
import ryemast.toml.TomlTable;

/** Reads entries' tables key by key, and knows a digest of what each says. */
final class EntryReader {

    /** Jobs are named by their entry, and such names are cut off beyond 128 characters. */
    private static final int LONGEST_ENTRY = 80;
    private static final int LONGEST_PATH = 2000;
    private static final int LONGEST_CRON = 200;
    private static final long DAY_S = 86_400;
    private static final long WEEK_S = 7 * DAY_S;
    private static final long HOUR_S = 3_600;
    private static final long MISSED_MOST = 10;
    private static final List<String> MISSED = List.of("skip", "last", "all");
    private static final List<String> OVERLAP = List.of("allow", "skip", "wait");

    private final Calendars calendars;
    private final Bodies bodies;
    private final long seed;
    private final Told told = new Told();
    private final Collection<String> tenants;
    private final Collection<String> classes;
    /** By names, as the order of a file's entries means nothing. */
    private final Map<String, String> digests = new TreeMap<>();

    /**
     * @param tenants  those that the site knows; empty if that is not known
     * @param classes  likewise
     */
    EntryReader(Calendars calendars, Bodies bodies, long seed, Collection<String> tenants,
            Collection<String> classes) {
        this.calendars = calendars;
        this.bodies = bodies;
        this.seed = seed;
        this.tenants = tenants;
        this.classes = classes;
    }

    /** Null if the table is at fault. */
    Entry read(TomlTable table) {
        var name = Told.text(table, "name", "[A-Za-z0-9][A-Za-z0-9._-]*", LONGEST_ENTRY,
                "letters, digits, '.', '_' and '-'");
        var tenant = told.known(table, "tenant", tenants);
        var jobClass = told.known(table, "class", classes);
        var path = Told.text(table, "path", "/[!-~]*", LONGEST_PATH,
                "a path that begins with / and has no spaces");
        var body = bodies.of(table, "body_file");
        var cron = Told.text(table, "cron", ".+", LONGEST_CRON, "an expression such as \"H 5 * * MON\"");
        var zone = told.zone(table);
        long jitter = table.whole("jitter_s", 0, 0, DAY_S, "whole seconds from 0 to " + DAY_S);
        long window = table.whole("window_s", HOUR_S, 1, WEEK_S, "whole seconds from 1 to " + WEEK_S);
        var missed = missed(table);
        var overlap = Overlap.valueOf(table.oneOf("overlap", "allow", OVERLAP).toUpperCase(Locale.ROOT));
        var daysOff = calendars.of(table, "days_off");
        var from = told.instant(table, "from", zone, Instant.MIN, 0);
        // A date is a whole day, and the day that it names is still in.
        var until = told.instant(table, "until", zone, Instant.MAX, 1);
        table.done();
        digests.put(name, new Digest(name).add(tenant).add(jobClass).add(path).add(body.digest()).add(cron)
                .add(zone).add(jitter).add(window).add(missed.rule()).add(missed.most()).add(overlap)
                .add(String.join("/", table.texts("days_off"))).add(from).add(until).end());
        if (!from.isBefore(until)) {
            table.complain("until", "nothing lies between from and until; expected until after from");
            return null;
        }
        var schedule = name.isEmpty() || cron.isEmpty() ? null : schedule(table, cron, zone, name);
        if (schedule == null) {
            return null;
        }
        schedule = schedule.jittered(Duration.ofSeconds(jitter)).without(daysOff).within(from, until);
        if (!schedule.fires()) {
            table.complain("cron", "all its fires are on days off, before from or after until, so it never"
                    + " fires; expected one fire at least in " + Schedule.HORIZON.toDays() / 366 + " years");
        }
        return new Entry(name, tenant, jobClass, path, body.bytes(), schedule, Duration.ofSeconds(window),
                missed, overlap);
    }

    void addTo(Digest digest) {
        digests.values().forEach(digest::add);
    }

    private Schedule schedule(TomlTable table, String cron, ZoneId zone, String name) {
        try {
            return Schedule.parse(cron, zone, name, seed);
        } catch (FaultyExpressionException e) {
            table.complain("cron", e.getMessage());
            return null;
        }
    }

    private static Missed missed(TomlTable table) {
        var rule = table.oneOf("missed", "skip", MISSED);
        int most = (int) table.whole("missed_most", MISSED_MOST, 1, Missed.LARGEST);
        if (table.has("missed_most") && !rule.equals("all")) {
            table.complain("missed_most", "is there with missed = \"" + rule
                    + "\"; expected missed = \"all\"");
        }
        return switch (rule) {
            case "all" -> Missed.all(most);
            case "last" -> Missed.LAST;
            default -> Missed.SKIP;
        };
    }
}
