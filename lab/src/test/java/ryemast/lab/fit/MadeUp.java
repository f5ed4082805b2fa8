package ryemast.lab.fit;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import pipitladder.Dispatcher.ListKind;
import pipitladder.Dispatcher.Outcome;
import pipitladder.Dispatcher.WorkerInfo;
import pipitladder.Dispatcher.WorkerState;
import ryemast.core.Observer.Answer;
import ryemast.core.Submission;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.site.Arrivals;
import ryemast.lab.world.Chance;
import ryemast.record.Recorder;

/**
 * A recording of a site whose truth is known: boxes of one kind with given speeds and two cores each, first
 * come, first served; jobs with a large hint mostly go to the fastest box, as a good dispatcher would have
 * it.
 */
final class MadeUp {

    static final long BEGAN = 1_764_590_000_000_000L;
    private static final double SECOND = 1e6;
    private static final String SETTINGS = """
            {"areas":["z"],"models":["plain"],"fleet_size":1,"resolution":5000,
             "specifics":{"tells_start":true,"progress":0,"class_stretch":[2,2]},
             "categories":[{"name":"short","effect":"free","on_time":500000,"deadline":5000000,"worth":1},
                           {"name":"long","effect":"single_shot","on_time":900000,"deadline":9000000,
                            "worth":2}],
             "parties":[{"name":"a","portion":0.5,"quota_per_s":9},
                        {"name":"b","portion":0.5,"quota_per_s":9}],
             "obligations":{"cold":1000000}}""";

    final double[] speeds = {2, 1.5, 1, 0.7};
    double seconds = 60;
    double rate = 12;
    double longShare = 0.3;
    double hintSigma = 0.4;
    Scenario.Shape shape = Scenario.Shape.STEADY;
    double swing;
    double period = 10;
    /** Makes a job's work, by class. */
    List<ToDoubleFunction<UniformRandomProvider>> works = List.of(lognormal(100_000, 1),
            lognormal(300_000, 1));
    /** By how much a box is slower at a time. */
    Slowness slowness = (box, at) -> 1;
    /** By how much a job costs more than its hint knows. */
    Extra extra = (jobClass, at, draw) -> 1;
    /** Whether it ends in an error. */
    Bad bad = (jobClass, box, at, draw) -> false;
    /** Runs longer than this are given up. */
    double patience = Double.MAX_VALUE;

    interface Slowness {
        double at(int box, double seconds);
    }

    interface Extra {
        double of(int jobClass, double seconds, UniformRandomProvider draw);
    }

    interface Bad {
        boolean is(int jobClass, int box, double seconds, UniformRandomProvider draw);
    }

    static ToDoubleFunction<UniformRandomProvider> lognormal(double mean, double cv) {
        double variance = Math.log1p(cv * cv);
        return draw -> Math.exp(Math.log(mean) - variance / 2 + Math.sqrt(variance)
                * ZigguratSampler.NormalizedGaussian.of(draw).sample());
    }

    static String name(int box) {
        return "s-" + box;
    }

    static WorkerInfo worker(int box, WorkerState state, double startedAtS) {
        return new WorkerInfo(name(box), state, 0, 0, 0, 1, startedAtS <= 0 ? 0 : BEGAN
                + Math.round(startedAtS * SECOND));
    }

    Recorder recorder(Path folder) {
        var recorder = new Recorder(new Recorder.Limits(folder, 1 << 26, 1 << 28, 1 << 12), "n0", "1",
                SETTINGS, BEGAN);
        var all = new ArrayList<WorkerInfo>();
        for (int box = 0; box < speeds.length; box++) {
            all.add(worker(box, WorkerState.READY, 0));
        }
        recorder.listed(ListKind.COMPLETE, all, BEGAN);
        return recorder;
    }

    /** Records it all in a folder of its own. */
    Path record(Path parent, long seed) throws IOException {
        var folder = Files.createTempDirectory(parent, "made-up");
        var recorder = recorder(folder);
        jobs(recorder, seed);
        recorder.close();
        return folder;
    }

    void jobs(Recorder to, long seed) {
        var chance = new Chance(seed);
        var load = new Scenario.Load(rate, 0, shape, swing, Math.round(period * SECOND), Scenario.Hints.NONE,
                0, 0);
        var arrivals = new Arrivals(load, Math.round(seconds * SECOND), chance);
        var free = new double[speeds.length][2];
        long number = 0;
        for (long at = arrivals.next(); at != Arrivals.OVER; at = arrivals.next()) {
            number++;
            var draw = chance.stream("made up", number);
            int jobClass = draw.nextDouble() < longShare ? 1 : 0;
            double work = works.get(jobClass).applyAsDouble(draw);
            double hint = Math.max(1, work * Math.exp(hintSigma * ZigguratSampler.NormalizedGaussian.of(draw)
                    .sample()));
            work *= extra.of(jobClass, at / SECOND, draw);
            boolean large = hint > 150_000;
            int box = draw.nextDouble() < 0.6 ? large ? 0 : 3 : draw.nextInt(speeds.length);
            Arrays.sort(free[box]);
            double start = Math.max(at + 2_000, free[box][0]);
            double took = work / speeds[box] * slowness.at(box, start / SECOND);
            boolean cut = took > patience;
            double end = start + Math.min(took, patience);
            free[box][0] = end;
            long deadline = jobClass == 0 ? 5_000_000 : 9_000_000;
            long now = BEGAN + at;
            to.taken(number, new Submission("t" + number, jobClass, draw.nextInt(2), 1, 0, Math.round(hint),
                    now + deadline, "/", new byte[0]), now);
            to.sent(number, 0, name(box), now + deadline, now);
            to.accepted(number, 0, now + 1_000);
            to.started(number, 0, BEGAN + Math.round(start));
            boolean error = !cut && bad.is(jobClass, box, at / SECOND, draw);
            long over = BEGAN + Math.round(end);
            to.ended(number, 0, cut ? Outcome.TIMED_OUT : error ? Outcome.ERROR : Outcome.SUCCESS, over);
            to.answered(number, cut || error ? Answer.FAILED : Answer.SERVED, 0, over);
            if (number % 40 == 0) {
                to.drain();
            }
        }
        to.drain();
    }
}
