package ryemast.lab.fleet;

import java.time.Instant;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeParseException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Which fire something is of: an entry's name and a nominal time, in microseconds of Unix time. The one place
 * that knows how fires are named in requests and in records.
 */
public record FireId(String entry, long nominal) {

    private static final Pattern REQUEST = Pattern.compile("fire-(.+)-(\\d{8}T\\d{6}Z)-(\\d+)");
    private static final Pattern RECORD = Pattern.compile("(?:.*/)?fires/([^/]+)/(\\d{8}T\\d{6}Z)");
    private static final DateTimeFormatter TIME = DateTimeFormatter.ofPattern("yyyyMMdd'T'HHmmss'Z'");
    private static final long MICROS = 1_000_000;

    /** Of the X-Txn of a fire's job; null: it is none. */
    static FireId ofRequest(String txn) {
        return of(REQUEST.matcher(txn));
    }

    /** Of a record's key, whatever its prefix; null: it is of no fire. */
    static FireId ofRecord(String key) {
        return of(RECORD.matcher(key));
    }

    private static FireId of(Matcher found) {
        if (!found.matches()) {
            return null;
        }
        try {
            return new FireId(found.group(1), LocalDateTime.parse(found.group(2), TIME)
                    .toEpochSecond(ZoneOffset.UTC) * MICROS);
        } catch (DateTimeParseException e) {
            return null;
        }
    }

    /** What {@link #time} has made. */
    static long micros(String time) {
        return LocalDateTime.parse(time, TIME).toEpochSecond(ZoneOffset.UTC) * MICROS;
    }

    /** The nominal time as names have it. */
    static String time(long nominal) {
        return TIME.format(Instant.ofEpochSecond(nominal / MICROS).atOffset(ZoneOffset.UTC));
    }

    @Override
    public String toString() {
        return entry + " of " + time(nominal);
    }
}
