package ryemast.lab.sockets;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * What the kernel says of a process (proc(5)): processor time and the most memory it has held. A process that
 * has ended has no figures any more; its last ones are kept. Any thread may use it.
 */
final class ProcFigures {

    private static final int MICROS_PER_TICK = 10_000;
    private static final int USER_TIME = 11;
    private static final int SYSTEM_TIME = 12;
    private static final double KB_PER_MB = 1024;

    private final Path folder;
    private long cpuMicros;
    private double rssPeakMb;

    ProcFigures(long pid) {
        folder = Path.of("/proc", Long.toString(pid));
    }

    /** Reads them anew, as far as they are still there. */
    synchronized void read() {
        try {
            cpuMicros = Math.max(cpuMicros, Math.max(byTicks(), bySchedule()));
            for (var line : Files.readAllLines(folder.resolve("status"))) {
                if (line.startsWith("VmHWM:")) {
                    long peakKb = Long.parseLong(line.replaceAll("[^0-9]", ""));
                    rssPeakMb = Math.max(rssPeakMb, peakKb / KB_PER_MB);
                }
            }
        } catch (IOException | NumberFormatException | ArrayIndexOutOfBoundsException e) {
            // It has ended, or not begun; what was read before stands.
        }
    }

    synchronized long cpuMicros() {
        return cpuMicros;
    }

    synchronized double rssPeakMb() {
        return rssPeakMb;
    }

    /** Of all threads, also of those that have ended; exact to the kernel's tick. */
    private long byTicks() throws IOException {
        var stat = Files.readString(folder.resolve("stat"));
        // The name stands in brackets and may hold anything.
        var fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[USER_TIME]) + Long.parseLong(fields[SYSTEM_TIME])) * MICROS_PER_TICK;
    }

    /** Of the threads that live, in nanoseconds; exact, where few have ended. */
    private long bySchedule() throws IOException {
        long nanos = 0;
        try (var tasks = Files.newDirectoryStream(folder.resolve("task"))) {
            for (var task : tasks) {
                try {
                    nanos += Long.parseLong(Files.readString(task.resolve("schedstat")).split(" ")[0]);
                } catch (IOException e) {
                    // This thread has ended, or the kernel keeps no such book.
                }
            }
        }
        return nanos / 1_000;
    }
}
