package ryemast.pacing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;

class BatchConcurrencyLimitTest {

    private static final long MS = 1_000;
    private static final long SECOND = 1_000_000;
    private static final long OBJECTIVE = 400 * MS;

    /** A fleet of slots in virtual time: batch jobs as the limit allows, clients' jobs at a given rate. */
    private static final class Fleet {
        private final BatchConcurrencyLimit limiter = new BatchConcurrencyLimit(1_000, true);
        private final int slots;
        private final Random random = new Random(5);
        private final PriorityQueue<long[]> ends = new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));
        private final ArrayDeque<long[]> queue = new ArrayDeque<>();
        private long now;
        private long nextClient;
        private double busyTime;
        private int clients;
        private int lateClients;

        Fleet(int slots) {
            this.slots = slots;
        }

        /**
         * {@code load}: the clients' share of the slots. Clients' jobs run for 200 ms, batch jobs for 1 s.
         */
        void run(long until, double load) {
            double gap = 200 * MS / (load * slots);
            while (now < until) {
                long nextEnd = ends.isEmpty() ? Long.MAX_VALUE : ends.peek()[0];
                long next = Math.min(Math.min(nextEnd, nextClient), until);
                busyTime += (double) Math.min(slots, ends.size()) * (next - now);
                now = next;
                if (next == nextEnd) {
                    boolean batch = ends.poll()[1] == 1;
                    if (batch) {
                        limiter.ended(true);
                    }
                    if (!queue.isEmpty()) {
                        start(queue.poll());
                    }
                } else if (next == nextClient) {
                    nextClient = now + Math.max(1, (long) (-Math.log(1 - random.nextDouble()) * gap));
                    arrive(0);
                }
                while (limiter.available(now) > 0) {
                    limiter.sent();
                    arrive(1);
                }
            }
        }

        private void arrive(int batch) {
            var job = new long[] {now, batch};
            if (ends.size() < slots) {
                start(job);
            } else {
                queue.add(job);
            }
        }

        private void start(long[] job) {
            long waited = 12 * MS + now - job[0];
            if (job[1] == 1) {
                limiter.started(now, waited);
            } else {
                limiter.clientStarted(now, waited, OBJECTIVE);
                clients++;
                lateClients += waited > OBJECTIVE ? 1 : 0;
            }
            ends.add(new long[] {now + (job[1] == 1 ? SECOND : 200 * MS), job[1]});
        }
    }

    @Test
    void idleCapacityIsUsedAndClientsAreRarelyLate() {
        var fleet = new Fleet(40);
        fleet.run(20 * SECOND, 0.4);
        fleet.busyTime = 0;
        fleet.clients = 0;
        fleet.lateClients = 0;
        fleet.run(120 * SECOND, 0.4);
        double used = fleet.busyTime / (100.0 * SECOND * 40);
        // Of the three fifths that clients leave idle, at least four fifths are used.
        assertTrue(used > 0.4 + 0.8 * 0.6, () -> "used " + used);
        assertTrue(fleet.lateClients < 0.02 * fleet.clients, () -> fleet.lateClients + " of "
                + fleet.clients);
    }

    /** When clients' load returns during a batch, the batch yields within seconds. */
    @Test
    void batchJobsYieldToReturningClients() {
        var fleet = new Fleet(40);
        fleet.run(30 * SECOND, 0.05);
        double alone = fleet.limiter.limit();
        fleet.run(50 * SECOND, 0.8);
        double beside = fleet.limiter.limit();
        assertTrue(alone > 30 && beside < 15, () -> alone + " alone, " + beside + " beside clients");
        fleet.run(110 * SECOND, 0.05);
        assertTrue(fleet.limiter.limit() > 25, () -> "back to " + fleet.limiter.limit());
    }

    @Test
    void simultaneousRejectionsCutTheLimitOnceAndDelaySends() {
        var limiter = new BatchConcurrencyLimit(1_000, true);
        for (int i = 0; i < 100; i++) {
            limiter.sent();
            limiter.started(0, 10 * MS);
        }
        double before = limiter.limit();
        for (int i = 0; i < 50; i++) {
            limiter.refused(SECOND + i, 30 * MS);
            limiter.ended(false);
        }
        assertEquals(0.67 * Math.min(before, 100), limiter.limit(), 1);
        assertEquals(1, limiter.cuts());
        assertEquals(0, limiter.available(SECOND + 20 * MS));
        assertTrue(limiter.notBefore() >= SECOND + 30 * MS);
        assertTrue(limiter.available(SECOND + BatchConcurrencyLimit.MAX_BACKOFF + 100) > 0);
    }

    /** The limit never falls below 1. */
    @Test
    void oneJobMayAlwaysBeSentInTheEnd() {
        var limiter = new BatchConcurrencyLimit(1, false);
        limiter.sent();
        for (int i = 0; i < 1_000; i++) {
            limiter.clientRefused(i * SECOND);
            limiter.clientStarted(i * SECOND, 10 * SECOND, OBJECTIVE);
            limiter.started(i * SECOND, 10 * SECOND);
        }
        limiter.ended(false);
        assertEquals(1, limiter.available(2_000 * SECOND));
        assertThrows(IllegalArgumentException.class, () -> new BatchConcurrencyLimit(0, true));
    }

    /** Where workers do not report starts, the limit grows with each served job. */
    @Test
    void withoutStartReportsOnlyRejectionsLowerTheLimit() {
        var limiter = new BatchConcurrencyLimit(64, false);
        for (int i = 0; i < 500; i++) {
            limiter.sent();
            limiter.ended(true);
        }
        assertEquals(64, limiter.limit(), 0.01);
        limiter.sent();
        limiter.refused(SECOND, 0);
        assertTrue(limiter.limit() < 64);
    }
}
