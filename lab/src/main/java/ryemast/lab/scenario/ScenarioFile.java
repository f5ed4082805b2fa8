package ryemast.lab.scenario;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import ryemast.lab.world.Chance;
import ryemast.toml.Faults;
import ryemast.toml.FaultyFileException;
import ryemast.toml.Nearest;
import ryemast.toml.TomlTable;

/**
 * A scenario file, read and checked whole: it is good for every seed, or all that is wrong with it is told at
 * once, each fault with file, line and key. Immutable; {@link #draw} turns each of its ranges and lists into
 * one value by a seed, and the same seed always into the same.
 */
public final class ScenarioFile {

    /** Where scenarios are looked for by name, from the project's folder. */
    private static final Path FOLDER = Path.of("lab", "scenarios");
    private static final String ENDING = ".toml";
    private static final double A_DAY = 86_400;

    private final String name;
    private final String title;
    private final Range length;
    private final Range resolution;
    private final List<String> zones;
    private final List<KindPlan> kinds;
    private final SitePlan site;
    private final DemandPlan demand;
    private final List<FaultPlan> faults;
    private final Set<String> known = new TreeSet<>();

    private ScenarioFile(Path file, TomlTable root) {
        var fileName = file.getFileName().toString();
        name = fileName.endsWith(ENDING) ? fileName.substring(0, fileName.length() - ENDING.length()) :
                fileName;
        var top = new Section(root, "", "run", known);
        title = top.text("title", name);
        length = top.seconds("length_s", Defaults.LENGTH, 0.1, A_DAY);
        resolution = top.millis("resolution_ms", Defaults.RESOLUTION, 0.001, 1_000);
        zones = zones(root, top);
        kinds = kinds(root);
        Function<String, Section> section = table -> new Section(root.table(table), table, table, known);
        site = SitePlan.read(section, kinds);
        demand = DemandPlan.read(section, root.tables("class"), root.tables("tenant"),
                file.toAbsolutePath().getParent(), known);
        checkSlots(root);
        var named = new FaultPlan.Site(kinds, zones, demand.classes().stream().map(DemandPlan.ClassPlan::name)
                .toList(), site.leastDispatchers(), length);
        faults = new ArrayList<>();
        int number = 0;
        for (var table : root.tables("fault")) {
            faults.add(FaultPlan.timed(table, number++, named, known));
        }
        number = 0;
        for (var table : root.tables("random_fault")) {
            faults.add(FaultPlan.random(table, number++, named, known));
        }
    }

    private static List<String> zones(TomlTable root, Section top) {
        var zones = top.texts("zones", List.of(Defaults.ZONE), List.of());
        zones.forEach(each -> Section.checkName(root, "zones", each));
        if (new HashSet<>(zones).size() < zones.size()) {
            root.complain("zones", "holds a name for the second time; expected names of their own");
        }
        return zones;
    }

    private List<KindPlan> kinds(TomlTable root) {
        var tables = root.tables("kind");
        if (tables.isEmpty() && !root.has("kind")) {
            root.complain("kind", "is missing; expected at least one [[kind]] of boxes");
        }
        var plans = new ArrayList<KindPlan>();
        var names = new HashSet<String>();
        for (var table : tables) {
            var kind = Section.name(table, names, known, "kind");
            plans.add(KindPlan.read(new Section(table, "kind", "kind " + kind, known), kind, zones));
        }
        double least = plans.stream().mapToDouble(each -> each.count().low()).sum();
        double most = plans.stream().mapToDouble(each -> each.count().high()).sum();
        if (!plans.isEmpty() && (least < 1 || most > 10_000)) {
            tables.get(0).complain("count", "makes for " + (long) (least < 1 ? least : most)
                    + " boxes; expected 1 to 10000 of all kinds together");
        }
        return plans;
    }

    /** A job that fits nowhere would wait for ever. */
    private void checkSlots(TomlTable root) {
        double room = kinds.stream().filter(each -> each.count().low() >
                0).mapToDouble(KindPlan::leastSlots).max()
                .orElse(Double.MAX_VALUE);
        var tables = root.tables("class");
        for (int i = 0; i < tables.size(); i++) {
            if (demand.classes().get(i).slots().high() > room) {
                tables.get(i).complain("slots", "is " + (long) demand.classes().get(i).slots().high()
                        + "; expected at most " + (long) room +
                        ", which the largest kind of box has for certain");
            }
        }
    }

    /** Throws all that is wrong with the file. */
    public static ScenarioFile read(Path file) throws FaultyFileException {
        var faults = new Faults();
        var root = TomlTable.read(file, faults);
        if (root == null) {
            faults.raise();
        }
        var read = new ScenarioFile(file, root);
        root.done();
        faults.raise();
        return read;
    }

    /** A path, or the name of one of the scenarios that come with the program. */
    public static ScenarioFile named(String nameOrPath) throws FaultyFileException {
        return named(nameOrPath, "");
    }

    /** As {@link #named(String)}; {@code group}: a folder of scenarios that belong together. */
    public static ScenarioFile named(String nameOrPath, String group) throws FaultyFileException {
        boolean isPath = nameOrPath.endsWith(ENDING) || nameOrPath.contains("/") || nameOrPath.contains("\\");
        if (isPath) {
            try {
                return read(Path.of(nameOrPath));
            } catch (InvalidPathException e) {
                throw new FaultyFileException(nameOrPath + ": no file can have such a name");
            }
        }
        var names = names(group);
        var folder = home().resolve(FOLDER).resolve(group);
        if (names.contains(nameOrPath)) {
            return read(folder.resolve(nameOrPath + ENDING));
        }
        var near = Nearest.to(nameOrPath, names);
        throw new FaultyFileException("there is no scenario \"" + nameOrPath + "\""
                + (near == null ? "" : " (" + near + " perhaps)") + "; expected a file's path or "
                + (names.isEmpty() ? "a name, but none is in " + folder
                        : "one of " + String.join(", ", names)));
    }

    /** The scenarios that come with the program, in the order of their names. */
    public static List<String> names() {
        return names("");
    }

    /** Those of one group. */
    public static List<String> names(String group) {
        var folder = home().resolve(FOLDER).resolve(group);
        if (!Files.isDirectory(folder)) {
            return List.of();
        }
        try (var files = Files.list(folder)) {
            return files.map(each -> each.getFileName().toString()).filter(each -> each.endsWith(ENDING))
                    .map(each -> each.substring(0, each.length() - ENDING.length())).sorted().toList();
        } catch (IOException e) {
            return List.of();
        }
    }

    /** The project's folder: {@code ryemast.home}, or the nearest above the program or the current folder. */
    private static Path home() {
        var said = System.getProperty("ryemast.home");
        if (said != null) {
            return Path.of(said);
        }
        var here = Path.of("").toAbsolutePath();
        try {
            var program =
                    Path.of(ScenarioFile.class.getProtectionDomain().getCodeSource().getLocation().toURI());
            for (var start : List.of(program, here)) {
                for (var folder = start; folder != null; folder = folder.getParent()) {
                    if (Files.isDirectory(folder.resolve(FOLDER))) {
                        return folder;
                    }
                }
            }
        } catch (URISyntaxException e) {
            return here;
        }
        return here;
    }

    public String name() {
        return name;
    }

    public String title() {
        return title;
    }

    /** Every key that a scenario file may hold, as {@code table.key}. */
    Set<String> known() {
        return known;
    }

    /** One site for one run. */
    public Scenario draw(long seed) {
        var chance = new Chance(seed);
        var boxes = Fleet.draw(kinds, zones, Choice.constant(SitePlan.Weights.class,
                site.weights().draw(chance)), chance);
        var classes = demand.drawClasses(chance);
        double capacity = Fleet.jobsPerSecond(boxes, classes);
        var dispatchers = site.dispatchers().apply(chance);
        long drawnLength = length.time(chance);
        var drawnFaults = faults.stream()
                .flatMap(each -> each.draw(boxes, dispatchers.count(), drawnLength, chance).stream())
                .sorted((a, b) -> Long.compare(a.at(), b.at())).toList();
        return new Scenario(name, title, seed, drawnLength, resolution.time(chance), zones,
                kinds.stream().map(KindPlan::name).toList(), boxes, classes, demand.drawTenants(capacity,
                chance), demand.drawLoad(capacity, chance), demand.clients().apply(chance), dispatchers,
                site.discovery().apply(chance), site.telling().apply(chance), site.rules().apply(chance),
                site.goal(), drawnFaults, site.model().apply(chance));
    }
}
