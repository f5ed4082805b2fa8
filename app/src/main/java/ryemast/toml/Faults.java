package ryemast.toml;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * What is wrong with the files read so far, told in the order of their lines, whatever the order in which it
 * was found: a person goes through a file from its top. Belongs to one thread.
 */
public final class Faults {

    private final List<Path> files = new ArrayList<>();
    private final List<Fault> faults = new ArrayList<>();

    private record Fault(Path file, int line, String text) {
    }

    /**
     * @param line  0 where no line is at fault
     * @param key   the full path of the key; empty where none is at fault
     * @param what  what was wrong; what was expected
     */
    public void add(Path file, int line, String key, String what) {
        if (!files.contains(file)) {
            files.add(file);
        }
        var text = file + (line > 0 ? ":" + line : "") + ": " + (key.isEmpty() ? "" : key + ": ") + what;
        var fault = new Fault(file, line, text);
        if (!faults.contains(fault)) {
            faults.add(fault);
        }
    }

    public boolean any() {
        return !faults.isEmpty();
    }

    /** How many there are; for a reader that wants to know whether the last value was one. */
    public int count() {
        return faults.size();
    }

    /** One line a fault, file by file. */
    public List<String> lines() {
        return faults.stream().sorted(Comparator.comparingInt((Fault each) -> files.indexOf(each.file))
                .thenComparingInt(Fault::line)).map(Fault::text).toList();
    }

    /** Throws all that was found, if anything was. */
    public void raise() throws FaultyFileException {
        if (any()) {
            throw new FaultyFileException(String.join("\n", lines()));
        }
    }
}
