package ryemast.entries;

import java.time.DateTimeException;
import java.time.LocalDate;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import ryemast.timetable.calendar.DaysOff;
import ryemast.toml.Nearest;
import ryemast.toml.TomlTable;

/** The named calendars of days off. */
final class Calendars {

    private static final String KEY = "days";
    private static final String EXPECTED = "a date such as 2026-12-25, or a range of dates with both ends in"
            + " it such as \"2026-12-21/2027-01-01\"";

    private final Map<String, DaysOff> calendars = new TreeMap<>();
    /** Most entries name the same few calendars. */
    private final Map<List<String>, DaysOff> together = new HashMap<>();

    Calendars(TomlTable table) {
        for (var name : table.keys()) {
            var calendar = table.table(name);
            if (!calendar.has(KEY)) {
                calendar.complain(KEY, "is missing; expected an array, each " + EXPECTED);
            }
            calendars.put(name, DaysOff.of(calendar.readAll(KEY, EXPECTED, Calendars::range)));
        }
    }

    private static DaysOff.Range range(Object value) {
        if (value instanceof LocalDate date) {
            return new DaysOff.Range(date, date);
        }
        var ends = value instanceof String text ? text.split("/", -1) : new String[0];
        try {
            return ends.length != 2 ? null
                    : new DaysOff.Range(LocalDate.parse(ends[0].strip()), LocalDate.parse(ends[1].strip()));
        } catch (DateTimeException | IllegalArgumentException e) {
            return null;
        }
    }

    /** All days off that an entry's key names, none where it is absent. */
    DaysOff of(TomlTable entry, String key) {
        var names = entry.texts(key);
        for (var name : names) {
            if (!calendars.containsKey(name)) {
                var near = Nearest.to(name, calendars.keySet());
                entry.complain(key, "there is no calendar \"" + name + "\"; expected " + (near != null
                        ? "\"" + near + "\" perhaps" : "one that a table [calendars.NAME] describes"));
            }
        }
        return names.isEmpty() ? DaysOff.NONE : together.computeIfAbsent(names, this::union);
    }

    private DaysOff union(List<String> names) {
        var ranges = new ArrayList<DaysOff.Range>();
        names.forEach(name -> ranges.addAll(calendars.getOrDefault(name, DaysOff.NONE).ranges()));
        return DaysOff.of(ranges);
    }

    void addTo(Digest digest) {
        digest.add(calendars.size());
        calendars.forEach((name, days) -> {
            digest.add(name).add(days.ranges().size());
            days.ranges().forEach(each -> digest.add(each.first()).add(each.last()));
        });
    }
}
