package ryemast.lab.fit;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import pipitladder.Dispatcher.Outcome;
import ryemast.lab.fit.Seen.Attempt;
import ryemast.lab.fit.Seen.Box;

/**
 * How fast boxes are.
 *
 * <p>Each run gives the logarithm of the cost to be expected ({@link Expected}) over its time; for a box
 * these scatter about the logarithm of its speed. The middle is their median, so that jobs that cost any
 * multiple, and runs that were cut short (whose ratio can only be too high), hardly move it. Without hints
 * speeds are relative: their mean is 1 by assumption.
 *
 * <p>Left out: runs at a box that may still be cold, and where more jobs ran at once than it has cores their
 * times are brought back to what they would have been alone.
 */
final class Speeds {

    private static final int FEW = 6;
    /** Hints must be this common to be gone by. */
    private static final double MOSTLY = 0.5;
    private static final double SLOWER = 1.15;
    /** More at once for so small a part of the time is the news of an end that comes late. */
    private static final double HARDLY = 0.04;

    /**
     * A stretch of time in which a box went slower than it can.
     *
     * @param factor  how much slower
     */
    record Slow(Box box, Figure fromS, Figure untilS, Figure factor) {
    }

    /**
     * @param cores  running jobs that don't slow one another; {@code atLeast}: more were never seen at once
     */
    record Cores(int cores, boolean atLeast, int mostAtOnce, long samples) {
    }

    private final Seen seen;
    private final List<Attempt> runs;
    private final long coldFor;
    private final boolean hinted;
    private Expected expected;
    private final Map<Integer, Cores> cores = new TreeMap<>();
    private final Map<Box, Figure> logSpeeds = new HashMap<>();
    private final List<Slow> slow = new ArrayList<>();

    Speeds(Seen seen, List<Attempt> runs, long coldFor) {
        this.seen = seen;
        this.runs = runs;
        this.coldFor = coldFor;
        long with = runs.stream().filter(each -> each.job.hint > 0).count();
        hinted = with >= MOSTLY * runs.size() && with > 0;
        learn();
        for (int kind : seen.boxes().stream().map(box -> box.kind).distinct().sorted().toList()) {
            cores.put(kind, cores(kind));
        }
        learn();
        for (var box : seen.boxes()) {
            box(box);
        }
    }

    private void learn() {
        var usable = seen.boxes().stream().flatMap(box -> usable(box).stream()).toList();
        expected = new Expected(usable, run -> hinted ? Math.log(run.job.hint) : 0,
                run -> Math.log(run.ran(seen.length())) + crowding(run));
    }

    boolean hinted() {
        return hinted;
    }

    Map<Integer, Cores> cores() {
        return cores;
    }

    List<Slow> slow() {
        return slow;
    }

    /** Work of one core in a second; unknown where too few runs were seen. */
    Figure of(Box box) {
        var log = logSpeeds.getOrDefault(box, Figure.none("runs"));
        return new Figure(Math.exp(log.value()), Math.exp(log.low()), Math.exp(log.high()), log.samples(),
                log.what());
    }

    /** The logarithm of the speed at which it ran then, with what was slow then taken in; NaN: not known. */
    double logAt(Box box, long at) {
        double speed = logSpeeds.containsKey(box) ? logSpeeds.get(box).value() : Double.NaN;
        for (var each : slow) {
            if (each.box == box && at >= each.fromS.value() * 1e6 && at < each.untilS.value() * 1e6) {
                speed -= Math.log(each.factor.value());
            }
        }
        return speed;
    }

    /** What this run would have cost at speed 1, in microseconds of one core, as far as it was seen; NaN. */
    double work(Attempt run) {
        return run.ran(seen.length()) * Math.exp(logAt(run.box, run.startedAt) + crowding(run));
    }

    /** The logarithm of the run's cost over what was to be expected. */
    double excess(Attempt run) {
        return Math.log(work(run)) - expected.of(run);
    }

    /** Whether the run's time tells of its cost. */
    boolean tells(Attempt run) {
        long started = run.box.startedBy(run.startedAt);
        boolean warm = started == Long.MIN_VALUE || run.startedAt - started >= coldFor;
        return warm && !Double.isNaN(logAt(run.box, run.startedAt));
    }

    /** The kind's speed and how its boxes differ beyond what chance makes of the samples. */
    Figure[] ofKind(int kind) {
        var logs = new ArrayList<Double>();
        double errors = 0;
        long samples = 0;
        for (var box : seen.boxes()) {
            var log = logSpeeds.get(box);
            if (box.kind == kind && log != null && !Double.isNaN(log.low())) {
                logs.add(log.value());
                double error = (log.high() - log.low()) / (2 * 1.96);
                errors += error * error;
                samples += log.samples();
            }
        }
        var values = logs.stream().mapToDouble(Double::doubleValue).toArray();
        if (values.length == 0) {
            return new Figure[] {Figure.none("runs at boxes of this kind"), Figure.none("boxes")};
        }
        double mean = Arrays.stream(values).average().orElse(0);
        double between = Math.max(0, Stats.variance(values, mean) - errors / values.length);
        double error = Math.sqrt((between + errors / values.length) / values.length);
        double half = 1.96 * error;
        double centre = Math.exp(mean + between / 2);
        var speed = new Figure(centre, centre * Math.exp(-half), centre * Math.exp(half), samples,
                "runs at " + values.length + " boxes");
        double cv = Math.sqrt(Math.expm1(between));
        return new Figure[] {speed, new Figure(cv, Double.NaN, Double.NaN, values.length, "boxes")};
    }

    private double crowding(Attempt run) {
        var here = cores.get(run.box.kind);
        return here == null || run.crowd <= here.cores ? 0 : Math.log(here.cores / run.crowd);
    }

    /** Logarithm of the cost to be expected over the time. */
    private double ratio(Attempt run) {
        return expected.of(run) - Math.log(run.ran(seen.length()));
    }

    private List<Attempt> usable(Box box) {
        return box.attempts.stream().filter(run -> run.started() && (run.done() || run.outcome == null
                || run.outcome == Outcome.TIMED_OUT))
                .filter(run -> !hinted || run.job.hint > 0)
                .filter(run -> {
                    long started = box.startedBy(run.startedAt);
                    return started == Long.MIN_VALUE || run.startedAt - started >= coldFor;
                }).toList();
    }

    /**
     * So many cores as make the times agree best: with c cores, k jobs at once each take k / c times as long.
     * Deviations are added up, not squared, for the sake of wild hints.
     */
    private Cores cores(int kind) {
        var samples = new ArrayList<double[]>();
        double most = 1;
        for (var box : seen.boxes()) {
            if (box.kind == kind) {
                var of = usable(box);
                for (var run : of) {
                    samples.add(new double[] {box.number, run.crowd, ratio(run)});
                    most = Math.max(most, run.crowd);
                }
            }
        }
        int highest = atOnce(kind);
        int best = highest;
        double least = Double.MAX_VALUE;
        for (int c = highest; c >= 1; c--) {
            double sum = deviations(samples, c);
            // More cores unless fewer fit clearly better: a few runs side by side say little.
            if (sum < least * (best == highest && c < highest ? 0.98 : 1)) {
                least = sum;
                best = c;
            }
        }
        return new Cores(best, best == highest, highest, samples.size());
    }

    private static double deviations(List<double[]> samples, int cores) {
        var byBox = new HashMap<Double, List<Double>>();
        for (var each : samples) {
            byBox.computeIfAbsent(each[0], box -> new ArrayList<>())
                    .add(each[2] + Math.log(Math.max(1, each[1] / cores)));
        }
        double sum = 0;
        for (var values : byBox.values()) {
            var sorted = values.stream().mapToDouble(Double::doubleValue).sorted().toArray();
            double median = Stats.median(sorted);
            for (double value : sorted) {
                sum += Math.abs(value - median);
            }
        }
        return sum;
    }

    /** The most jobs that were seen to run at once at one box of the kind, for more than hardly any time. */
    private int atOnce(int kind) {
        int most = 1;
        for (var box : seen.boxes()) {
            if (box.kind == kind) {
                most = Math.max(most, atOnce(box));
            }
        }
        return most;
    }

    private int atOnce(Box box) {
        var changes = new ArrayList<long[]>();
        for (var run : box.attempts) {
            if (run.started()) {
                changes.add(new long[] {run.startedAt, 1});
                changes.add(new long[] {Math.min(run.endedAt, seen.length()), -1});
            }
        }
        changes.sort((a, b) -> a[0] != b[0] ? Long.compare(a[0], b[0]) : Long.compare(a[1], b[1]));
        // For how long at least so many ran.
        var times = new TreeMap<Integer, Long>();
        int now = 0;
        for (int i = 0; i + 1 < changes.size(); i++) {
            now += (int) changes.get(i)[1];
            long lasted = changes.get(i + 1)[0] - changes.get(i)[0];
            for (int count = 1; count <= now; count++) {
                times.merge(count, lasted, Long::sum);
            }
        }
        int most = 1;
        while (times.getOrDefault(most + 1, 0L) > HARDLY * times.getOrDefault(most, 0L)) {
            most++;
        }
        return most;
    }

    private void box(Box box) {
        var own = usable(box);
        if (own.isEmpty()) {
            return;
        }
        var values = own.stream().mapToDouble(run -> ratio(run) - crowding(run)).toArray();
        var stretches = Steps.find(values, seen.boxes().size());
        var middles = new ArrayList<Figure>();
        int fastest = 0;
        for (var each : stretches) {
            middles.add(Stats.median(Arrays.copyOfRange(values, each.from(), each.to()), "runs"));
            if (middles.get(middles.size() - 1).value() > middles.get(fastest).value()) {
                fastest = middles.size() - 1;
            }
        }
        var base = middles.get(fastest);
        // All stretches that are about as fast belong to the base.
        var atBase = new ArrayList<Double>();
        for (int i = 0; i < stretches.size(); i++) {
            if (!slower(base, middles.get(i))) {
                for (int v = stretches.get(i).from(); v < stretches.get(i).to(); v++) {
                    atBase.add(values[v]);
                }
            }
        }
        var log = Stats.median(atBase.stream().mapToDouble(Double::doubleValue).toArray(), "runs");
        if (log.samples() >= FEW) {
            logSpeeds.put(box, widened(log));
        }
        for (int i = 0; i < stretches.size(); i++) {
            if (slower(base, middles.get(i))) {
                var next = i + 1 < stretches.size() ? stretches.get(i + 1) : null;
                slow.add(slow(box, own, stretches.get(i), next, log, middles.get(i)));
            }
        }
    }

    double commonError() {
        return expected.commonError();
    }

    /** By what all boxes may be off together. */
    private Figure widened(Figure log) {
        double common = 1.96 * expected.commonError();
        return new Figure(log.value(), log.value() - Math.hypot(log.value() - log.low(), common),
                log.value() + Math.hypot(log.high() - log.value(), common), log.samples(), log.what());
    }

    /** By more than chance, and by enough to matter. */
    private static boolean slower(Figure base, Figure middle) {
        return base.value() - middle.value() > Math.log(SLOWER) && base.low() > middle.high();
    }

    /** The leap itself lies between two runs' starts. */
    private Slow slow(Box box, List<Attempt> own, Steps.Stretch here, Steps.Stretch next, Figure base,
            Figure middle) {
        double second = 1e6;
        var from = here.from() == 0 ? new Figure(0, 0, 0, here.to() - here.from(),
                "runs, from the beginning on")
                : time(own, here, here.to() - here.from());
        var until = next == null ? new Figure(seen.length() / second, seen.length() / second, Double.NaN,
                here.to() - here.from(), "runs, until the recording's end or later")
                : time(own, next, here.to() - here.from());
        double factor = Math.exp(base.value() - middle.value());
        return new Slow(box, from, until, new Figure(factor, Math.exp(base.low() - middle.high()),
                Math.exp(base.high() - middle.low()), here.to() - here.from(), "runs"));
    }

    private static Figure time(List<Attempt> own, Steps.Stretch begin, long samples) {
        double second = 1e6;
        long before = own.get(begin.from() - 1).startedAt;
        long at = own.get(begin.from()).startedAt;
        long earliest = own.get(Math.max(0, begin.fromEarliest() - 1)).startedAt;
        long latest = own.get(Math.min(own.size() - 1, begin.fromLatest())).startedAt;
        return new Figure((before + at) / 2 / second, earliest / second, latest / second, samples, "runs");
    }
}
