package ryemast.lab.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.regex.Pattern;
import ryemast.lab.fleet.Strike.Disk;
import ryemast.lab.sockets.Between;
import ryemast.lab.sockets.Folders;
import ryemast.net.Addresses;

/**
 * What stands between the site and the processes of a trial: a link over the proxy for each address that a
 * process is told of, a folder of its own as its disk, and a file that its wall clock goes by.
 */
final class Ground implements Between, AutoCloseable {

    /** Names the file that a process takes its wall clock's error from. */
    private static final String WALL = "ryemast.trial.wall";
    private static final List<String> CARELESS = List.of("ryemast.firing.careless",
            "ryemast.reserving.careless");
    private static final Pattern REVISION = Pattern.compile("(?m)^revision *= *\\d+");
    private static final String RESERVATIONS = "reservations.toml";

    private final Trial trial;
    private final String careless;
    private final Path folder;
    private final Proxy proxy;
    /** Null where the processes tell each other nothing. */
    private final PeerProxy peers;
    private final Map<Integer, Map<InetSocketAddress, ProxyLink>> links = new HashMap<>();
    /** By process, what it is to find at its next start, and where an old one is. */
    private final Map<Integer, Disk> disks = new HashMap<>();
    private final Map<Integer, Path> olds = new HashMap<>();
    /** What windows are counted from, by the machine's wall clock. */
    private final Instant began = Instant.now().truncatedTo(ChronoUnit.MILLIS);
    private Runnable beforeFirst = () -> { };
    /** The timetable's highest so far. */
    private int revision = 1;

    Ground(Trial trial, Path folder, String careless, LongSupplier clock) throws IOException {
        this.trial = trial;
        this.careless = careless;
        this.folder = folder.toAbsolutePath();
        proxy = new Proxy(clock);
        peers = trial.operator().contains("{peers}")
                ? new PeerProxy(trial.scenario().dispatchers().count(), trial.seed()) : null;
        if (!trial.reserved().text().isEmpty()) {
            Files.writeString(this.folder.resolve(RESERVATIONS), trial.reserved().text(began));
        }
        for (int i = 0; i < trial.scenario().dispatchers().count(); i++) {
            Files.createDirectories(disk(i));
            wall(i, 0, 0);
            if (!trial.timetable().isEmpty()) {
                replace(timetable(i), trial.timetable());
            }
        }
    }

    @Override
    public synchronized InetSocketAddress link(int process, InetSocketAddress to) {
        return links.computeIfAbsent(process, key -> new HashMap<>())
                .computeIfAbsent(to, proxy::link).address();
    }

    synchronized List<ProxyLink> links(int process) {
        return new ArrayList<>(links.getOrDefault(process, Map.of()).values());
    }

    /** What is done to a process's datagrams; null where there are none. */
    PeerProxy.Harm peers(int process) {
        return peers == null ? null : peers.harm(process);
    }

    @Override
    public List<String> jvmArgs(int process) {
        var args = new ArrayList<>(List.of("-D" + WALL + "=" + wallFile(process)));
        if (!careless.isEmpty()) {
            // Each part of the program knows its own words.
            CARELESS.forEach(each -> args.add("-D" + each + "=" + careless));
        }
        return args;
    }

    @Override
    public String operator(int process, String lines) {
        var agent = links(process).stream().findFirst().map(each -> Addresses.text(each.address()));
        var all = peers == null ? lines : lines.replace("{peers}", peers.others(process))
                .replace("{peers_listen}", peers.listen(process));
        return all.replace("{agent}", agent.orElse("")).replace("{name}", "n" + process)
                .replace("{disk}", disk(process).toString())
                .replace("{timetable}", timetable(process).toString())
                .replace("{reservations}", folder.resolve(RESERVATIONS).toString());
    }

    @Override
    public double leans() {
        return trial.leans();
    }

    @Override
    public boolean startsAtOnce(int process) {
        return process < trial.plan().atOnce();
    }

    /** So long ago was the moment that the reservations' windows are counted from, in microseconds. */
    long sinceBegan() {
        return ChronoUnit.MICROS.between(began, Instant.now());
    }

    /** The folder that a process keeps its files in. */
    Path disk(int process) {
        return folder.resolve("disk-" + process);
    }

    private Path timetable(int process) {
        return folder.resolve("timetable-" + process + ".toml");
    }

    int processes() {
        return trial.scenario().dispatchers().count();
    }

    /** {@code next}: it has one that nobody had before, else the highest there is; whether that is news. */
    synchronized boolean revise(int process, boolean next) throws IOException {
        revision += next ? 1 : 0;
        var line = "revision = " + revision;
        var before = Files.readString(timetable(process));
        var after = REVISION.matcher(before).replaceFirst(line);
        replace(timetable(process), after);
        return !after.equals(before);
    }

    private Path wallFile(int process) {
        return folder.resolve("wall-" + process);
    }

    private Path copy(Strike strike) {
        return folder.resolve(String.format(Locale.ROOT, "old-disk-%d-%d", strike.target(), strike.at()));
    }

    /** From here on a process' wall clock is off by so much; the file is whole at any time. */
    void wall(int process, long offsetMicros, long ratePpm) {
        try {
            replace(wallFile(process), offsetMicros + " " + ratePpm + "\n");
        } catch (IOException e) {
            throw new UncheckedIOException("the clock of n" + process + " can't be set", e);
        }
    }

    private void replace(Path file, String text) throws IOException {
        var beside = folder.resolve(file.getFileName() + ".part");
        Files.writeString(beside, text);
        Files.move(beside, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Takes the copy of a disk that a later strike puts back. */
    void copyDisk(Strike strike) throws IOException {
        Folders.copy(disk(strike.target()), copy(strike));
    }

    /** What the process finds at its next start. */
    synchronized void diskAtStart(Strike strike) {
        if (strike.disk() != Disk.KEPT) {
            disks.put(strike.target(), strike.disk());
            olds.put(strike.target(), copy(strike));
        }
    }

    /** Something to be done once, when the site stands and before any process starts. */
    synchronized void beforeFirst(Runnable step) {
        beforeFirst = step;
    }

    @Override
    public synchronized void starting(int process) throws IOException {
        var step = beforeFirst;
        beforeFirst = () -> { };
        step.run();
        var wanted = disks.remove(process);
        if (wanted == null) {
            return;
        }
        Folders.delete(disk(process));
        if (wanted == Disk.OLD) {
            Folders.copy(olds.get(process), disk(process));
        }
        Files.createDirectories(disk(process));
    }

    @Override
    public void close() {
        if (peers != null) {
            peers.close();
        }
        proxy.close();
    }
}
