package ryemast;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The operators' own word on workers: a file with the id of one on each line that is to get nothing new, and
 * behind it, after a space, the reason. Empty lines and those that begin with # are passed over; a file that
 * is not there drains nobody.
 */
final class Drained {

    /** Beyond this it is some other file. */
    private static final long LONGEST = 1 << 20;
    private static final int LONGEST_ID = 200;

    private Drained() {
    }

    /**
     * Reasons by worker, in the file's order; an {@link IOException} names the file, and the line where one
     * is at fault.
     */
    static Map<String, String> read(String file) throws IOException {
        var found = new LinkedHashMap<String, String>();
        var path = Path.of(file);
        try {
            if (Files.size(path) > LONGEST) {
                throw new IOException(file + ": over " + LONGEST + " bytes");
            }
            int number = 0;
            for (var line : Files.readAllLines(path, StandardCharsets.UTF_8)) {
                number++;
                var text = line.strip();
                if (text.isEmpty() || text.startsWith("#")) {
                    continue;
                }
                var parts = text.split("\\s+", 2);
                if (parts[0].length() > LONGEST_ID
                        || text.codePoints().anyMatch(c -> c != '\t' && Character.isISOControl(c))) {
                    throw new IOException(file + ":" + number
                            + ": expected a worker's id and perhaps a reason");
                }
                found.put(parts[0], parts.length > 1 ? parts[1] : "");
            }
        } catch (NoSuchFileException e) {
            return Map.of();
        }
        return found;
    }
}
