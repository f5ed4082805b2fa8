package ryemast.fleet.choices;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The subset of workers that one member uses. If all workers fit, it uses all of them, as candidates from all
 * workers serve better than any selection. Otherwise each worker selects its members, those with the highest
 * random weight for it (rendezvous hashing, Thaler and Ravishankar 1998): as many that a member has as many
 * workers as its capacity on average, and at least three members per worker.
 *
 * <p>Guarantees that every worker is covered and that few assignments change: those of a member that leaves,
 * those of a worker that goes, and about as many again due to the new count. The subset depends on names
 * alone. A member is to use its workers by their weights; every worker then gets its even share of the work,
 * up to the differences in subset sizes.
 *
 * <p>A subset can be widened: at width n each worker selects 2^n times as many members, starting with the
 * same.
 */
public final class Subset {

    /** Two members of a worker may fail or have a faulty subset, and the worker is still used. */
    private static final int MIN_COVER = 3;

    private final String self;
    private final String[] others;
    private final long[] hashes;
    private final Map<String, Integer> ranks = new HashMap<>();
    private final List<String> workers = new ArrayList<>();
    private final List<Integer> widths = new ArrayList<>();
    private final List<Double> weights = new ArrayList<>();
    private double expectedWeight;
    private int maxWidth;

    private Subset(String self, String[] others, long[] hashes) {
        this.self = self;
        this.others = others;
        this.hashes = hashes;
    }

    /**
     * Selects a new subset; computes a weight for each worker and member.
     *
     * @param members with or without {@code self}
     * @param workers with their weights, above 0
     * @param capacity maximum number of workers, as limited by connections, memory and the time for a list
     */
    public static Subset select(String self, Collection<String> members, Map<String, Double> workers,
            int capacity) {
        var others = members.stream().filter(each -> !each.equals(self)).toArray(String[]::new);
        var hashes = Arrays.stream(others).mapToLong(SplitMix64::mix).toArray();
        return new Subset(self, others, hashes).fill(workers, capacity, Map.of());
    }

    /** The same member's subset of another list; computes weights only for workers not on this one. */
    public Subset reselect(Map<String, Double> list, int capacity) {
        return new Subset(self, others, hashes).fill(list, capacity, ranks);
    }

    private Subset fill(Map<String, Double> list, int capacity, Map<String, Integer> knownRanks) {
        if (capacity < 1) {
            throw new IllegalArgumentException("the capacity must be at least 1 worker, not " + capacity);
        }
        double cover = cover(others.length + 1, list.size(), capacity);
        double totalWeight = 0;
        for (var each : list.entrySet()) {
            long hash = SplitMix64.mix(SplitMix64.mix(each.getKey()));
            // A fractional cover selects one more member at that fraction of the workers: no steps.
            int selected = (int) Math.floor(cover + SplitMix64.toUnitInterval(hash));
            var rank = knownRanks.get(each.getKey());
            rank = rank != null ? rank : rank(hash);
            ranks.put(each.getKey(), rank);
            workers.add(each.getKey());
            weights.add(each.getValue());
            widths.add(width(rank, selected));
            maxWidth = Math.max(maxWidth, width(rank, selected));
            totalWeight += each.getValue();
        }
        expectedWeight = totalWeight * Math.min(1, cover / (others.length + 1));
        return this;
    }

    /** The number of other members that rank above this one at a worker. */
    private int rank(long worker) {
        long own = SplitMix64.mix(worker ^ SplitMix64.mix(self));
        int rank = 0;
        for (int i = 0; i < hashes.length; i++) {
            long other = SplitMix64.mix(worker ^ hashes[i]);
            rank += other > own ? 1 : 0;
            if (other == own && others[i].compareTo(self) < 0) {
                rank++;
            }
        }
        return rank;
    }

    /** The average number of members that a worker selects: at most all of them, so that all are used. */
    public static double cover(int members, int workers, int capacity) {
        return workers == 0 ? members
                : Math.min(members, Math.max(MIN_COVER, (double) members * capacity / workers));
    }

    private static int width(int rank, int selected) {
        int width = 0;
        while (rank >= (long) selected << width) {
            width++;
        }
        return width;
    }

    /** The workers at a width, 0 for the normal one, in the order in which they were given. */
    public List<String> workersAt(int width) {
        var chosen = new ArrayList<String>();
        for (int i = 0; i < workers.size(); i++) {
            if (widths.get(i) <= width) {
                chosen.add(workers.get(i));
            }
        }
        return chosen;
    }

    /** The width at which the subset contains all workers. */
    public int maxWidth() {
        return maxWidth;
    }

    /** The average total weight of a subset at the normal width. */
    public double expectedWeight() {
        return expectedWeight;
    }

    /** The total weight of the usable workers at a width. */
    public double usableWeight(int width, Predicate<String> usable) {
        double sum = 0;
        for (int i = 0; i < workers.size(); i++) {
            sum += widths.get(i) <= width && usable.test(workers.get(i)) ? weights.get(i) : 0;
        }
        return sum;
    }
}
