package ryemast.lab.fit;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import ryemast.lab.fit.Seen.Attempt;
import ryemast.lab.fit.Seen.Box;
import ryemast.lab.fit.Seen.Request;

/**
 * The runs at boxes that were seen: from the word that a job has started to its end. Where boxes don't tell
 * of starts, an attempt that was alone at its box (as far as this recording sees) stands for a run from when
 * it was accepted.
 */
final class Runs {

    private Runs() {
    }

    /** Of all boxes, with {@link Attempt#crowd} set; without starts told, {@code startedAt} is made. */
    static List<Attempt> of(Seen seen, boolean startsTold) {
        var runs = new ArrayList<Attempt>();
        for (var box : seen.boxes()) {
            if (!startsTold) {
                alone(box, seen.length());
            }
            crowds(box, seen.length());
            box.attempts.stream().filter(Attempt::started).forEach(runs::add);
        }
        runs.sort(Comparator.comparingLong((Attempt each) -> each.startedAt)
                .thenComparingInt(a -> a.box.number));
        return runs;
    }

    /**
     * One run for each job, as copies and further tries of one cost the same and mostly follow a heavy one:
     * its first that came to its end, or else the one that was seen for longest.
     */
    static List<Attempt> onePerJob(List<Attempt> runs, long end) {
        var best = new LinkedHashMap<Request, Attempt>();
        for (var run : runs) {
            best.merge(run.job.first, run, (one, other) -> one.done() || !other.done()
                    && one.ran(end) >= other.ran(end) ? one : other);
        }
        return List.copyOf(best.values());
    }

    private static void alone(Box box, long end) {
        long busyUntil = Long.MIN_VALUE;
        for (int i = 0; i < box.attempts.size(); i++) {
            var each = box.attempts.get(i);
            boolean next = i + 1 < box.attempts.size() && box.attempts.get(i + 1).sentAt < each.endedAt;
            if (each.acceptedAt != Seen.NEVER && busyUntil <= each.sentAt && !next) {
                each.startedAt = each.acceptedAt;
            }
            busyUntil = Math.max(busyUntil, Math.min(each.endedAt, end));
        }
    }

    /** A run's crowd is the mean over its time, by one sweep over starts and ends. */
    private static void crowds(Box box, long end) {
        record Change(long at, int by) {
        }
        var changes = new ArrayList<Change>();
        for (var each : box.attempts) {
            if (each.started()) {
                changes.add(new Change(each.startedAt, 1));
                changes.add(new Change(Math.max(each.startedAt, Math.min(each.endedAt, end)), -1));
            }
        }
        changes.sort(Comparator.comparingLong(Change::at));
        var times = new long[changes.size()];
        var areas = new double[changes.size()];
        var counts = new int[changes.size()];
        int count = 0;
        for (int i = 0; i < times.length; i++) {
            times[i] = changes.get(i).at;
            areas[i] = i == 0 ? 0 : areas[i - 1] + (double) count * (times[i] - times[i - 1]);
            count += changes.get(i).by;
            counts[i] = count;
        }
        for (var each : box.attempts) {
            if (each.started()) {
                long until = Math.min(each.endedAt, end);
                double area = area(times, areas, counts, until) - area(times, areas, counts, each.startedAt);
                each.crowd = until > each.startedAt ? Math.max(1, area / (until - each.startedAt)) : 1;
            }
        }
    }

    private static double area(long[] times, double[] areas, int[] counts, long at) {
        int found = Arrays.binarySearch(times, at);
        int i = found >= 0 ? found : -found - 2;
        return i < 0 ? 0 : areas[i] + (double) counts[i] * (at - times[i]);
    }
}
