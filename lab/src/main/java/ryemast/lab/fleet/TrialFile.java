package ryemast.lab.fleet;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.regex.Pattern;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.scenario.Scenario.Effect;
import ryemast.lab.scenario.ScenarioFile;
import ryemast.lab.scenario.Shelf;
import ryemast.lab.world.Chance;
import ryemast.toml.Faults;
import ryemast.toml.FaultyFileException;
import ryemast.toml.TomlTable;

/**
 * A trial's file, read and checked whole: a scenario's own tables, beside them what is the fleet's, what
 * strikes it and which fires are expected of it. All that is wrong is told at once, with file, line and key.
 * docs/lab-fleet.md explains each key.
 */
public final class TrialFile {

    /** Where trials are looked for by name, from the project's folder. */
    public static final Shelf SHELF = new Shelf(Path.of("lab", "trials"), "trial");
    static final int LEAST_PROCESSES = 2;
    static final int MOST_PROCESSES = 20;
    private static final double MICROS = 1e6;
    private static final double A_DAY = 86_400;
    private static final double USUAL_LENGTH = 30;
    private static final double USUAL_QUIET = 3;
    /** The quiet end is no more than this part of a run: a short one is to be struck as well. */
    private static final int QUIET_AT_MOST = 3;
    /** Two leases of 3 s, as one to lapse and one to act in, and time for the job. */
    private static final double USUAL_PATIENCE = 8;
    private static final int MOST_COPIES = 10_000;
    /** Longer than a takeover with a lease of 3 s takes on a machine with much else to do. */
    private static final long USUAL_WINDOW = 12;
    private static final long DAY_S = 86_400;
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,39}");

    private final String call;
    private final ScenarioFile scenario;
    private final List<StrikeTable> strikes = new ArrayList<>();
    private final double[] start;
    private final int leastUp;
    private final double quiet;
    private final double patience;
    private final String operator;
    private final String timetable;
    private final List<EntryTable> entries = new ArrayList<>();
    private final ReservedTable reserved;
    private final double leans;

    private record EntryTable(String name, String path, String jobClass, double every, long jitter,
            String missed, int copies, boolean spread, long window) {
    }

    private TrialFile(String call, Path file, TomlTable root) {
        this.call = call;
        scenario = ScenarioFile.part(file, root);
        var processes = root.table("dispatchers").range("count", 1, 1, 1, 256);
        if (processes[0] < LEAST_PROCESSES || processes[1] > MOST_PROCESSES) {
            root.table("dispatchers").complain("count", "makes for a fleet of " + (long) processes[0] + " to "
                    + (long) processes[1] + "; expected " + LEAST_PROCESSES + " to " + MOST_PROCESSES);
        }
        double length = root.range("length_s", USUAL_LENGTH, USUAL_LENGTH, 0.1, A_DAY)[0];
        boolean agents = root.table("discovery").flag("consul", false);
        var fleet = root.table("fleet");
        start = fleet.has("start") ? fleet.range("start", 1, 1, 1, processes[0]) : null;
        leastUp = (int) fleet.whole("least_up", 1, 0, MOST_PROCESSES);
        quiet = fleet.number("quiet_s", USUAL_QUIET, 0, A_DAY);
        patience = fleet.number("patience_s", USUAL_PATIENCE, 0.1, A_DAY);
        operator = fleet.text("operator", "");
        timetable = fleet.text("timetable", "");
        leans = fleet.number("leans", 0, 0, 1);
        int number = 0;
        for (var table : root.tables("strike")) {
            strikes.add(StrikeTable.read(table, "strike " + number++, false, length, agents));
        }
        number = 0;
        for (var table : root.tables("random_strike")) {
            strikes.add(StrikeTable.read(table, "random strike " + number++, true, length, agents));
        }
        revisesAlone(root);
        var classes = root.tables("class").stream().map(each -> each.text("name", "")).toList();
        var names = new HashSet<String>();
        root.tables("entry").forEach(table -> entries.add(entry(table, classes, names)));
        reserved = new ReservedTable(fleet, root.tables("reservation"),
                root.tables("tenant").stream().map(each -> each.text("name", "")).toList(), classes);
        root.tables("fault").forEach(table -> ownFaultsOnly(table, "kind"));
        root.tables("random_fault").forEach(table -> ownFaultsOnly(table, "kinds"));
    }

    /** A signal to read files anew ends a process that has not come so far as to hear of it. */
    private void revisesAlone(TomlTable root) {
        var kinds = strikes.stream().flatMap(each -> each.kinds().stream()).toList();
        if (kinds.contains(StrikeKind.REVISE) && kinds.stream().anyMatch(StrikeKind::starts)) {
            root.complain("random_strike", "holds revise beside strikes that start processes; expected it"
                    + " without, as the signal to read a file anew would end one that is just starting");
        }
    }

    private static EntryTable entry(TomlTable in, List<String> classes, HashSet<String> names) {
        var name = in.text("name", "");
        if (!NAME.matcher(name).matches() || !names.add(name)) {
            in.complain("name", "is \"" + name + "\"; expected a name of its own of up to 40 letters, digits,"
                    + " dots, dashes or underscores, a letter or digit first");
        }
        var path = in.text("path", "/" + name);
        if (!path.startsWith("/")) {
            in.complain("path", "is \"" + path + "\"; expected one that begins with /");
        }
        double every = in.number("every_s", 1, 1, A_DAY);
        long jitter = in.whole("jitter_s", 0, 0, DAY_S);
        if (jitter >= every) {
            in.complain("jitter_s", "is " + jitter + "; expected less than every_s, " + every
                    + ", as what reaches further is shrunk and the books don't reckon with that");
        }
        return new EntryTable(name, path, in.oneOf("class", classes.isEmpty() ? "" : classes.get(0), classes),
                every, jitter,
                in.oneOf("missed", "skip", List.of("skip", "last", "all")),
                (int) in.whole("copies", 1, 1, MOST_COPIES), in.flag("spread", false),
                in.whole("window_s", USUAL_WINDOW, 1, DAY_S));
    }

    /** What the plan doesn't know of would strike in its midst. */
    private static void ownFaultsOnly(TomlTable table, String key) {
        if (table.texts(key).stream().anyMatch(each -> each.startsWith("dispatcher-")
                || each.startsWith("discovery-"))) {
            table.complain(key, "strikes dispatchers or discovery, which in a trial is for [[strike]] and"
                    + " [[random_strike]]; expected faults of boxes or jobs");
        }
    }

    /** A path, or the name of one of the trials that come with the program; throws all that is wrong. */
    public static TrialFile named(String nameOrPath) throws FaultyFileException {
        var file = SHELF.find(nameOrPath);
        var faults = new Faults();
        var root = TomlTable.read(file, faults);
        if (root == null) {
            faults.raise();
        }
        var read = new TrialFile(nameOrPath, file, root);
        root.done();
        faults.raise();
        return read;
    }

    public String title() {
        return scenario.title();
    }

    /** Null or 0: as the file says. */
    public Trial draw(long seed, int processes, Double seconds) {
        var drawn = scenario.draw(seed);
        if (seconds != null && seconds * MICROS < drawn.length()) {
            drawn = Sized.first(drawn, Math.round(seconds * MICROS));
        }
        if (processes > 0) {
            drawn = Sized.to(drawn, processes);
        }
        var chance = new Chance(seed);
        int count = drawn.dispatchers().count();
        int atOnce = start == null ? count
                : (int) Math.round(StrikeTable.drawn(start, chance.stream("fleet start", 0)));
        var limits = new Plan.Limits(count, Math.min(count, atOnce), leastUp,
                drawn.length() - Math.min(Math.round(quiet * MICROS), drawn.length() / QUIET_AT_MOST));
        var found = new ArrayList<Trial.Entry>();
        var text = new TimetableText(drawn, seed);
        for (var each : entries) {
            entries(each, drawn, found, text);
        }
        return new Trial(call, seed, drawn, Plan.draw(strikes, limits, chance), operator,
                timetable.isEmpty() && !found.isEmpty() ? text.toString() : timetable, found,
                Math.round(patience * MICROS), reserved.drawn(drawn), leans);
    }

    private static void entries(EntryTable each, Scenario drawn, List<Trial.Entry> found,
            TimetableText text) {
        int jobClass = 0;
        while (!drawn.classes().get(jobClass).name().equals(each.jobClass)) {
            jobClass++;
        }
        var its = drawn.classes().get(jobClass);
        for (int i = 0; i < each.copies; i++) {
            var copy = each.copies == 1 ? "" : "-" + i;
            long phase = each.spread ? (long) (each.every * i / each.copies) : 0;
            found.add(new Trial.Entry(each.name + copy, each.path + copy, jobClass,
                    its.effect() == Effect.SINGLE_SHOT, its.meanWork(), Math.round(each.every * MICROS),
                    Math.round(phase * MICROS), Math.round(each.jitter * MICROS), drawn.seed(),
                    each.missed.equals("skip")));
            text.add(each.name + copy, each.path + copy, each.jobClass, Math.round(each.every), phase,
                    each.jitter, each.window, each.missed);
        }
    }
}
