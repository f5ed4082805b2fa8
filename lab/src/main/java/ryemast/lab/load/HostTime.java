package ryemast.lab.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * How the processors of this machine were used up to now (proc(5), the first line of {@code stat}), in the
 * kernel's ticks. On a virtual machine whose host is busy a part is stolen: the host ran something else,
 * while the processor time of whoever ran here went on counting. Figures taken then are worse than the
 * program is.
 */
record HostTime(long all, long stolen) {

    private static final int STOLEN = 8;

    static HostTime now() {
        try (var lines = Files.lines(Path.of("/proc/stat"))) {
            return parse(lines.findFirst().orElse(""));
        } catch (IOException e) {
            return new HostTime(0, 0);
        }
    }

    static HostTime parse(String line) {
        var words = line.strip().split(" +");
        long all = 0;
        // What guests of this machine used is in the user's time already.
        for (int i = 1; i < words.length && i <= STOLEN; i++) {
            all += Long.parseLong(words[i]);
        }
        return new HostTime(all, words.length > STOLEN ? Long.parseLong(words[STOLEN]) : 0);
    }

    /** Stolen since then, as a part of all. */
    double stolenSince(HostTime before) {
        return all <= before.all ? 0 : (double) (stolen - before.stolen) / (all - before.all);
    }
}
