package ryemast.lab.fit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.apache.commons.rng.simple.RandomSource;
import pipitladder.Dispatcher.Outcome;
import ryemast.lab.fit.Seen.Attempt;
import ryemast.lab.fit.Seen.Request;
import ryemast.lab.fit.Tries.Behaviour;
import ryemast.lab.fit.Works.Sample;
import ryemast.lab.scenario.Replay;
import ryemast.lab.scenario.Scenario.Spread;

/** What jobs there are, whose they are, what they cost and when they come. */
final class DemandTables {

    private static final double SECOND = 1e6;
    private static final double MS = 1e3;

    private final Seen seen;
    private final Platform platform;
    private final Speeds speeds;
    private final Mishaps mishaps;
    private final List<Request> first;
    private final Map<Integer, List<Sample>> samples = new HashMap<>();
    private final Map<Integer, Works.Fitted> works = new HashMap<>();
    private final List<String> untold = new ArrayList<>();
    private final List<Table> tables = new ArrayList<>();
    private final Shapes.Fitted shape;
    private double meanWork;

    DemandTables(Seen seen, Platform platform, Speeds speeds, Mishaps mishaps, List<Attempt> runs,
            List<Request> first, Behaviour behaviour) {
        this.seen = seen;
        this.platform = platform;
        this.speeds = speeds;
        this.mishaps = mishaps;
        this.first = first;
        var of = runs.stream().filter(run -> speeds.tells(run) && run.outcome != Outcome.ERROR).toList();
        for (var run : Runs.onePerJob(of, seen.length())) {
            // An error may come at any time of a run, so that its length says nothing of the job's cost.
            if (!mishaps.isHeavy(run)) {
                samples.computeIfAbsent(run.job.jobClass, c -> new ArrayList<>())
                        .add(new Sample(speeds.work(run), run.done()));
            }
        }
        double from = first.get(0).at / SECOND;
        // From the first job to the last: what was recorded before and after says nothing of when jobs come.
        shape = Shapes.fit(first.stream().mapToDouble(job -> job.at / SECOND - from).toArray(),
                Math.max(1e-3, first.get(first.size() - 1).at / SECOND - from));
        classes();
        tenants();
    }

    List<Table> tables() {
        return tables;
    }

    List<String> untold() {
        return untold;
    }

    Shapes.Fitted shape() {
        return shape;
    }

    /** Of a job of the average class. */
    double meanWorkSeconds() {
        return Math.max(1e-6, meanWork);
    }

    private void classes() {
        var classes = platform.classes();
        var shares = Shapes.shares(first, classes.size(), job -> job.jobClass, "jobs");
        for (int i = 0; i < classes.size(); i++) {
            var one = classes.get(i);
            var table = new Table("[[class]]", "class " + one.name());
            table.text("name", one.name(), "");
            table.figure("share", shares[i], 0.0001, 1);
            var fitted = Works.fit(samples.getOrDefault(i, List.of()), speeds.commonError());
            if (fitted != null) {
                works.put(i, fitted);
                table.figure("work_ms", fitted.meanMs(), 0.001, 3_600_000);
                table.text("spread", fitted.spread().name().toLowerCase(Locale.ROOT),
                        fitted.cut() == 0 ? "" : fitted.cut()
                        + " of the jobs were cut short; they count as having cost more");
                if (fitted.spread() == Spread.LOGNORMAL || fitted.spread() == Spread.PARETO) {
                    table.figure("cv", fitted.cv(), 0, 20);
                }
                meanWork += shares[i].value() * fitted.meanMs().value() / MS;
                if (fitted.meanMs().high() == Double.POSITIVE_INFINITY) {
                    untold.add("how heavy the tail of " + one.name()
                            + " is: a mean without bound is within its interval");
                }
            } else {
                var hints = first.stream().filter(job -> job.hint > 0 && job.jobClass == classes.indexOf(one))
                        .mapToDouble(job -> job.hint / MS).toArray();
                var mean = Stats.mean(hints, "hints, as too few jobs were seen to run");
                table.figure("work_ms", mean, 0.001, 3_600_000);
                meanWork += shares[i].value() * (mean.known() ? mean.value() : 100) / MS;
                untold.add("what jobs of " + one.name() + " cost: too few were seen to run to their end");
            }
            table.number("aim_ms", one.aim() / MS, "");
            table.number("stretch", one.stretch(), "");
            table.number("deadline_ms", Math.max(1, one.deadline() / MS), "");
            table.number("worth", one.worth(), "");
            table.number("late_worth", one.lateWorth(), "");
            table.text("effect", one.effect().name().toLowerCase(Locale.ROOT).replace('_', '-'), "");
            slots(table, i);
            tables.add(table);
        }
    }

    private void slots(Table table, int jobClass) {
        var sizes = first.stream().filter(job -> job.jobClass == jobClass).mapToDouble(job -> job.slots)
                .sorted()
                .toArray();
        if (sizes.length > 0 && Stats.median(sizes) > 1) {
            table.number("slots", Math.rint(Stats.median(sizes)),
                    "the middle one; a scenario's class has one size");
        }
    }

    private void tenants() {
        var tenants = platform.tenants();
        var shares = Shapes.shares(first, tenants.size(), job -> job.tenant, "jobs");
        double all = tenants.stream().mapToDouble(Platform.Tenant::portion).sum();
        for (int i = 0; i < tenants.size(); i++) {
            var table = new Table("[[tenant]]", "tenant " + tenants.get(i).name());
            double portion = all > 0 ? tenants.get(i).portion() / all : 1.0 / tenants.size();
            table.text("name", tenants.get(i).name(), "");
            table.number("share", Math.max(0.0001, portion), "");
            table.figure("usage", shares[i].times(1 / Math.max(0.0001, portion)), 0, 1_000);
            tables.add(table);
        }
    }

    /**
     * The very jobs. What one cost is what its run took; for one that never came to its end, a cost is drawn
     * from those of its class that were seen to cost more, or its hint taken where none was.
     */
    List<Replay.Job> replay() {
        var draw = RandomSource.XO_RO_SHI_RO_128_PP.create(1L);
        var sorted = new HashMap<Integer, double[]>();
        samples.forEach((jobClass, of) -> sorted.put(jobClass, of.stream().filter(Sample::done)
                .mapToDouble(Sample::work).sorted().toArray()));
        var jobs = new ArrayList<Replay.Job>();
        long drawn = 0;
        for (var job : first.stream().sorted(Comparator.comparingLong(each -> each.at)).toList()) {
            double known = Double.NaN;
            double least = 0;
            boolean poisoned = false;
            for (var each = job; each != null; each = each.next) {
                for (var attempt : each.attempts) {
                    poisoned |= attempt.outcome == Outcome.ERROR && inPoison(job);
                    if (attempt.started() && speeds.tells(attempt)) {
                        double work = speeds.work(attempt);
                        known = attempt.done() ? work : known;
                        least = Math.max(least, work);
                    }
                }
            }
            if (Double.isNaN(known)) {
                drawn++;
                known = more(sorted.getOrDefault(job.jobClass, new double[0]), least, job.hint,
                        draw.nextDouble());
            }
            jobs.add(new Replay.Job(job.at, job.jobClass, job.tenant, job.hint, Math.max(1, known),
                    poisoned));
        }
        if (drawn > 0) {
            untold.add("in the replay, the cost of " + drawn
                    + " jobs that were not seen to end: drawn from those of"
                    + " their class that cost more than was seen of them, or their hint");
        }
        return jobs;
    }

    private boolean inPoison(Request job) {
        return mishaps.all().stream().anyMatch(each -> each.kind().equals("poisoned")
                && each.jobClass() == job.jobClass && job.at / SECOND >= each.atS().value()
                && job.at / SECOND <= each.atS().value() + each.forS().value());
    }

    private static double more(double[] sorted, double least, long hint, double draw) {
        if (least <= 0 && hint > 0) {
            return hint;
        }
        int from = 0;
        while (from < sorted.length && sorted[from] < least) {
            from++;
        }
        return from < sorted.length ? sorted[from + (int) (draw * (sorted.length - from))]
                : Math.max(least, Math.max(hint, 1));
    }
}
