package ryemast.entries;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import ryemast.timetable.calendar.Entry;
import ryemast.timetable.calendar.Revision;
import ryemast.toml.Faults;
import ryemast.toml.Sections;
import ryemast.toml.TomlTable;

/**
 * Reads an entries file, whole or not at all, so that no replica runs half of a timetable. Takes time and
 * memory by the file's length, both bounded; not for the loop's thread.
 */
public final class EntryFile {

    /** Entries that a file may have; the fleet's bounds on records and traffic are stated for as many. */
    public static final int MOST_ENTRIES = 10_000;
    /** Some 600 bytes for each of the most entries. */
    static final int MOST_BYTES = 6 << 20;
    /** What a person would not read in one go; each is told with its line. */
    static final int MOST_FAULTS = 100;
    private static final String FORM = "ryemast timetable 1";

    private EntryFile() {
    }

    /**
     * Reads and checks a file; the exception tells its faults.
     *
     * @param tenants  those that the site knows; empty if that is not known
     * @param classes  likewise
     */
    public static Entries read(Path file, Collection<String> tenants, Collection<String> classes)
            throws FaultyEntriesException {
        var faults = new Faults();
        var sections = Sections.read(file, MOST_BYTES, "entry", "name", faults);
        var head = sections == null ? null : sections.head();
        var found = head == null ? null : read(file, sections, head, faults, tenants, classes);
        if (faults.any()) {
            throw new FaultyEntriesException(file, faults.lines());
        }
        return found;
    }

    private static Entries read(Path file, Sections sections, TomlTable head, Faults faults,
            Collection<String> tenants, Collection<String> classes) {
        var expected = "a whole number from 1 on, raised with each change";
        long number = head.whole("revision", 0, 1, Long.MAX_VALUE, expected);
        if (!head.has("revision")) {
            head.complain("revision", "is missing; expected " + expected);
        }
        long seed = head.whole("seed", 0, Long.MIN_VALUE, Long.MAX_VALUE);
        var calendars = new Calendars(head.table("calendars"));
        head.has("entry");
        head.done();
        if (sections.count() > MOST_ENTRIES) {
            faults.add(file, 0, "entry", "there are " + sections.count() + "; expected at most "
                    + MOST_ENTRIES);
            return null;
        }
        var digest = new Digest(FORM).add(seed);
        calendars.addTo(digest);
        var reader = new EntryReader(calendars, new Bodies(file), seed, tenants, classes);
        var entries = entries(file, sections, reader, faults);
        reader.addTo(digest);
        return new Entries(file, new Revision(number, digest.end()), seed, entries);
    }

    private static List<Entry> entries(Path file, Sections sections, EntryReader reader, Faults faults) {
        var entries = new ArrayList<Entry>();
        var lines = new HashMap<String, Integer>();
        for (int i = 0; i < sections.count(); i++) {
            if (faults.count() >= MOST_FAULTS) {
                faults.add(file, 0, "", "has " + MOST_FAULTS + " faults and perhaps more: entries from the "
                        + (i + 1) + "th on were not read; expected none");
                return List.of();
            }
            var table = sections.at(i);
            var entry = table == null ? null : reader.read(table);
            if (entry != null) {
                var first = lines.putIfAbsent(entry.name(), table.line("name"));
                if (first != null) {
                    table.complain("name", "is there twice, first at line " + first + "; expected once");
                }
                entries.add(entry);
            }
        }
        return entries;
    }
}
