package ryemast.lab.fit;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import pipitladder.Dispatcher.Outcome;
import ryemast.lab.fit.Seen.Box;

/** The boxes, kind by kind, each with its own speed. */
final class KindTables {

    private final Seen seen;
    private final Platform platform;
    private final Speeds speeds;
    private final Mishaps mishaps;
    private final List<String> untold = new ArrayList<>();
    private final List<Table> tables = new ArrayList<>();
    private final Map<Box, String> names = new LinkedHashMap<>();
    private double capacity;

    KindTables(Seen seen, Platform platform, Speeds speeds, Mishaps mishaps) {
        this.seen = seen;
        this.platform = platform;
        this.speeds = speeds;
        this.mishaps = mishaps;
        for (int kind : seen.boxes().stream().map(box -> box.kind).distinct().sorted().toList()) {
            kind(kind, seen.boxes().stream().filter(box -> box.kind == kind).toList());
        }
    }

    List<Table> tables() {
        return tables;
    }

    List<String> untold() {
        return untold;
    }

    /** As a fault names it. */
    String name(Box box) {
        return names.get(box);
    }

    /** Work that all boxes do in a second, in seconds. */
    double capacity() {
        return capacity;
    }

    private void kind(int kind, List<Box> boxes) {
        var kinds = platform.names("models");
        var name = kind >= 0 && kind < kinds.size() ? kinds.get(kind) : "kind-" + kind;
        var table = new Table("[[kind]]", "kind " + name);
        table.text("name", name, "");
        var of = speeds.ofKind(kind);
        double middle = of[0].known() ? of[0].value() : 1;
        var values = new ArrayList<String>();
        for (int i = 0; i < boxes.size(); i++) {
            var box = boxes.get(i);
            names.put(box, name + " " + (i + 1));
            var speed = speeds.of(box);
            values.add(Table.literal(speed.known() ? speed.value() : middle));
            capacity += speed.known() ? speed.value() * cores(kind) : middle * cores(kind);
            table.remark(name + " " + (i + 1) + ": speed " + (speed.known() ? Figure.text(speed.value())
                    + ", " + speed.words()
                    : "not known, too few runs; that of its kind stands in"));
        }
        table.raw("speeds", "[" + String.join(", ", values) + "]", of[0], "the kind's mean: "
                + (of[0].known() ? Figure.text(of[0].value()) : "not known"));
        if (of[1].known()) {
            table.remark("its boxes differ by a coefficient of variation of " + Figure.text(of[1].value())
                    + " beyond chance");
        }
        if (!of[0].known()) {
            untold.add("the speed of " + name + ": no box of it ran enough jobs; 1 stands in");
        }
        cores(table, kind, name);
        queue(table, name, boxes, kind);
        errors(table, boxes);
        table.raw("zones", "[" + String.join(", ", boxes.stream().map(box -> zone(box)).distinct()
                .map(Table::quoted).toList()) + "]", null, "");
        var rules = platform.object("obligations");
        table.number("cold_from", Math.max(0.001, Math.min(1,
                Platform.number(rules, "start_capacity", 0.25))),
                "the settings' least");
        table.number("cold_s", Platform.number(rules, "cold", 1e7) / 1e6, "the settings' longest");
        table.number("idle_s", Math.max(0.01, Platform.number(platform.object("allowed"), "conn_idle",
                5e6) / 1e6), "");
        var handedBack = boxes.stream().flatMap(box -> box.attempts.stream())
                .anyMatch(each -> each.outcome == Outcome.REJECTED && each.acceptedAt != Seen.NEVER);
        table.flag("drain_hands_back", handedBack, handedBack
                ? "jobs that had been accepted came back unstarted" : "");
        tables.add(table);
    }

    private String zone(Box box) {
        var zones = platform.names("areas");
        return box.zone >= 0 && box.zone < zones.size() ? zones.get(box.zone) : "room-1";
    }

    private int cores(int kind) {
        return speeds.cores().get(kind).cores();
    }

    private void cores(Table table, int kind, String name) {
        var cores = speeds.cores().get(kind);
        table.raw("cores", String.valueOf(cores.cores()), null, "from " + cores.samples() + " runs; "
                + (cores.atLeast() ? "more than " + cores.mostAtOnce()
                + " jobs at once were never seen, so that there"
                + " may be more" : "with more at once, jobs took longer; at most " + cores.mostAtOnce()
                + " ran at once"));
        double slots = (double) cores.mostAtOnce() / cores.cores();
        table.number("slots_per_core", slots, "the most that ran at once");
        if (cores.atLeast()) {
            untold.add("whether " + name + " has more than " + cores.cores()
                    + " cores: no more jobs ran there at once");
        }
    }

    /** A box that turns away while it lives is full; the fewest that waited then is what the queue holds. */
    private void queue(Table table, String name, List<Box> boxes, int kind) {
        int most = 0;
        var full = new ArrayList<Double>();
        for (var box : boxes) {
            var changes = new ArrayList<long[]>();
            for (var each : box.attempts) {
                if (each.acceptedAt != Seen.NEVER && each.outcome != Outcome.REJECTED) {
                    changes.add(new long[] {each.acceptedAt, 1, 0});
                    changes.add(new long[] {Math.min(each.startedAt, Math.min(each.endedAt, seen.length())),
                            -1, 0});
                } else if (each.outcome == Outcome.REJECTED && each.acceptedAt == Seen.NEVER) {
                    changes.add(new long[] {each.sentAt, 0, 1});
                }
            }
            changes.sort((a, b) -> a[0] != b[0] ? Long.compare(a[0], b[0]) : Long.compare(a[1], b[1]));
            int waiting = 0;
            for (var change : changes) {
                waiting += (int) change[1];
                most = Math.max(most, waiting);
                if (change[2] == 1 && platform.tellsStarts()) {
                    full.add((double) waiting);
                }
            }
        }
        var seenFull = Stats.median(full.stream().mapToDouble(Double::doubleValue).toArray(),
                "turnings away");
        double queue = seenFull.samples() >= 6 ? seenFull.value() : most;
        if (seenFull.samples() >= 6) {
            table.figure("queue_per_core", seenFull.times(1.0 / cores(kind)), 0, 100_000);
        } else {
            double atLeast = Math.max(6, queue / cores(kind));
            table.number("queue_per_core", atLeast, "it was never full; as many as " + most + " waited");
            untold.add("how long a queue " + name + " holds: it was "
                    + (full.isEmpty() ? "never" : "hardly ever")
                    + " full; at least " + most);
        }
    }

    private void errors(Table table, List<Box> boxes) {
        long ended = 0;
        long errors = 0;
        for (var box : boxes) {
            for (var each : box.attempts) {
                double at = each.sentAt / 1e6;
                boolean inSpell = mishaps.all().stream().anyMatch(fault -> (fault.box() == box
                        || fault.jobClass() == each.job.jobClass) && at >= fault.atS().value()
                        && at <= fault.atS().value() + fault.forS().value());
                if (each.ended() && !inSpell) {
                    ended++;
                    errors += each.outcome == Outcome.ERROR ? 1 : 0;
                }
            }
        }
        table.figure("error_rate", Stats.share(errors, ended, "runs that ended, outside of spells"), 0, 1);
    }
}
