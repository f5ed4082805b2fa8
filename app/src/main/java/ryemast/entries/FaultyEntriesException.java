package ryemast.entries;

import java.nio.file.Path;
import java.util.List;

/**
 * An entries file that can't be used, with each fault on a line of its own: file, line, entry, key, for an
 * expression the field, what is wrong and what would be right.
 */
public final class FaultyEntriesException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient Path file;
    private final List<String> faults;

    FaultyEntriesException(Path file, List<String> faults) {
        super(String.join("\n", faults) + "\n" + file + ": no entry of it is used, and what is in force stays"
                + " in force; mend the lines above and have it read again");
        this.file = file;
        this.faults = List.copyOf(faults);
    }

    public Path file() {
        return file;
    }

    /** One line a fault, in the order of the file. */
    public List<String> faults() {
        return faults;
    }
}
