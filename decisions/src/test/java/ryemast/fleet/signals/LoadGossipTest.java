package ryemast.fleet.signals;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class LoadGossipTest {

    private static final long S = 1_000_000;
    private static final long PERIOD = S / 10;
    private static final long T0 = 1_000 * S;

    private static LocalEstimate estimate(String worker, double jobs, double work, double speed,
            double sick) {
        return new LocalEstimate(worker, 0, 4, 1,
                new WorkerReport(WorkerReport.nameHash(worker), jobs, work, speed, 20, sick, 5, 0));
    }

    private static LocalEstimate unobserved(String worker) {
        return new LocalEstimate(worker, 0, 4, 1, null);
    }

    /** One receiver and several peers, each of which reports the estimates it is given. */
    private static final class Fleet {
        final LoadGossip self = new LoadGossip("self", 1, 300);
        final List<LoadGossip> peers = new ArrayList<>();
        long now = T0;
        /** The receiver's last datagrams, which each peer receives before it sends. */
        List<List<byte[]>> lastSent = self.digests(now, List.of());

        Fleet(int peers) {
            IntStream.range(0, peers).forEach(i -> this.peers.add(new LoadGossip("p" + i, 100 + i, 300)));
        }

        DigestRejection deliver(int peer, LocalEstimate... estimates) {
            return deliver(peer, peers.get(peer), estimates);
        }

        DigestRejection deliver(int peer, LoadGossip sender, LocalEstimate... estimates) {
            DigestRejection last = null;
            sender.receive(now, 0, lastSent.get(peer).get(0));
            for (var bytes : sender.digests(now, List.of(estimates)).get(0)) {
                assertTrue(bytes.length <= Digest.MAX_BYTES);
                last = self.receive(now, peer, bytes);
            }
            return last;
        }

        Borrowed estimateOf(String worker, LocalEstimate... others) {
            var estimates = new ArrayList<>(List.of(others));
            estimates.add(unobserved(worker));
            lastSent = self.digests(now, estimates);
            return self.peerEstimates(now).get(worker);
        }
    }

    @Test
    void mergesReportsOfPeers() {
        var fleet = new Fleet(2);
        assertNull(fleet.deliver(0, estimate("w", 2, 3, 2, 0.01)));
        assertNull(fleet.deliver(1, estimate("w", 1, 0.5, 2, 0.01)));
        var borrowed = fleet.estimateOf("w");
        assertEquals(3, borrowed.jobs(), 0.01);
        assertEquals(3.5, borrowed.work(), 0.01);
        assertEquals(Math.log(2), borrowed.logSpeed(), 0.01);
        assertTrue(borrowed.samples() > 0 && borrowed.suspicion() < 0.02);
        assertNull(fleet.estimateOf("another"));
    }

    @Test
    void noEstimatesWithoutPeers() {
        var fleet = new Fleet(0);
        assertTrue(fleet.self.peerEstimates(T0).isEmpty());
        assertEquals(0, fleet.self.trustedPeers(T0));
    }

    @Test
    void estimatesDecayWithAgeAndEndWithSilence() {
        var fleet = new Fleet(1);
        fleet.deliver(0, estimate("w", 4, 4, 1, 0.9));
        double before = Double.MAX_VALUE;
        for (; fleet.now - T0 <= Peer.SILENCE_LIMIT; fleet.now += PERIOD) {
            var borrowed = fleet.estimateOf("w");
            assertTrue(borrowed.jobs() < before || borrowed.jobs() == 0);
            before = borrowed.jobs();
        }
        assertNull(fleet.estimateOf("w"), "a peer that is silent for longer is not trusted");
        assertEquals(0, fleet.self.trustedPeers(fleet.now));
        var estimate = new Borrowed(T0, 1, 1, 0, 1, 1);
        assertTrue(estimate.loadDecay(T0 + S) < 0.4 && estimate.estimateDecay(T0 + 8 * S) < 0.4
                && estimate.loadDecay(T0 - S) == 1);
    }

    /** A received report is never part of a sent one, so no estimate outlives the member it came from. */
    @Test
    void receivedReportsAreNotForwarded() {
        var fleet = new Fleet(1);
        fleet.deliver(0, estimate("w", 4, 4, 3, 0.9));
        assertTrue(fleet.estimateOf("w").jobs() > 0);
        var digest = Digest.decode(fleet.self.digests(fleet.now, List.of(unobserved("w"))).get(0).get(0))
                .orElseThrow();
        assertEquals(List.of(), digest.reports());
    }

    /** One false reporter among two, three or six peers: the estimates stay with the honest ones. */
    @Test
    void oneFalseReporterDecidesNoEstimate() {
        for (int honest : new int[] {1, 2, 5}) {
            for (double lie : new double[] {0, 1}) {
                var fleet = new Fleet(honest + 1);
                for (int i = 0; i < honest; i++) {
                    fleet.deliver(i, estimate("w", 1, 1, 2, lie == 0 && honest > 1 ? 0.9 : 0.01));
                }
                fleet.deliver(honest, estimate("w", 1, 1, lie == 0 ? 1.0 / 15 : 15, lie));
                var borrowed = fleet.estimateOf("w");
                assertTrue(borrowed.logSpeed() >= -0.01 && borrowed.logSpeed() <= Math.log(2) + 0.01,
                        borrowed.toString());
                assertEquals(lie == 0 && honest > 1, borrowed.suspicion() > 0.5, borrowed.toString());
            }
        }
    }

    /** What all peers report is accepted, but only within a small factor of our own estimate. */
    @Test
    void colludingFalseSpeedsAreBounded() {
        for (double speed : new double[] {15, 1.0 / 15}) {
            var fleet = new Fleet(4);
            IntStream.range(0, 4).forEach(i -> fleet.deliver(i, estimate("w", 0, 0, speed, 0.01)));
            assertEquals(Math.log(LoadGossip.MAX_SPEED_FACTOR), Math.abs(fleet.estimateOf("w").logSpeed()),
                    0.01);
        }
    }

    @Test
    void singlePeerCountsForJobsButNotForEstimates() {
        var fleet = new Fleet(3);
        fleet.deliver(0, estimate("w", 2, 2, 5, 1));
        fleet.deliver(1, estimate("v", 1, 1, 1, 0));
        var borrowed = fleet.estimateOf("w");
        assertEquals(2, borrowed.jobs(), 0.01);
        assertEquals(0, borrowed.suspicion());
        assertEquals(0, borrowed.samples());
    }

    @Test
    void jobsAreCappedAtAMultipleOfTheMedian() {
        var fleet = new Fleet(3);
        fleet.deliver(0, estimate("w", 4, 4, 1, 0), estimate("v", 6, 6, 1, 0));
        fleet.deliver(1, estimate("v", 10, 10, 1, 0));
        var lies = IntStream.range(0, 40).mapToObj(i -> estimate("x" + i, 60, 60, 1, 0))
                .toArray(LocalEstimate[]::new);
        fleet.deliver(2, lies);
        var estimates = IntStream.range(0, 40).mapToObj(i -> unobserved("x" + i)).toList();
        fleet.self.digests(fleet.now, estimates);
        double sum = fleet.self.peerEstimates(fleet.now).values().stream().mapToDouble(Borrowed::jobs).sum();
        assertTrue(sum <= LoadGossip.MAX_MEDIAN_MULTIPLE * 10 + 0.1, "accepted " + sum + " of 2400");
    }

    @Test
    void implausibleReportSuspendsThePeer() {
        for (var lie
                : List.of(estimate("w", 1e4 + 1, 1, 1, 0), estimate("w", 200, 1, 1, 0),
                estimate("w", 2, 1, 17, 0),
                estimate("w", 2, 1, 0.05, 0))) {
            var fleet = new Fleet(2);
            fleet.estimateOf("v", estimate("w", 1, 1, 1, 0));
            fleet.deliver(0, estimate("w", 1, 1, 1, 0));
            assertTrue(fleet.estimateOf("v", estimate("w", 1, 1, 1, 0)) == null);
            assertEquals(DigestRejection.IMPLAUSIBLE, fleet.deliver(0, lie));
            assertNull(fleet.estimateOf("w"));
            fleet.now += Peer.SUSPENSION - PERIOD;
            assertEquals(DigestRejection.SUSPENDED, fleet.deliver(0, estimate("w", 1, 1, 1, 0)));
            fleet.now += PERIOD;
            fleet.estimateOf("w");
            assertNull(fleet.deliver(0, estimate("w", 1, 1, 1, 0.5)));
            assertTrue(fleet.estimateOf("w").jobs() > 0);
        }
        assertTrue(!new WorkerReport(1, -1, 0, 0, 0, 0, 0, 0).isPlausible());
        assertTrue(!new WorkerReport(1, 1, 0, Double.NaN, 0, 0, 0, 0).isPlausible());
        assertTrue(!new WorkerReport(1, 1, 0, 0, 0, 1.01, 0, 0).isPlausible());
    }

    /**
     * Jobs without cost estimates make all speeds look high; a member that has measured none must not
     * reject them.
     */
    @Test
    void newMemberSuspendsNoPeerForAnUnmeasuredSpeed() {
        var fleet = new Fleet(2);
        fleet.estimateOf("w");
        assertNull(fleet.deliver(0, estimate("w", 1, 1, 40, 0)));
        assertNull(fleet.deliver(1, estimate("w", 1, 1, 40, 0)));
        assertEquals(Math.log(LoadGossip.MAX_SPEED_FACTOR), fleet.estimateOf("w").logSpeed(), 0.01);
    }

    @Test
    void replayedDigestsChangeNothing() {
        var fleet = new Fleet(1);
        var peer = fleet.peers.get(0);
        var old = peer.digests(T0, List.of(estimate("w", 50, 50, 1, 1))).get(0).get(0);
        assertNull(fleet.self.receive(T0, 0, old));
        assertEquals(DigestRejection.DUPLICATE_OR_LATE, fleet.self.receive(T0, 0, old), "duplicate");
        for (int i = 0; i < 80; i++) {
            fleet.now += PERIOD;
            assertNull(fleet.deliver(0, estimate("w", i % 3, 1, 1, 0)));
            fleet.estimateOf("w");
        }
        assertEquals(DigestRejection.REPLAYED, fleet.self.receive(fleet.now, 0, old));
        assertNull(fleet.estimateOf("w"), "the peer is suspended");
    }

    @Test
    void newProcessReplacesTheFormerOnceThatIsSilent() {
        var fleet = new Fleet(1);
        fleet.deliver(0, estimate("w", 5, 5, 1, 0));
        var next = new LoadGossip("p0", 999, 1);
        assertEquals(DigestRejection.UNKNOWN_SENDER, fleet.deliver(0, next, estimate("w", 1, 1, 1, 0)));
        fleet.now += Peer.TAKEOVER_DELAY;
        fleet.estimateOf("w");
        assertNull(fleet.deliver(0, next, estimate("w", 2, 1, 1, 0)));
        assertEquals(2, fleet.estimateOf("w").jobs(), 0.01);
        fleet.now += 2 * Peer.TAKEOVER_DELAY;
        fleet.estimateOf("w");
        assertEquals(DigestRejection.ENDED_PROCESS, fleet.deliver(0, estimate("w", 5, 5, 1, 0)));
    }

    /**
     * A replayed digest of an unknown process, received during a gap, replaces the real process only for a
     * while.
     */
    @Test
    void continuingProcessIsAcceptedAgain() {
        var fleet = new Fleet(1);
        var before = new LoadGossip("p0", 999, 1).digests(T0, List.of(estimate("w", 5, 5, 1, 0))).get(0)
                .get(0);
        fleet.deliver(0, estimate("w", 1, 1, 1, 0));
        fleet.now += Peer.TAKEOVER_DELAY;
        fleet.estimateOf("w");
        assertNull(fleet.self.receive(fleet.now, 0, before));
        for (long until = fleet.now + Peer.SILENCE_LIMIT; fleet.now <= until; fleet.now += PERIOD) {
            assertEquals(DigestRejection.ENDED_PROCESS, fleet.deliver(0, estimate("w", 1, 1, 1, 0)));
            fleet.estimateOf("w");
        }
        fleet.estimateOf("w");
        assertNull(fleet.deliver(0, estimate("w", 2, 1, 1, 0)));
        assertEquals(2, fleet.estimateOf("w").jobs(), 0.01);
        assertEquals(DigestRejection.ENDED_PROCESS, fleet.self.receive(fleet.now, 0, before));
    }

    @Test
    void unknownSendersDuplicateNamesAndNoiseAreRejected() {
        var fleet = new Fleet(2);
        fleet.deliver(0, estimate("w", 1, 1, 1, 0));
        var bytes = fleet.peers.get(1).digests(T0, List.of(estimate("w", 9, 9, 1, 0))).get(0).get(0);
        assertEquals(DigestRejection.UNKNOWN_SENDER, fleet.self.receive(T0, 300, bytes));
        assertEquals(DigestRejection.UNKNOWN_SENDER, fleet.self.receive(T0, -1, bytes));
        assertEquals(DigestRejection.UNKNOWN_SENDER,
                fleet.deliver(1, new LoadGossip("self", 7, 1), estimate("w", 1, 1, 1, 0)));
        assertEquals(DigestRejection.UNKNOWN_SENDER,
                fleet.deliver(1, new LoadGossip("p0", 7, 1), estimate("w", 1, 1, 1, 0)));
        var random = new Random(5);
        for (int i = 0; i < 20_000; i++) {
            var noise = bytes.clone();
            if (i % 2 == 0) {
                noise = new byte[random.nextInt(1300)];
                random.nextBytes(noise);
            } else {
                noise[random.nextInt(4)] ^= (byte) (1 + random.nextInt(255));
            }
            var rejection = new LoadGossip("self", 1, 1).receive(T0, 0, noise);
            assertEquals(DigestRejection.MALFORMED, rejection);
        }
        assertEquals(1, fleet.estimateOf("w").jobs(), 0.01);
    }

    /** Work per period is bounded however much one peer sends, and the other peer is still heard. */
    @Test
    void floodIsNotRead() {
        var fleet = new Fleet(2);
        int accepted = 0;
        for (int i = 0; i < 1000; i++) {
            accepted += fleet.deliver(0, estimate("w", i % 2, 1, 1, 0)) == null ? 1 : 0;
        }
        assertEquals(LoadGossip.MAX_DATAGRAMS_PER_PERIOD, accepted);
        assertNull(fleet.deliver(1, estimate("w", 1, 1, 1, 0)));
    }

    @Test
    void reportsOnAFormerWorkerProcessAreIgnored() {
        var fleet = new Fleet(2);
        fleet.deliver(0, estimate("w", 3, 3, 1, 0.9));
        fleet.deliver(1, estimate("w", 3, 3, 1, 0.9));
        assertTrue(fleet.estimateOf("w").suspicion() > 0.8);
        fleet.now += PERIOD;
        fleet.self.digests(fleet.now, List.of(new LocalEstimate("w", fleet.now - 1, 4, 1, null)));
        assertNull(fleet.self.peerEstimates(fleet.now).get("w"));
        var old = new LocalEstimate("w", 0, 4, 1,
                new WorkerReport(WorkerReport.nameHash("w"), 1, 1, 1, 9, 0.9, 9, 5 * S));
        fleet.deliver(0, old);
        fleet.deliver(1, old);
        fleet.self.digests(fleet.now, List.of(new LocalEstimate("w", fleet.now - S, 4, 1, null)));
        assertEquals(0, fleet.self.peerEstimates(fleet.now).get("w").suspicion(),
                "evidence from before its start");
    }

    /**
     * The peers have just received what we sent a second ago, so what they send may be delayed by as much.
     */
    @Test
    void possiblyLateReportsCountAsLate() {
        var fleet = new Fleet(2);
        fleet.now += S;
        fleet.deliver(0, estimate("w", 4, 4, 2, 0.9));
        fleet.deliver(1, estimate("w", 4, 4, 2, 0.9));
        var borrowed = fleet.estimateOf("w");
        assertEquals(8 / Math.E, borrowed.jobs(), 0.01);
        assertEquals(0.9 * Math.exp(-1.0 / 8), borrowed.suspicion(), 0.01);
        fleet.self.digests(fleet.now, List.of(new LocalEstimate("w", fleet.now - S / 2, 4, 1, null)));
        assertNull(fleet.self.peerEstimates(fleet.now).get("w"),
                "it may refer to the worker's former process");
        var late = new Fleet(1);
        late.now += 5 * S / 2 + 1;
        late.deliver(0, estimate("w", 4, 4, 2, 0.9));
        assertEquals(0, late.estimateOf("w").jobs(), "jobs reported that long ago are ignored");
    }

    @Test
    void peerThatHasNotEchoedThisProcessIsIgnored() {
        var fleet = new Fleet(1);
        var peer = fleet.peers.get(0);
        assertNull(fleet.self.receive(T0, 0,
                peer.digests(T0, List.of(estimate("w", 4, 4, 1, 0))).get(0).get(0)));
        assertTrue(fleet.estimateOf("w") == null && fleet.self.trustedPeers(T0) == 0);
        peer.receive(T0, 0, new LoadGossip("self", 77, 1).digests(T0, List.of()).get(0).get(0));
        assertNull(fleet.self.receive(T0, 0, peer.digests(T0, List.of()).get(0).get(0)),
                "echoes another process");
        assertTrue(fleet.estimateOf("w") == null && fleet.self.trustedPeers(T0) == 0);
        fleet.now += Peer.TAKEOVER_DELAY;
        fleet.estimateOf("w");
        fleet.deliver(0);
        assertTrue(fleet.estimateOf("w").jobs() > 2 && fleet.self.trustedPeers(fleet.now) == 1,
                "reports received before count");
    }

    /** With more reports than fit into a period's datagrams: all are sent in turn, changed ones at once. */
    @Test
    void longListsAreSentInRotationChangesFirst() {
        int workers = 2000;
        var builder = new DigestBuilder(1, 1);
        var estimates = new ArrayList<LocalEstimate>();
        IntStream.range(0, workers).forEach(i -> estimates.add(estimate("w" + i, 1, 1, 1, 0.01)));
        Set<Integer> seen = new HashSet<>();
        int periods = 0;
        while (seen.size() < workers) {
            periods++;
            int changed = periods % workers;
            estimates.set(changed, estimate("w" + changed, 1 + periods, 9, 1, 0.01));
            var digests = builder.digests(T0 + periods * PERIOD, estimates);
            assertTrue(digests.size() <= DigestBuilder.MAX_DIGESTS);
            var sent = digests.stream().flatMap(each -> each.reports().stream())
                    .map(WorkerReport::nameHash).toList();
            seen.addAll(sent);
        }
        assertTrue(periods <= workers / (DigestBuilder.MAX_DIGESTS * Digest.MAX_REPORTS) + 2,
                periods + " periods");
        estimates.set(7, estimate("w7", 30, 30, 1, 0.01));
        var first = builder.digests(T0 + (periods + 1) * PERIOD, estimates).get(0);
        assertTrue(first.reports().stream().anyMatch(
                tale -> tale.nameHash() == WorkerReport.nameHash("w7") && tale.jobs() == 30));
    }

    @Test
    void digestRoundTrip() {
        var random = new Random(3);
        for (int i = 0; i < 300; i++) {
            var reports = IntStream.range(0, random.nextInt(Digest.MAX_REPORTS + 1))
                    .mapToObj(k -> new WorkerReport(
                    random.nextInt(), random.nextInt(400) / 4.0, Math.exp(random.nextGaussian() * 3),
                    random.nextBoolean() ? 0 : Math.exp(random.nextGaussian()), random.nextInt(250) / 4.0,
                    random.nextInt(256) / 255.0, random.nextInt(250) / 8.0,
                    random.nextInt(60_000) * 100_000L)).toList();
            var digest = new Digest(random.nextInt(), random.nextLong(), random.nextLong(),
                    random.nextLong(), random.nextBoolean() ? null : new Echo(random.nextLong(),
                    random.nextLong() >>> 1, random.nextLong()), reports);
            var read = Digest.decode(digest.encode()).orElseThrow();
            assertEquals(digest.process(), read.process());
            assertEquals(digest.sequence(), read.sequence());
            assertEquals(digest.sentAt(), read.sentAt());
            assertEquals(digest.echo(), read.echo());
            assertTrue(digest.encode().length <= Digest.MAX_BYTES);
            assertArrayEquals(digest.encode(), read.encode());
            for (int k = 0; k < reports.size(); k++) {
                assertEquals(1, reports.get(k).work() / read.reports().get(k).work(), 0.001);
                assertEquals(reports.get(k).jobs(), read.reports().get(k).jobs());
                assertEquals(reports.get(k).age(), read.reports().get(k).age());
            }
        }
    }
}
