package ryemast.lab.scenario;

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
import ryemast.toml.TomlTable;

/**
 * A scenario file, read and checked whole: it is good for every seed, or all that is wrong with it is told at
 * once, each fault with file, line and key. Immutable; {@link #draw} turns each of its ranges and lists into
 * one value by a seed, and the same seed always into the same.
 */
public final class ScenarioFile {

    /** Where scenarios are looked for by name, from the project's folder. */
    private static final Path FOLDER = Path.of("lab", "scenarios");
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
        name = Shelf.plain(file.getFileName().toString());
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

    /**
     * The scenario that a file holds beside other things: takes its own tables, and leaves it to the caller
     * to ask for the rest and to tell of faults; until then nothing may be drawn from it.
     */
    public static ScenarioFile part(Path file, TomlTable root) {
        return new ScenarioFile(file, root);
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
        return read(shelf(group).find(nameOrPath));
    }

    private static Shelf shelf(String group) {
        return new Shelf(FOLDER.resolve(group), "scenario");
    }

    /** The scenarios that come with the program, in the order of their names. */
    public static List<String> names() {
        return names("");
    }

    /** Those of one group. */
    public static List<String> names(String group) {
        return shelf(group).names();
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
