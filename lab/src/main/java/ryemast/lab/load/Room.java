package ryemast.lab.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Pattern;

/**
 * What a run needs of the machine, worked out before anything is started: descriptors of the emulator and
 * of the dispatcher, and the dispatcher's memory. All are upper bounds, so that no run fails half-way.
 *
 * <p>A dispatcher keeps a third of its descriptors, less a reserve, for boxes ({@code ryemast.Service}); it
 * keeps a connection to each box that it has used in the last seconds, and one for each job under way.
 *
 * @param emulator    descriptors of this process
 * @param dispatcher  descriptors of each dispatcher; never less than a deployment's 1,024
 * @param heapMb      of each dispatcher
 */
public record Room(int emulator, int dispatcher, int heapMb) {

    /** A deployment's own figures, which {@code deploy/balancer.toml} is made for. */
    static final int LEAST_SOCKETS = 1024;
    public static final int LEAST_HEAP_MB = 80;
    private static final int LEAST_DIRECT_MB = 16;
    private static final int LEAST_MEMORY_MB = 192;
    /** Jars, streams, selectors of the one and of the other. */
    private static final int OWN_FILES = 160;
    private static final int RESERVED = 48;
    private static final int REGIONS_SHARE = 3;
    /** Call-backs come over a pool of connections; many more have not been seen. */
    private static final int CALL_BACKS = 256;
    /** What jobs may wait, at most, before an open loop's clients need more connections. */
    private static final double OPEN_LOOP_SECONDS = 1;
    /** More jobs than this a dispatcher with one core never has open at once. */
    private static final int MOST_OPEN = 1500;
    /** So many the deployment's heap is enough for. */
    private static final int FEW_BOXES = 100;
    private static final double HEAP_MB_PER_BOX = 0.05;
    private static final double HEAP_MB_PER_SOCKET = 0.012;
    private static final Pattern OPEN_FILES = Pattern.compile("Max open files\\s+(\\S+)\\s+(\\S+).*");

    /** {@code connections}: of the closed loop; {@code rate}: of the open one, or 0. */
    public static Room of(int boxes, int connections, double rate, int dispatchers) {
        int open = rate > 0 ? (int) Math.min(MOST_OPEN, Math.max(64, rate * OPEN_LOOP_SECONDS)) : connections;
        int regions = boxes + open;
        int terminals = (open + CALL_BACKS) * 8 / 7;
        int dispatcher = Math.max(LEAST_SOCKETS,
                RESERVED + Math.max(REGIONS_SHARE * regions, terminals * REGIONS_SHARE / 2));
        // A listener for each box and dispatcher, the boxes' ends of connections, clients and call-backs.
        int emulator = OWN_FILES + dispatchers * (boxes + regions + open + CALL_BACKS);
        int heap = (int) Math.ceil(LEAST_HEAP_MB + HEAP_MB_PER_BOX * Math.max(0, boxes - FEW_BOXES)
                + HEAP_MB_PER_SOCKET * (dispatcher - LEAST_SOCKETS));
        return new Room(emulator, dispatcher, heap);
    }

    /** For buffers outside the heap: the deployment's own share of the heap, which connections take up. */
    public int directMb() {
        return Math.max(LEAST_DIRECT_MB, heapMb / 5);
    }

    /** What a dispatcher is told that it may use; half as much again as both, for the JVM itself. */
    public int memoryMb() {
        return Math.max(LEAST_MEMORY_MB, (heapMb + directMb()) * 3 / 2);
    }

    /** How many descriptors a process may hold. */
    public record Limit(long soft, long hard) {

        /** This process's, from the kernel; no bound where the kernel doesn't say. */
        public static Limit own() {
            try {
                return parse(Files.readString(Path.of("/proc/self/limits")));
            } catch (IOException e) {
                return new Limit(Long.MAX_VALUE, Long.MAX_VALUE);
            }
        }

        static Limit parse(String limits) {
            return limits.lines().map(OPEN_FILES::matcher).filter(found -> found.matches()).findFirst()
                    .map(found -> new Limit(number(found.group(1)), number(found.group(2))))
                    .orElse(new Limit(Long.MAX_VALUE, Long.MAX_VALUE));
        }

        private static long number(String text) {
            return text.equals("unlimited") ? Long.MAX_VALUE : Long.parseLong(text);
        }
    }

    /**
     * Why the run can't be had within these limits, or null if it can. A JVM raises its own soft limit to
     * the hard one; only a privileged user may go beyond that, for a child, in the shell that starts it.
     */
    public String refusal(Limit limit, boolean privileged) {
        if (emulator > limit.hard()) {
            return "the emulator needs " + emulator + " file descriptors and may hold " + limit.hard()
                    + "; raise the limit first (ulimit -n " + emulator + ") or take fewer boxes";
        }
        if (dispatcher > limit.hard() && !privileged) {
            return "a dispatcher needs " + dispatcher + " file descriptors and may hold " + limit.hard()
                    + "; raise the limit first (ulimit -n " + dispatcher + ") or take fewer boxes";
        }
        return null;
    }
}
