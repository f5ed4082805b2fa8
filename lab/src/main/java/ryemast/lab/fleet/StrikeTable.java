package ryemast.lab.fleet;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import ryemast.lab.fleet.Strike.Disk;
import ryemast.toml.TomlTable;

/**
 * What a trial's file says of strikes at set times, or of such at random: a Poisson process. Figures are
 * ranges in the file's units; kinds and disks are words of which each strike draws one.
 *
 * @param key        tells it from others, so that each draws from a stream of its own
 * @param perMinute  0 for strikes at set times
 * @param processes  how many are struck at once; 0: by {@code share}
 * @param share      of those that could be
 * @param lasts      null where the kind's own holds, as is {@code size}
 */
record StrikeTable(String key, List<StrikeKind> kinds, double[] at, int times, double[] every,
        double perMinute, double from, double until, double[] processes, double share, double[] lasts,
        double[] size, List<Disk> disks) {

    private static final double A_DAY = 86_400;
    private static final double MOST_PER_MINUTE = 6_000;
    private static final double MOST_LASTING = 3_600;
    private static final double MINUTE = 60;
    /** The mean of an exponential draw is cut here: a run has a length. */
    private static final int MOST = 1_000;

    /** One of them before its targets are drawn. */
    record Wanted(double at, StrikeKind kind, StrikeTable table, UniformRandomProvider random) {
    }

    /** {@code agents}: whether the agent is a stand-in for Consul. */
    static StrikeTable read(TomlTable in, String key, boolean atRandom, double length, boolean agents) {
        var word = atRandom ? "kinds" : "kind";
        var words = in.words(word, List.of(), StrikeKind.words());
        if (!in.has(word)) {
            in.complain(word, "is missing; expected one of " + String.join(", ", StrikeKind.words()));
        }
        var kinds = words.stream().map(StrikeKind::of).toList();
        if (!agents && kinds.contains(StrikeKind.AGENT_OLD)) {
            in.complain(word, "holds agent-old, but the platform's discovery tells news only; expected it"
                    + " with consul = true in [discovery]");
        }
        double[] at = null;
        double[] every = {1, 1};
        int times = 1;
        double perMinute = 0;
        double from = 0;
        double until = length;
        if (atRandom) {
            perMinute = in.number("per_minute", 10, 0.01, MOST_PER_MINUTE);
            from = in.number("from_s", 0, 0, A_DAY);
            until = in.number("until_s", length, 0, A_DAY);
            if (until <= from) {
                in.complain("until_s", "is " + until + "; expected more than from_s, " + from);
            }
        } else {
            at = in.range("at_s", length / 4, length / 4, 0, A_DAY);
            if (at[1] >= length) {
                in.complain("at_s", "is " + at[1] + "; expected less than the run's length, " + length);
            }
            times = (int) in.whole("times", 1, 1, MOST);
            every = in.range("every_s", 1, 1, 0.01, A_DAY);
        }
        if (in.has("processes") && in.has("share")) {
            in.complain("share", "is given beside processes; expected one of the two");
        }
        double share = in.number("share", 0, 0.01, 1);
        var processes = in.range("processes", 1, 1, 1, TrialFile.MOST_PROCESSES);
        var lasts = in.range("for_s", 0, 0, 0.05, MOST_LASTING);
        var size = size(in, kinds);
        var disks = in.words("disk", List.of("kept"), Disk.words()).stream().map(Disk::of).toList();
        if (in.has("for_s") && !kinds.isEmpty() && kinds.stream().allMatch(each -> each.lastsS() == 0)) {
            in.complain("for_s", "means nothing for " + kinds.get(0).word() + ", which has no length");
        }
        if (in.has("disk") && !kinds.contains(StrikeKind.KILL)) {
            in.complain("disk", "means nothing without kill; expected it there only");
        }
        return new StrikeTable(key, kinds, at, times, every, perMinute, from, until,
                in.has("share") ? null : processes, share, in.has("for_s") ? lasts : null, size, disks);
    }

    private static double[] size(TomlTable in, List<StrikeKind> kinds) {
        double least = Double.NEGATIVE_INFINITY;
        double most = Double.POSITIVE_INFINITY;
        for (var kind : kinds) {
            if (kind.size() != null) {
                least = Math.max(least, kind.size().least());
                most = Math.min(most, kind.size().most());
            }
        }
        if (!in.has("size")) {
            return null;
        }
        if (Double.isInfinite(least)) {
            in.complain("size", "means nothing for any of its kinds");
            return null;
        }
        return in.range("size", least, least, least, Math.max(least, most));
    }

    /** All of them, in any order. */
    List<Wanted> wanted(UniformRandomProvider random) {
        var found = new ArrayList<Wanted>();
        if (at != null) {
            double time = drawn(at, random);
            for (int i = 0; i < times; i++) {
                found.add(new Wanted(time, kind(random), this, random));
                time += drawn(every, random);
            }
            return found;
        }
        var gap = ZigguratSampler.Exponential.of(random);
        double time = from;
        while (found.size() < MOST) {
            time += gap.sample() * MINUTE / perMinute;
            if (!(time < until)) {
                break;
            }
            found.add(new Wanted(time, kind(random), this, random));
        }
        return found;
    }

    private StrikeKind kind(UniformRandomProvider random) {
        return kinds.get(random.nextInt(kinds.size()));
    }

    /** How many of so many that could be struck. */
    int count(int could, UniformRandomProvider random) {
        return processes == null ? (int) Math.ceil(share * could)
                : (int) Math.round(drawn(processes, random));
    }

    double lastsS(StrikeKind kind, UniformRandomProvider random) {
        return kind.lastsS() == 0 ? 0 : lasts == null ? kind.lastsS() : drawn(lasts, random);
    }

    double size(StrikeKind kind, UniformRandomProvider random) {
        var usual = kind.size();
        return usual == null ? 0
                : size == null ? drawn(new double[] {usual.low(), usual.high()}, random)
                : drawn(size, random);
    }

    Disk disk(StrikeKind kind, UniformRandomProvider random) {
        return kind == StrikeKind.KILL ? disks.get(random.nextInt(disks.size())) : Disk.KEPT;
    }

    static double drawn(double[] ends, UniformRandomProvider random) {
        return ends[0] == ends[1] ? ends[0] : ends[0] + random.nextDouble() * (ends[1] - ends[0]);
    }
}
