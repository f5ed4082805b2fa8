package ryemast.timetable;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static ryemast.timetable.PeriodicJob.SECOND;

import java.util.ArrayList;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import ryemast.timetable.ScheduledJob.Missed;

/** Compares the scan with an enumeration of all scheduled times. */
class DueScanTest {

    @Property(seed = "21", tries = 2_000)
    void matchesAnEnumerationOfAllScheduledTimes(@ForAll @IntRange(min = 1, max = 50) int period,
            @ForAll @IntRange(max = 120) int window, @ForAll Missed missed,
            @ForAll @IntRange(min = 1, max = 4) int most, @ForAll @IntRange(max = 1_000) int watermark,
            @ForAll @IntRange(max = 900) int away, @ForAll @IntRange(min = 1, max = 9) int budget) {
        var job = new PeriodicJob("e", false, window * SECOND, missed, most, ScheduledJob.Overlap.ALLOW,
                period * SECOND);
        long wall = (watermark + away) * SECOND;
        var late = new ArrayList<Long>();
        long inTime = ScheduledJob.NEVER;
        for (long at = job.next(watermark * SECOND); at <= wall && inTime
                == ScheduledJob.NEVER; at = job.next(at)) {
            if (at + job.window() < wall) {
                late.add(at);
            } else {
                inTime = at;
            }
        }
        int keep = missed == Missed.SKIP ? 0 : missed == Missed.ALL ? most
                : inTime == ScheduledJob.NEVER ? 1 : 0;
        int passed = Math.max(0, late.size() - keep);
        long first = passed < late.size() ? late.get(passed) : inTime;

        var scan = new DueScan(job, watermark * SECOND);
        int batches = 0;
        while (scan.scan(wall, budget) == 0) {
            batches++;
        }
        assertEquals(first, scan.firstToRun());
        assertEquals(passed, scan.missedBefore());
        assertEquals(late.size() / budget, batches);
        if (first != ScheduledJob.NEVER) {
            assertEquals((first == inTime ? first : wall) + job.window(), scan.startDeadline());
        }
    }
}
