package ryemast.entries;

import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.OffsetDateTime;
import java.time.ZoneId;
import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;
import ryemast.toml.Nearest;
import ryemast.toml.TomlTable;

/** The values that several kinds of files have in common, each checked; what will not do is told. */
final class Told {

    private static final int LONGEST_NAME = 100;
    private static final String WHEN = "a date, or a date and time with or without an offset from UTC";

    private final Set<String> zones = new TreeSet<>(ZoneId.getAvailableZoneIds());

    /** A text that must be there; empty where it will not do. */
    static String text(TomlTable table, String key, String pattern, int longest, String expected) {
        var wanted = expected + ", at most " + longest + " characters";
        var found = table.text(key, "", wanted);
        if (!table.has(key)) {
            table.complain(key, "is missing; expected " + wanted);
        } else if (found.isBlank() || found.length() > longest || !found.matches(pattern)) {
            table.wrong(key, wanted);
            return "";
        }
        return found;
    }

    String known(TomlTable table, String key, Collection<String> names) {
        var found = text(table, key, "[^\\p{Cntrl}]+", LONGEST_NAME, "a " + key + " of the site's settings");
        if (!found.isEmpty() && !names.isEmpty() && !names.contains(found)) {
            var near = Nearest.to(found, names);
            table.wrong(key, near != null ? "\"" + near + "\" perhaps"
                    : "one of " + String.join(", ", names));
        }
        return found;
    }

    ZoneId zone(TomlTable table) {
        var found = text(table, "zone", ".+", LONGEST_NAME, "an IANA zone such as \"America/Regina\"");
        if (!found.isEmpty() && !zones.contains(found)) {
            var near = Nearest.to(found, zones);
            table.wrong("zone", near != null ? "\"" + near + "\" perhaps" : "an IANA zone such as"
                    + " \"America/Regina\"");
        }
        return zones.contains(found) ? ZoneId.of(found) : ZoneId.of("UTC");
    }

    /** {@code more}: days that are added to a date. */
    Instant instant(TomlTable table, String key, ZoneId zone, Instant otherwise, int more) {
        return table.read(key, otherwise, WHEN, value -> value instanceof OffsetDateTime at ? at.toInstant()
                : value instanceof LocalDateTime at ? at.atZone(zone).toInstant()
                : value instanceof LocalDate at ? at.plusDays(more).atStartOfDay(zone).toInstant() : null);
    }
}
