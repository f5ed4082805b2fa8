package ryemast.lab.load;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import ryemast.lab.books.Job;
import ryemast.lab.books.MemoryBooks;
import ryemast.lab.books.Try;

class MeasuredTest {

    private static final long SECOND = 1_000_000;

    private final MemoryBooks books = new MemoryBooks();
    private long jobs;

    private void job(long askedAt, long answeredAt, int status) {
        var job = new Job(jobs, 0, 0, 5_000, 1, 0, askedAt, askedAt + 5 * SECOND, false);
        var sent = new Try("t" + jobs++, job, 0, job.deadlineAt());
        books.asked(sent, 0, askedAt + 300);
        if (status > 0) {
            books.told(sent.txn(), answeredAt, status, 0, "");
        }
    }

    @Test
    void countsWhatWasDueInTheIntervalAndThePriceOfWhatEndedInIt() {
        job(500_000, 900_000, 200);                 // warm-up
        job(900_000, SECOND, 200);                  // due in the warm-up, ended in the interval
        job(SECOND, SECOND + 20_000, 200);
        job(SECOND + 1, SECOND + 40_001, 503);
        job(2 * SECOND, 2 * SECOND + 60_000, 500);
        job(2 * SECOND, 0, 0);                      // nobody answered
        job(3 * SECOND - 1, 3 * SECOND + 10_000, 200);  // due in it, ended after it
        job(3 * SECOND, 3 * SECOND + 5_000, 200);   // after it
        var measured = Measured.of(books.read(), SECOND, 3 * SECOND, 12_000, 0);
        assertEquals(5, measured.asked());
        assertEquals(2, measured.served());
        assertEquals(1, measured.refused());
        assertEquals(2, measured.failed());
        assertEquals(1, measured.unanswered());
        assertEquals(4, measured.ended());
        assertEquals(3_000, measured.cpuMicrosPerJob());
        assertEquals(0.006, measured.busy(), 1e-9);
        assertEquals(2.5, measured.askedPerSecond());
        assertEquals(20_000, measured.latency().percentile(99), 20, "from when it was due, to three digits");
    }

    @Test
    void anIntervalEndsWhereItsProcessorTimeWasRead() {
        var plan = new LoadPlan(1, 1, 10, 2, 1, 5, 1, 0, 0, 0, 0, 0, true, 1);
        long[] clock = {0};
        long[] cpu = {0};
        var interval = new Interval(plan, () -> 70 + clock[0]);
        for (long at : new long[] {0, 800_000, 1_150_000, 2_900_000, 3_100_000, 3_300_000}) {
            clock[0] = at;
            cpu[0] = at / 10;
            interval.look(at, this, site -> cpu[0]);
        }
        assertEquals(1_150_070, interval.from());
        assertEquals(3_100_070, interval.to());
        assertEquals(195_000, interval.cpuMicros());
        interval.cutShort(this, site -> 0);
        assertEquals(3_100_070, interval.to(), "it was over before");
    }

    @Test
    void doesNotMakeUpAPriceThatNobodyKnows() {
        job(0, 10, 200);
        assertEquals(0, Measured.of(books.read(), 0, SECOND, -1, 0).cpuMicrosPerJob());
    }

    @Test
    void seesWhatTheHostHasTaken() {
        var before = HostTime.parse("cpu  100 0 50 800 10 0 20 20 5 0");
        assertEquals(new HostTime(1_000, 20), before);
        assertEquals(0.2, HostTime.parse("cpu  400 0 50 820 10 0 20 100 5 0").stolenSince(before), 1e-9);
        assertEquals(0, before.stolenSince(before));
    }
}
