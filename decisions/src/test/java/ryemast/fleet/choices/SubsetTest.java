package ryemast.fleet.choices;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class SubsetTest {

    private static final int CAPACITY = 20;

    private static Map<String, Double> workers(int count) {
        var workers = new LinkedHashMap<String, Double>();
        for (int i = 0; i < count; i++) {
            workers.put("worker-" + i, 1.0 + i % 4);
        }
        return workers;
    }

    private static Map<String, Set<String>> subsetsOfAll(List<String> members, Map<String, Double> workers) {
        var subsets = new LinkedHashMap<String, Set<String>>();
        members.forEach(self -> subsets.put(self,
                new HashSet<>(Subset.select(self, members, workers, CAPACITY).workersAt(0))));
        return subsets;
    }

    /** Members per worker: the minimum and the maximum. */
    private static int[] minAndMaxCover(Map<String, Set<String>> subsets, Map<String, Double> workers) {
        var counts = new HashMap<String, Integer>();
        workers.keySet().forEach(each -> counts.put(each, 0));
        subsets.values().forEach(each -> each.forEach(worker -> counts.merge(worker, 1, Integer::sum)));
        var sum = counts.values().stream().mapToInt(each -> each).summaryStatistics();
        return new int[] {sum.getMin(), sum.getMax()};
    }

    @Test
    void everyWorkerIsCoveredEvenlyByAtLeastThreeOrAll() {
        for (int members : new int[] {1, 2, 3, 4, 14, 100, 300}) {
            for (int count : new int[] {1, 10, 60, 200, 700}) {
                var workers = workers(count);
                var cover = minAndMaxCover(subsetsOfAll(PermitOrderTest.names(members), workers), workers);
                assertTrue(cover[0] >= Math.min(3, members) && cover[1] <= cover[0] + 1,
                        members + " members, " + count + " workers: " + cover[0] + " to " + cover[1]);
                assertTrue(count > CAPACITY && members > 3 || cover[0] == members,
                        "not covered by the whole fleet");
            }
        }
    }

    /** Where each member selects the workers of the highest weight for it, some workers have no member. */
    @Test
    void uncoveredWorkerIsDetected() {
        int found = 0;
        for (int seed = 0; seed < 10; seed++) {
            var random = new SplittableRandom(seed);
            var workers = workers(200);
            var subsets = new HashMap<String, Set<String>>();
            for (var self : PermitOrderTest.names(30)) {
                var names = new ArrayList<>(workers.keySet());
                long salt = random.nextLong();
                names.sort(Comparator.comparing(each -> SplitMix64.mix(salt, SplitMix64.mix(each))));
                subsets.put(self, Set.copyOf(names.subList(0, CAPACITY)));
            }
            found += minAndMaxCover(subsets, workers)[0] == 0 ? 1 : 0;
        }
        assertTrue(found >= 9, found + " of 10");
    }

    private static int countAdded(Map<String, Set<String>> before, Map<String, Set<String>> after) {
        int added = 0;
        for (var each : after.entrySet()) {
            var more = new HashSet<>(each.getValue());
            more.removeAll(before.getOrDefault(each.getKey(), Set.of()));
            added += more.size();
        }
        return added;
    }

    @Test
    void oneMemberOrWorkerMoreOrLessChangesFewAssignments() {
        var members = PermitOrderTest.names(100);
        var workers = workers(200);
        var before = subsetsOfAll(members, workers);
        int assignments = before.values().stream().mapToInt(Set::size).sum();
        assertEquals(100 * CAPACITY, assignments, 60);
        for (int i = 0; i < 100; i += 9) {
            var fewer = new ArrayList<>(members);
            fewer.remove(i);
            assertTrue(countAdded(before, subsetsOfAll(fewer, workers)) <= 2.0 / 100 * assignments,
                    "member " + i);
            assertTrue(countAdded(subsetsOfAll(fewer, workers), before) <= 3.0 / 100 * assignments,
                    "member " + i);
            var less = new LinkedHashMap<>(workers);
            less.remove("worker-" + i);
            var after = subsetsOfAll(members, less);
            assertTrue(countAdded(before, after) <= 3.0 / 200 * assignments, "worker " + i);
            var self = members.get(i);
            assertEquals(after.get(self), new HashSet<>(
                    Subset.select(self, members, workers, CAPACITY).reselect(less, CAPACITY).workersAt(0)),
                    "reselected");
        }
    }

    @Test
    void unusableSubsetIsWidenedAtOnceAndNarrowedLater() {
        var workers = workers(200);
        var subset = Subset.select("member-5", PermitOrderTest.names(100), workers, CAPACITY);
        var usual = subset.workersAt(0);
        var widening = new SubsetWidth();
        assertEquals(0, widening.width(0, subset, worker -> true));
        int wide = widening.width(1, subset, worker -> !usual.contains(worker));
        assertTrue(wide == 1 || wide == 2, "width " + wide);
        assertTrue(subset.workersAt(wide).containsAll(usual) && subset.workersAt(wide).size() > usual.size());
        assertTrue(subset.usableWeight(wide, worker -> !usual.contains(worker)) >= subset.expectedWeight()
                / 2);
        assertEquals(subset.maxWidth(), widening.width(2, subset, worker -> false));
        assertEquals(200, subset.workersAt(subset.maxWidth()).size());
        long now = 2;
        for (int width = subset.maxWidth(); width > 0; width--) {
            assertEquals(width, widening.width(now, subset, worker -> true), "too early");
            now += 10_000_000;
        }
        assertEquals(0, widening.width(now, subset, worker -> true));
    }
}
