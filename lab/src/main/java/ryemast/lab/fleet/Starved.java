package ryemast.lab.fleet;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.IntToLongFunction;
import java.util.function.LongSupplier;

/**
 * Notes when the machine let processes wait that were ready to run. A trial may share its machine with
 * others, and limits of tens of milliseconds would then be broken by whoever is late, not by whoever is
 * wrong; the kernel says how long each thread has waited in its queue (schedstats), so that such time can be
 * left out. Where the kernel does not say, nothing is left out.
 */
public final class Starved implements FleetBooks.Waits, AutoCloseable {

    private static final Path PROC = Path.of("/proc");
    private static final int SAMPLE_MS = 50;
    /** Of a sample; less than this is no reason for anything. */
    private static final long LEAST_WAIT = 10_000;
    /** How often the threads of a process are looked for anew, in samples. */
    private static final int LOOK_EVERY = 20;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final int JOIN_MS = 1_000;
    /** Of this program, those whose lateness others would be blamed for. */
    private static final List<String> OWN = List.of("site", "clients", "proxy", "Nio");
    /** Of a dispatcher: its loop, which the first thread becomes, and its selectors. */
    private static final List<String> OF_DISPATCHER = List.of("java", "Nio");

    private final LongSupplier clock;
    private final IntToLongFunction pids;
    private final Watched own;
    private final List<Watched> processes = new ArrayList<>();
    private final Thread thread = new Thread(this::run, "starved");
    private volatile boolean closed;

    /** {@code pids}: of each process at present, 0 for none. */
    public Starved(int count, IntToLongFunction pids, LongSupplier clock) {
        this.clock = clock;
        this.pids = pids;
        own = new Watched(OWN);
        for (int i = 0; i < count; i++) {
            processes.add(new Watched(OF_DISPATCHER));
        }
        thread.setDaemon(true);
        thread.start();
    }

    /** Spans from and until in which a process, or the emulator around it, had to wait; in order, apart. */
    List<long[]> spans(int process) {
        var all = new ArrayList<long[]>();
        all.addAll(own.spans());
        all.addAll(processes.get(process).spans());
        all.sort((a, b) -> Long.compare(a[0], b[0]));
        var joined = new ArrayList<long[]>();
        for (var each : all) {
            var last = joined.isEmpty() ? null : joined.get(joined.size() - 1);
            if (last != null && each[0] <= last[1]) {
                last[1] = Math.max(last[1], each[1]);
            } else {
                joined.add(each.clone());
            }
        }
        return joined;
    }

    @Override
    public long waited(int process, long from, long until) {
        long sum = own.waited(from, until);
        if (process >= 0) {
            return sum + processes.get(process).waited(from, until);
        }
        return sum + processes.stream().mapToLong(each -> each.waited(from, until)).max().orElse(0);
    }

    private void run() {
        long before = clock.getAsLong();
        while (!closed) {
            try {
                Thread.sleep(SAMPLE_MS);
            } catch (InterruptedException e) {
                return;
            }
            long now = clock.getAsLong();
            own.sample(ProcessHandle.current().pid(), before, now);
            for (int i = 0; i < processes.size(); i++) {
                processes.get(i).sample(pids.applyAsLong(i), before, now);
            }
            before = now;
        }
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
        try {
            thread.join(JOIN_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** One process at a time. */
    private static final class Watched {
        private final List<String> names;
        private final Map<Path, Long> sofar = new HashMap<>();
        private final List<long[]> spans = new ArrayList<>();
        private final NavigableMap<Long, Long> waits = new TreeMap<>();
        private long pid;
        private int sinceLook;

        Watched(List<String> names) {
            this.names = names;
        }

        synchronized List<long[]> spans() {
            return List.copyOf(spans);
        }

        synchronized long waited(long from, long until) {
            return waits.subMap(from, true, until, true).values().stream().mapToLong(Long::longValue).sum();
        }

        synchronized void sample(long current, long before, long now) {
            if (current != pid || ++sinceLook >= LOOK_EVERY) {
                look(current);
            }
            long most = 0;
            for (var each : sofar.entrySet()) {
                long micros = waitedMicros(each.getKey());
                most = Math.max(most, micros - each.getValue());
                each.setValue(Math.max(micros, each.getValue()));
            }
            waits.put(now, most);
            if (most >= LEAST_WAIT) {
                spans.add(new long[] {Math.min(before, now - most), now});
            }
        }

        /** A thread that is new here counts from now on. */
        private void look(long current) {
            if (current != pid) {
                sofar.clear();
            }
            pid = current;
            sinceLook = 0;
            if (pid == 0) {
                return;
            }
            try (DirectoryStream<Path> tasks =
                    Files.newDirectoryStream(PROC.resolve(Long.toString(pid)).resolve("task"))) {
                for (var task : tasks) {
                    var name = Files.readString(task.resolve("comm")).strip();
                    if (names.stream().anyMatch(name::startsWith)) {
                        var file = task.resolve("schedstat");
                        sofar.computeIfAbsent(file, Watched::waitedMicros);
                    }
                }
            } catch (IOException e) {
                // It has ended, or this kernel tells nothing: what was found before stays.
            }
        }

        /** The second figure is the time in the run queue, in nanoseconds; 0 if there is none. */
        private static long waitedMicros(Path schedstat) {
            try {
                var words = Files.readString(schedstat).split(" ");
                return words.length < 2 ? 0 : Long.parseLong(words[1].strip()) / NANOS_PER_MICRO;
            } catch (IOException | NumberFormatException e) {
                return 0;
            }
        }
    }
}
