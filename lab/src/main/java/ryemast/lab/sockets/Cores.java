package ryemast.lab.sockets;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;

/**
 * Shares the processors out, by util-linux' taskset: some to each dispatcher alone, the rest to this process.
 * Where there are not enough, or no taskset, nobody is bound and the log says so.
 */
final class Cores implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger(Cores.class.getName());
    private static final int PATIENCE_S = 5;

    private final List<String> lists = new ArrayList<>();
    /** What this process might use before, to be given back; null: it still may. */
    private String before;

    /** {@code each}: how many for a dispatcher. */
    static Cores shared(int dispatchers, int each) {
        var cores = new Cores();
        var mine = each == 0 ? null : cores.allowed();
        if (mine == null) {
            return cores;
        }
        var free = parsed(mine);
        if (free.size() < dispatchers * each + 1) {
            LOG.warning("no processors are set aside: " + free.size() + " are too few for "
                    + dispatchers + " dispatchers with " + each + " each and the emulator");
            return cores;
        }
        int taken = free.size();
        var lists = new ArrayList<String>();
        for (int i = 0; i < dispatchers; i++) {
            lists.add(text(free.subList(taken - each, taken)));
            taken -= each;
        }
        if (cores.keepTo(text(free.subList(0, taken)))) {
            cores.before = mine;
            cores.lists.addAll(lists);
        }
        return cores;
    }

    /** The processors of a dispatcher as taskset takes them; null: any. */
    String of(int dispatcher) {
        return lists.isEmpty() ? null : lists.get(dispatcher);
    }

    boolean isShared() {
        return !lists.isEmpty();
    }

    @Override
    public void close() {
        if (before != null) {
            keepTo(before);
            before = null;
        }
    }

    private String allowed() {
        var line = taskset("-c", "-p");
        return line == null ? null : line.substring(line.lastIndexOf(' ') + 1).strip();
    }

    private boolean keepTo(String list) {
        return taskset("-a", "-c", "-p", list) != null;
    }

    /** What it says; null if it can't be had. */
    private static String taskset(String... words) {
        var command = new ArrayList<>(List.of("taskset"));
        command.addAll(List.of(words));
        command.add(Long.toString(ProcessHandle.current().pid()));
        try {
            var process = new ProcessBuilder(command).redirectErrorStream(true).start();
            var said = new String(process.getInputStream().readAllBytes());
            if (process.waitFor(PATIENCE_S, TimeUnit.SECONDS) && process.exitValue() == 0) {
                return said.strip();
            }
            LOG.warning("no processors are set aside: taskset said " + said.strip());
        } catch (IOException e) {
            LOG.warning("no processors are set aside: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return null;
    }

    /** A list such as 0-3,6. */
    static List<Integer> parsed(String list) {
        var found = new ArrayList<Integer>();
        for (var part : list.split(",")) {
            var ends = part.split("-");
            int last = Integer.parseInt(ends[ends.length - 1].strip());
            for (int i = Integer.parseInt(ends[0].strip()); i <= last; i++) {
                found.add(i);
            }
        }
        return found;
    }

    private static String text(List<Integer> processors) {
        return String.join(",", processors.stream().map(String::valueOf).toList());
    }
}
