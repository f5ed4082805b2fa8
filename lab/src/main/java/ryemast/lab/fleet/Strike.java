package ryemast.lab.fleet;

import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/**
 * One thing that a trial does, as it was drawn; times in microseconds since the run's start.
 *
 * @param target    the process, {@link #AGENT}: the agent
 * @param lasts     until it is taken back; 0: nothing is
 * @param size      by its kind
 * @param disk      of a kill: what the process finds when it starts anew
 * @param copiedAt  of an old disk: when it was as it is put back
 */
public record Strike(long at, StrikeKind kind, int target, long lasts, double size, Disk disk,
        long copiedAt) {

    public static final int AGENT = -1;

    /** What a process finds where its files were. */
    public enum Disk {
        KEPT, EMPTY, OLD;

        static Disk of(String word) {
            return valueOf(word.toUpperCase(Locale.ROOT));
        }

        static List<String> words() {
            return Stream.of(values()).map(each -> each.name().toLowerCase(Locale.ROOT)).toList();
        }
    }

    /** Whom it strikes, by name. */
    public String targetName() {
        return target == AGENT ? "agent" : "n" + target;
    }

    /** For logs. */
    @Override
    public String toString() {
        var text = new StringBuilder(String.format(Locale.ROOT, "%.3f s: %s %s", at / 1e6, kind.word(),
                targetName()));
        if (lasts > 0) {
            text.append(String.format(Locale.ROOT, " for %.3f s", lasts / 1e6));
        }
        if (kind.size() != null) {
            text.append(String.format(Locale.ROOT, ", size %.4g", size));
        }
        if (kind == StrikeKind.KILL && disk != Disk.KEPT) {
            text.append(disk == Disk.EMPTY ? ", empty disk"
                    : String.format(Locale.ROOT, ", disk of %.3f s", copiedAt / 1e6));
        }
        return text.toString();
    }
}
