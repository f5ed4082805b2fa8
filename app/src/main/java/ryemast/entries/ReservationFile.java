package ryemast.entries;

import java.nio.file.Path;
import java.time.DayOfWeek;
import java.time.Instant;
import java.time.LocalTime;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Pattern;
import ryemast.timetable.calendar.Revision;
import ryemast.timetable.calendar.Window;
import ryemast.toml.Faults;
import ryemast.toml.Sections;
import ryemast.toml.TomlTable;

/**
 * Reads a reservations file, whole or not at all, so that no replica keeps half of what was promised. Not for
 * the loop's thread.
 */
public final class ReservationFile {

    /** With a week of windows each they fit into one record. */
    public static final int MOST = 64;
    private static final int MOST_BYTES = 256 << 10;
    private static final int LONGEST_NAME = 80;
    private static final int MOST_RANK = 1_000;
    private static final double MICROS = 1e6;
    private static final double MOST_WORK = 1e6;
    private static final double LEAST_WORK = 0.001;
    private static final double PERCENT = 100;
    private static final String FORM = "ryemast reservations 1";
    private static final List<String> DAYS = List.of("mon", "tue", "wed", "thu", "fri", "sat", "sun");
    private static final Pattern HOURS =
            Pattern.compile("((?:[01][0-9]|2[0-3]):[0-5][0-9])-((?:[01][0-9]|2[0-3]):[0-5][0-9]|24:00)");
    private static final String ALL_DAY = "00:00-24:00";

    private final Path file;
    private final Told told = new Told();
    private final Map<String, Integer> tenants;
    private final Map<String, Integer> classes;
    /** By names, as the order of a file's tables means nothing. */
    private final Map<String, String> digests = new TreeMap<>();
    private final Map<String, Integer> lines = new HashMap<>();
    private final Map<String, Reservations.Wanted> owners = new HashMap<>();

    private ReservationFile(Path file, List<String> tenants, List<String> classes) {
        this.file = file;
        this.tenants = numbered(tenants);
        this.classes = numbered(classes);
    }

    private static Map<String, Integer> numbered(List<String> names) {
        var numbers = new TreeMap<String, Integer>();
        names.forEach(each -> numbers.put(each, numbers.size()));
        return numbers;
    }

    /** Reads and checks a file; the exception tells its faults. The names are the settings', in order. */
    public static Reservations read(Path file, List<String> tenants, List<String> classes)
            throws FaultyEntriesException {
        var faults = new Faults();
        var sections = Sections.read(file, MOST_BYTES, "reservation", "name", faults);
        var head = sections == null ? null : sections.head();
        var found = head == null ? null : new ReservationFile(file, tenants, classes)
                .read(sections, head, faults);
        if (faults.any()) {
            throw new FaultyEntriesException(file, faults.lines());
        }
        return found;
    }

    private Reservations read(Sections sections, TomlTable head, Faults faults) {
        var expected = "a whole number from 1 on, raised with each change";
        long number = head.whole("revision", 0, 1, Long.MAX_VALUE, expected);
        if (!head.has("revision")) {
            head.complain("revision", "is missing; expected " + expected);
        }
        long perWeight = work(head, "clears_per_weight");
        double margin = head.number("margin_percent", 10, 1, 90) / PERCENT;
        double band = head.number("band_percent", 5, 0, 80) / PERCENT;
        if (band >= margin) {
            head.complain(head.has("band_percent") ? "band_percent" : "margin_percent", "makes a band of "
                    + band * PERCENT + " against a margin of " + margin * PERCENT
                    + "; expected a band below the margin");
        }
        var figures = new Reservations.Figures(margin, band, seconds(head, "hold_s", 60, 3_600),
                seconds(head, "burst_s", 4, 600), seconds(head, "lend_s", 2, 600));
        head.has("reservation");
        head.done();
        if (sections.count() > MOST) {
            faults.add(file, 0, "reservation", "there are " + sections.count() + "; expected at most "
                    + MOST);
            return null;
        }
        var wanted = new ArrayList<Reservations.Wanted>();
        for (int i = 0; i < sections.count(); i++) {
            var table = sections.at(i);
            if (table != null) {
                wanted.add(wanted(table));
            }
        }
        var digest = new Digest(FORM).add(perWeight).add(figures);
        digests.values().forEach(digest::add);
        return new Reservations(file, new Revision(number, digest.end()), perWeight, figures, wanted);
    }

    private static long seconds(TomlTable head, String key, double otherwise, double most) {
        return Math.round(head.number(key, otherwise, 0, most) * MICROS);
    }

    /** Work a second, in the file as seconds of a standard core: so many cores' worth. */
    private static long work(TomlTable in, String key) {
        var expected = "the work a second, in seconds of a standard core, a number from " + LEAST_WORK
                + " to " + MOST_WORK;
        if (!in.has(key)) {
            in.complain(key, "is missing; expected " + expected);
        }
        return Math.round(in.number(key, 1, LEAST_WORK, MOST_WORK) * MICROS);
    }

    private Reservations.Wanted wanted(TomlTable in) {
        var name = Told.text(in, "name", "[A-Za-z0-9][A-Za-z0-9._-]*", LONGEST_NAME,
                "letters, digits, '.', '_' and '-'");
        var tenant = told.known(in, "tenant", tenants.keySet());
        var named = in.words("classes", List.of(), List.copyOf(classes.keySet()));
        var numbers = new HashSet<Integer>();
        named.forEach(each -> numbers.add(classes.get(each)));
        long work = work(in, "work_per_s");
        int rank = (int) in.whole("rank", 0, 0, MOST_RANK);
        boolean capped = in.flag("capped", false);
        var window = window(in);
        in.done();
        digests.put(name, new Digest(name).add(tenant).add(named.stream().sorted().toList())
                .add(work).add(rank).add(capped).add(window == null ? "always" : said(window)).end());
        var found = new Reservations.Wanted(name, tenants.getOrDefault(tenant, 0), Set.copyOf(numbers), work,
                rank, capped, window);
        alone(in, found);
        return found;
    }

    /** No two may share a name or jobs. */
    private void alone(TomlTable in, Reservations.Wanted found) {
        var first = lines.putIfAbsent(found.name(), in.line("name"));
        if (first != null) {
            in.complain("name", "is there twice, first at line " + first + "; expected once");
        }
        for (var other : owners.values()) {
            boolean apart = other.tenant() != found.tenant() || !other.classes().isEmpty()
                    && !found.classes().isEmpty()
                    && other.classes().stream().noneMatch(found.classes()::contains);
            if (!apart) {
                in.complain(in.has("classes") ? "classes" : "tenant", "shares jobs with the reservation '"
                        + other.name() + "' (line " + lines.get(other.name())
                        + "); expected each class of a tenant in one reservation");
            }
        }
        owners.putIfAbsent(found.name(), found);
    }

    private Window window(TomlTable in) {
        boolean always = !in.has("days") && !in.has("hours") && !in.has("from") && !in.has("until");
        if (always) {
            if (in.has("zone")) {
                in.complain("zone", "is there without days, hours, from or until; expected one of them");
            }
            return null;
        }
        var zone = told.zone(in);
        var days = EnumSet.noneOf(DayOfWeek.class);
        in.words("days", DAYS, DAYS).forEach(each -> days.add(DayOfWeek.of(DAYS.indexOf(each) + 1)));
        var wanted = "hours such as \"08:00-16:30\", the second up to 24:00 or of the next day";
        var hours = in.text("hours", ALL_DAY, wanted);
        var matcher = HOURS.matcher(hours);
        if (!matcher.matches() || matcher.group(1).equals(matcher.group(2))) {
            in.wrong("hours", wanted);
            matcher = HOURS.matcher(ALL_DAY);
            matcher.matches();
        }
        // A date is a whole day, and the day that it names is still in.
        var from = told.instant(in, "from", zone, Instant.MIN, 0);
        var until = told.instant(in, "until", zone, Instant.MAX, 1);
        if (!from.isBefore(until)) {
            in.complain("until", "nothing lies between from and until; expected until after from");
        }
        return new Window(days, LocalTime.parse(matcher.group(1)),
                LocalTime.parse(matcher.group(2).replace("24:00", "00:00")), zone, from, until);
    }

    private static String said(Window window) {
        return EnumSet.copyOf(window.days()) + " " + window.from() + "-" + window.until() + " "
                + window.zone() + " " + window.since() + " " + window.before();
    }
}
