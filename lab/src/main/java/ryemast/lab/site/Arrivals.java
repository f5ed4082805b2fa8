package ryemast.lab.site;

import java.util.Arrays;
import java.util.stream.LongStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import ryemast.lab.scenario.Replay;
import ryemast.lab.scenario.Scenario;
import ryemast.lab.world.Chance;

/**
 * When jobs come that don't wait for one another: a Poisson process whose rate is steady, a wave, or leaps
 * between high and low, in order from the first to the last of a run.
 *
 * <p>Drawn by thinning (Lewis and Shedler, "Simulation of nonhomogeneous Poisson processes by thinning",
 * 1979). The shape is scaled by its own mean over the run, so that the run as a whole has the rate that the
 * scenario asks for however many swings it holds. Draws from two streams of its own and depends on nothing
 * that happens. Where a scenario replays recorded jobs, they come when they came, and nothing is drawn.
 */
public final class Arrivals {

    /** Returned when no more jobs come. */
    public static final long OVER = -1;

    private static final double SECOND = 1e6;
    private static final double FLAT = 1e-9;

    private final Replay replay;
    private final Shape shape;
    private final long length;
    private final double mean;
    private final double highest;
    private final UniformRandomProvider thinning;
    private final ZigguratSampler.Exponential gap;
    private double at;
    private int replayed;

    public Arrivals(Scenario.Load load, long length, Chance chance) {
        this.length = length;
        replay = load.replay();
        var draw = chance.stream("arrivals shape", 0);
        Shape wanted = switch (load.shape()) {
            case STEADY -> new Steady();
            case WAVE -> new Wave(load.swing(), load.period(), draw.nextDouble());
            case BURSTY -> new Leaps(load.swing(), load.period(), length, draw);
        };
        shape = wanted.integral(length) > FLAT * length ? wanted : new Steady();
        mean = shape.integral(length) / length;
        double perMicrosecond = load.ratePerSecond() / SECOND;
        highest = perMicrosecond * shape.most() / mean;
        thinning = chance.stream("arrivals", 0);
        gap = ZigguratSampler.Exponential.of(thinning);
    }

    /** Microseconds from the run's start to the next job, or {@link #OVER}. */
    public long next() {
        if (replay != null) {
            boolean more = replayed < replay.jobs().size() && replay.jobs().get(replayed).at() < length;
            return more ? replay.jobs().get(replayed++).at() : OVER;
        }
        while (true) {
            at += gap.sample() / highest;
            if (!(at < length)) {
                return OVER;
            }
            if (thinning.nextDouble() * shape.most() < shape.at(at)) {
                return (long) at;
            }
        }
    }

    /** The rate at a time as a part of the mean over the run; what a run is meant to look like. */
    public double relativeRate(long time) {
        return shape.at(time) / mean;
    }

    /** A rate about 1. */
    private interface Shape {
        double at(double time);

        /** From 0 to a time. */
        double integral(double time);

        /** Never more than this. */
        double most();
    }

    private static final class Steady implements Shape {
        @Override
        public double at(double time) {
            return 1;
        }

        @Override
        public double integral(double time) {
            return time;
        }

        @Override
        public double most() {
            return 1;
        }
    }

    /** A sine, from a phase drawn by chance. */
    private static final class Wave implements Shape {
        private final double swing;
        private final double turn;
        private final double phase;

        Wave(double swing, long period, double start) {
            this.swing = swing;
            turn = 2 * Math.PI / period;
            phase = 2 * Math.PI * start;
        }

        @Override
        public double at(double time) {
            return 1 + swing * Math.sin(turn * time + phase);
        }

        @Override
        public double integral(double time) {
            return time + swing / turn * (Math.cos(phase) - Math.cos(turn * time + phase));
        }

        @Override
        public double most() {
            return 1 + swing;
        }
    }

    /** High and low in turns, each for half a period on average, exponentially distributed. */
    private static final class Leaps implements Shape {
        private final double swing;
        private final long[] ends;
        private final boolean highFirst;

        Leaps(double swing, long period, long length, UniformRandomProvider draw) {
            this.swing = swing;
            highFirst = draw.nextBoolean();
            var stay = ZigguratSampler.Exponential.of(draw, period / 2.0);
            var drawn = LongStream.builder();
            long end = 0;
            while (end < length) {
                end += 1 + (long) stay.sample();
                drawn.add(end);
            }
            ends = drawn.build().toArray();
        }

        private double level(int stretch) {
            return stretch % 2 == 0 == highFirst ? 1 + swing : 1 - swing;
        }

        @Override
        public double at(double time) {
            int found = Arrays.binarySearch(ends, (long) time);
            return level(found >= 0 ? found + 1 : -found - 1);
        }

        @Override
        public double integral(double time) {
            double sum = 0;
            double begin = 0;
            for (int i = 0; i < ends.length && begin < time; i++) {
                sum += level(i) * (Math.min(ends[i], time) - begin);
                begin = ends[i];
            }
            return sum;
        }

        @Override
        public double most() {
            return 1 + swing;
        }
    }
}
