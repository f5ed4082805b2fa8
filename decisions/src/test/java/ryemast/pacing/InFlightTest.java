package ryemast.pacing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;

class InFlightTest {

    private static final long MS = 1_000;
    private static final long SECOND = 1_000_000;
    private static final long AIM = 400 * MS;

    /** A fleet of so many places in virtual time: batch jobs as the bound allows, clients' jobs at a rate. */
    private static final class Fleet {
        private final InFlight pace = new InFlight(1_000, true);
        private final int places;
        private final Random random = new Random(5);
        private final PriorityQueue<long[]> ends = new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));
        private final ArrayDeque<long[]> queue = new ArrayDeque<>();
        private long now;
        private long nextClient;
        private double busy;
        private int clients;
        private int clientsLate;

        Fleet(int places) {
            this.places = places;
        }

        /**
         * {@code load}: clients' part of the places. Runs are 200 ms for clients' jobs, 1 s for batch jobs.
         */
        void run(long until, double load) {
            double gap = 200 * MS / (load * places);
            while (now < until) {
                long nextEnd = ends.isEmpty() ? Long.MAX_VALUE : ends.peek()[0];
                long next = Math.min(Math.min(nextEnd, nextClient), until);
                busy += (double) Math.min(places, ends.size()) * (next - now);
                now = next;
                if (next == nextEnd) {
                    boolean batch = ends.poll()[1] == 1;
                    if (batch) {
                        pace.over(true);
                    }
                    if (!queue.isEmpty()) {
                        start(queue.poll());
                    }
                } else if (next == nextClient) {
                    nextClient = now + Math.max(1, (long) (-Math.log(1 - random.nextDouble()) * gap));
                    arrive(0);
                }
                while (pace.room(now) > 0) {
                    pace.sent();
                    arrive(1);
                }
            }
        }

        private void arrive(int batch) {
            var job = new long[] {now, batch};
            if (ends.size() < places) {
                start(job);
            } else {
                queue.add(job);
            }
        }

        private void start(long[] job) {
            long waited = 12 * MS + now - job[0];
            if (job[1] == 1) {
                pace.started(now, waited);
            } else {
                pace.clientStarted(now, waited, AIM);
                clients++;
                clientsLate += waited > AIM ? 1 : 0;
            }
            ends.add(new long[] {now + (job[1] == 1 ? SECOND : 200 * MS), job[1]});
        }
    }

    @Test
    void whatIsIdleIsUsedAndClientsHardlyWait() {
        var fleet = new Fleet(40);
        fleet.run(20 * SECOND, 0.4);
        fleet.busy = 0;
        fleet.clients = 0;
        fleet.clientsLate = 0;
        fleet.run(120 * SECOND, 0.4);
        double used = fleet.busy / (100.0 * SECOND * 40);
        // Of the idle three fifths at least four fifths are used.
        assertTrue(used > 0.4 + 0.8 * 0.6, () -> "used " + used);
        assertTrue(fleet.clientsLate < 0.02 * fleet.clients, () -> fleet.clientsLate + " of "
                + fleet.clients);
    }

    /** Clients come back in the midst of a batch: it gives way within seconds. */
    @Test
    void itGivesWayToClientsWhoCome() {
        var fleet = new Fleet(40);
        fleet.run(30 * SECOND, 0.05);
        double alone = fleet.pace.limit();
        fleet.run(50 * SECOND, 0.8);
        double beside = fleet.pace.limit();
        assertTrue(alone > 30 && beside < 15, () -> alone + " alone, " + beside + " beside clients");
        fleet.run(110 * SECOND, 0.05);
        assertTrue(fleet.pace.limit() > 25, () -> "back to " + fleet.pace.limit());
    }

    @Test
    void aRefusalCutsOnceForAllOfAMomentAndIsObeyed() {
        var pace = new InFlight(1_000, true);
        for (int i = 0; i < 100; i++) {
            pace.sent();
            pace.started(0, 10 * MS);
        }
        double before = pace.limit();
        for (int i = 0; i < 50; i++) {
            pace.refused(SECOND + i, 30 * MS);
            pace.over(false);
        }
        assertEquals(0.67 * Math.min(before, 100), pace.limit(), 1);
        assertEquals(1, pace.cuts());
        assertEquals(0, pace.room(SECOND + 20 * MS));
        assertTrue(pace.notBefore() >= SECOND + 30 * MS);
        assertTrue(pace.room(SECOND + InFlight.LONGEST_PAUSE + 100) > 0);
    }

    /** Whatever happens, one may always go out in the end. */
    @Test
    void nothingStarvesIt() {
        var pace = new InFlight(1, false);
        pace.sent();
        for (int i = 0; i < 1_000; i++) {
            pace.clientRefused(i * SECOND);
            pace.clientStarted(i * SECOND, 10 * SECOND, AIM);
            pace.started(i * SECOND, 10 * SECOND);
        }
        pace.over(false);
        assertEquals(1, pace.room(2_000 * SECOND));
        assertThrows(IllegalArgumentException.class, () -> new InFlight(0, true));
    }

    /** Where workers tell of no starts, the bound grows by what goes well. */
    @Test
    void withoutStartsRefusalsAloneSpeak() {
        var pace = new InFlight(64, false);
        for (int i = 0; i < 500; i++) {
            pace.sent();
            pace.over(true);
        }
        assertEquals(64, pace.limit(), 0.01);
        pace.sent();
        pace.refused(SECOND, 0);
        assertTrue(pace.limit() < 64);
    }
}
