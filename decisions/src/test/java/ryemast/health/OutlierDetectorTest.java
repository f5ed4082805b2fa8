package ryemast.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The health of a worker after given sequences of signs, each with expectations worked out by hand. */
class OutlierDetectorTest {

    private static final long MS = 1000;
    private static final long S = 1_000_000;
    private static final double RUN = 0.1;

    private final OutlierDetector detector = new OutlierDetector(true, 2 * S, 10 * MS, 0, 1);
    private final List<WorkerHealth> workers = new ArrayList<>();
    private long now = 10 * S;

    OutlierDetectorTest() {
        for (int i = 0; i < 6; i++) {
            workers.add(detector.worker("w" + i));
        }
        detector.setListed(workers);
        for (int i = 0; i < 60; i++) {
            job(i % 6, Sign.SERVED);
        }
    }

    private AttemptMonitor send(int worker) {
        return workers.get(worker).recordSend(now, now, RUN, 0);
    }

    private void job(int worker, Sign end) {
        job(worker, end, 0, false);
    }

    private void job(int worker, Sign end, int jobClass, boolean failedBefore) {
        var job = workers.get(worker).recordSend(now, now, RUN, jobClass);
        job.started(now + 2 * MS);
        now += 100 * MS;
        job.ended(end, failedBefore, now);
        detector.review(now);
    }

    private void serve(int worker, int times) {
        for (int i = 0; i < times; i++) {
            job(worker, Sign.SERVED);
        }
    }

    private TrafficState trafficState(int worker) {
        detector.review(now);
        return workers.get(worker).trafficState();
    }

    /** Guards against workers that drain unnoticed: a start proves that jobs sent earlier were accepted. */
    @Test
    void aStartedJobProvesAWorkerUntilItRejectsOne() {
        assertEquals(Long.MIN_VALUE, detector.worker("new").lastAcceptedSentAt());
        long sentAt = now;
        job(1, Sign.SERVED);
        assertEquals(sentAt, workers.get(1).lastAcceptedSentAt());
        job(1, Sign.TURNED_AWAY);
        send(1).ended(Sign.TURNED_AWAY, false, now);
        assertEquals(Long.MIN_VALUE, workers.get(1).lastAcceptedSentAt());
        now += S;
        sentAt = now;
        job(1, Sign.SERVED);
        assertEquals(sentAt, workers.get(1).lastAcceptedSentAt());
    }

    @Test
    void oneFailureKeepsFullTrafficAndFourConsecutiveOnesEject() {
        serve(0, 5);
        job(0, Sign.RESET);
        assertEquals(TrafficState.FULL, trafficState(0));
        for (int i = 0; i < 3; i++) {
            job(0, Sign.RESET);
        }
        assertEquals(TrafficState.EJECTED, trafficState(0));
        assertEquals(TrafficState.FULL, trafficState(1));
    }

    @Test
    void connectFailuresWeighMoreThanResetsAndIdleResetsLess() {
        job(0, Sign.NO_CONNECTION);
        job(1, Sign.RESET);
        job(2, Sign.KEPT_RESET);
        job(3, Sign.TURNED_AWAY);
        double refused = workers.get(0).sickProbability(now);
        double reset = workers.get(1).sickProbability(now);
        double keptReset = workers.get(2).sickProbability(now);
        assertTrue(refused > 0.1 && refused > reset && reset > 2 * keptReset,
                "refused " + refused + ", reset " + reset + ", kept " + keptReset);
        assertTrue(workers.get(3).sickProbability(now) < 0.016, "a full worker is not sick");
    }

    @Test
    void anEjectedWorkerIsProbedAfterABackoffAndOneSuccessRestoresIt() {
        serve(0, 3);
        job(0, Sign.NO_CONNECTION);
        job(0, Sign.NO_CONNECTION);
        assertEquals(TrafficState.EJECTED, trafficState(0));
        assertFalse(workers.get(0).admits());
        assertNull(detector.recoveryProbeDue(now));
        now += OutlierDetector.INITIAL_PROBE_BACKOFF;
        assertSame(workers.get(0), detector.recoveryProbeDue(now));
        var probe = send(0);
        assertTrue(probe.isRecoveryProbe());
        assertNull(detector.recoveryProbeDue(now), "one probe at a time");
        probe.started(now);
        now += 100 * MS;
        probe.ended(Sign.SERVED, false, now);
        assertTrue(trafficState(0) != TrafficState.EJECTED, detector.beliefs(now).toString());
        serve(0, 2);
        assertEquals(TrafficState.FULL, trafficState(0));
    }

    @Test
    void probeBackoffGrowsUpToOneSecond() {
        for (int i = 0; i < 4; i++) {
            job(0, Sign.NO_CONNECTION);
        }
        long longest = 0;
        for (int i = 0; i < 8; i++) {
            detector.review(now);
            long from = now;
            while (detector.recoveryProbeDue(now) == null) {
                now += MS;
            }
            longest = Math.max(longest, now - from);
            send(0).ended(Sign.NO_CONNECTION, false, now);
        }
        assertTrue(longest > 500 * MS && longest <= OutlierDetector.MAX_PROBE_BACKOFF,
                "longest backoff " + longest);
    }

    @Test
    void failuresAtAllWorkersBlameNone() {
        for (int i = 0; i < 300; i++) {
            job(i % 6, i % 10 == 3 ? Sign.RESET : Sign.SERVED);
        }
        for (int worker = 0; worker < 6; worker++) {
            assertEquals(TrafficState.FULL, trafficState(worker), detector.beliefs(now).toString());
        }
    }

    @Test
    void aPoisonedClassBlamesNoWorker() {
        for (int i = 0; i < 60; i++) {
            job(i % 6, Sign.SERVED, 0, false);
        }
        for (int i = 0; i < 60; i++) {
            int jobClass = i / 6 % 2;
            job(i % 6, jobClass == 1 ? Sign.ERROR : Sign.SERVED, jobClass, false);
        }
        for (int worker = 0; worker < 6; worker++) {
            assertTrue(trafficState(worker) != TrafficState.EJECTED, detector.beliefs(now).toString());
        }
    }

    @Test
    void aJobThatFailedElsewhereWeighsLess() {
        job(0, Sign.ERROR, 0, false);
        job(1, Sign.ERROR, 0, true);
        assertTrue(workers.get(1).sickProbability(now) < workers.get(0).sickProbability(now) / 2);
    }

    @Test
    void overdueStartsEjectAWorkerAndALaterStartRestoresIt() {
        serve(0, 40);
        var first = send(0);
        now += MS;
        var second = send(0);
        now += 300 * MS;
        assertTrue(workers.get(0).sickProbability(now) > 0.9);
        assertEquals(TrafficState.EJECTED, trafficState(0));
        assertTrue(first.lossProbability(now) > 0.9 && workers.get(0).expectedDelay(now) > 0.2);
        second.started(now);
        now += 5 * MS;
        assertEquals(0, workers.get(0).expectedDelay(now), "the first one hangs alone");
        assertTrue(first.lossProbability(now) > 0.7, "and is lost all the same");
        assertTrue(trafficState(0) != TrafficState.EJECTED);
    }

    @Test
    void queuedJobsCountAsOneSign() {
        serve(0, 40);
        serve(1, 40);
        for (int i = 0; i < 6; i++) {
            workers.get(0).recordSend(now, now + 100 * MS, RUN, 0);
            workers.get(1).recordSend(now, now, RUN, 0);
        }
        now += 250 * MS;
        assertTrue(workers.get(1).sickProbability(now) > 0.99);
        assertTrue(workers.get(0).sickProbability(now) < 0.5, "sick " + workers.get(0).sickProbability(now));
    }

    @Test
    void aWorkerWhereHalfOfTheJobsHangIsFlaky() {
        serve(0, 40);
        for (int i = 0; i < 6; i++) {
            send(0).started(now);
            serve(0, 1);
        }
        now += S;
        assertTrue(workers.get(0).sickProbability(now) > 0.8, "sick " + workers.get(0).sickProbability(now));
        assertEquals(Belief.State.FLAKY, workers.get(0).belief(now).state());
    }

    @Test
    void aLongJobWithProgressReportsIsNoFailure() {
        serve(0, 40);
        var heavy = send(0);
        heavy.started(now);
        for (int i = 0; i < 20; i++) {
            now += 2 * S;
            heavy.progressed(now);
        }
        assertTrue(workers.get(0).sickProbability(now + S) < 0.02 && heavy.lossProbability(now + S) < 0.02);
        assertTrue(heavy.lossProbability(now + 6 * S) > 0.3, "progress reports are missing");
    }

    @Test
    void aDispatcherStallBlamesNoWorker() {
        serve(0, 40);
        var job = send(0);
        now += 2 * S;
        detector.timerFired(now, now - 2 * S + 10 * MS);
        assertTrue(job.lossProbability(now) < 0.1 && workers.get(0).sickProbability(now) < 0.02);
        now += 300 * MS;
        assertTrue(job.lossProbability(now) > 0.5, "silence after the stall counts");
    }

    @Test
    void atMostTwoThirdsAreEjected() {
        for (int worker = 0; worker < 6; worker++) {
            for (int i = 0; i < 4; i++) {
                job(worker, Sign.NO_CONNECTION);
            }
        }
        long ejected = workers.stream()
                .filter(worker -> worker.trafficState() == TrafficState.EJECTED).count();
        assertTrue(ejected >= 3 && ejected <= 4, ejected + " ejected");
    }

    @Test
    void remainingWorkersOfAFailedZoneAreSuspect() {
        workers.forEach(worker -> worker.updatePlacement(workers.indexOf(worker) < 4 ? 1 : 2, 1));
        for (int i = 0; i < 9; i++) {
            job(i % 3, Sign.NO_CONNECTION);
        }
        assertEquals(TrafficState.REDUCED, trafficState(3));
        assertEquals(TrafficState.FULL, trafficState(4));
    }

    @Test
    void aNewProcessStartsWithoutEvidence() {
        for (int i = 0; i < 4; i++) {
            job(0, Sign.NO_CONNECTION);
        }
        workers.get(0).processRestarted(0);
        assertEquals(TrafficState.FULL, trafficState(0));
    }

    @Test
    void estimatesDecaySoThatAnIdleWorkerRecovers() {
        for (int i = 0; i < 4; i++) {
            job(0, Sign.RESET);
        }
        assertEquals(TrafficState.EJECTED, trafficState(0));
        now += 30 * S;
        assertEquals(TrafficState.FULL, trafficState(0));
    }

    @Test
    void stateChangesAndRefusalsAreLoggedOnce() {
        detector.takeLogLines(now);
        for (int i = 0; i < 3; i++) {
            job(0, Sign.NO_CONNECTION);
        }
        assertEquals(1, detector.takeLogLines(now).size());
        assertEquals(List.of(), detector.takeLogLines(now));
        var words = workers.get(0).belief(now).description();
        assertTrue(words.startsWith("worker w0 fails all jobs (probability ") && words.endsWith(
                "%): jobs could not connect; recovery probes only"), words);
        detector.refusals().count(Refusals.Cause.BUSY);
        detector.refusals().count(Refusals.Cause.BUSY);
        now += 20 * S;
        assertEquals("not served: 2 jobs because every eligible worker was busy for longer than they"
                + " could wait", detector.takeLogLines(now).get(0));
        assertEquals(2, detector.refusals().counts().get(Refusals.Cause.BUSY));
    }
}
