package ryemast.fleet.signals;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.LongUnaryOperator;
import org.junit.jupiter.api.Test;

/** The estimated send times of a peer's digests, and so the age of its reports. */
class PeerClockTest {

    private static final long MS = 1000;
    private static final long S = 1_000_000;
    private static final long NEVER = Long.MAX_VALUE / 4;
    private static final int WORKER = 5;

    private record InFlight(int to, long arrivesAt, long sentAt, Digest digest) {
    }

    /** Two members that exchange digests ten times a second over links with changing delay. */
    private static final class Pair {
        /** What each member knows of the other. */
        final Peer[] peers = {new Peer(), new Peer()};
        final long[] process = {11, 22};
        final long[] clockOffset = {0, 3600 * S};
        final double[] clockRate = {1, 1};
        /** The delay of what each member sends. */
        final LongUnaryOperator[] delay = {at -> 0, at -> 0};
        final List<InFlight> inFlight = new ArrayList<>();
        final List<DigestRejection> rejections = new ArrayList<>();
        /** All echoes that the first member has received, as reference for its bound. */
        final List<Echo> echoes = new ArrayList<>();
        long newestSentAt;
        long now = 100 * S;
        long sequence;

        long clock(int member) {
            return clock(member, now);
        }

        long clock(int member, long at) {
            return clockOffset[member] + (long) (at * clockRate[member]);
        }

        void advance(long duration) {
            for (long end = now + duration; now < end; now += 10 * MS) {
                for (int i = 0; i < 2 && now % (100 * MS) == 0; i++) {
                    var tales = List.of(new WorkerReport(WORKER, 1, 1, 1, 1, 0, 1, 0));
                    inFlight.add(new InFlight(1 - i, now + delay[i].applyAsLong(now), now,
                            new Digest(i, process[i], ++sequence, clock(i), peers[i].echo(), tales)));
                }
                var arrived = inFlight.stream().filter(each -> each.arrivesAt <= now).toList();
                inFlight.removeAll(arrived);
                arrived.forEach(each -> {
                    var rejection = peers[each.to].receive(clock(each.to), process[each.to], each.digest,
                            tale -> true);
                    rejections.add(rejection);
                    if (each.to == 0 && rejection == null) {
                        newestSentAt = each.sentAt;
                        if (each.digest.echo() != null) {
                            echoes.add(each.digest.echo());
                        }
                    }
                });
            }
        }

        boolean isTrusted(int member) {
            return peers[member].isTrusted(clock(member));
        }
    }

    /** Checked against the whole history: each exchange gives a bound, and the tightest one must be used. */
    @Test
    void sendTimeIsNeverOverestimatedAndAsTightAsAnyExchangeAllows() {
        for (long seed = 1; seed <= 200; seed++) {
            var random = new Random(seed);
            var pair = new Pair();
            for (int i = 0; i < 2; i++) {
                pair.clockRate[i] = 0.99 + 0.01 * random.nextInt(3);
                pair.clockOffset[i] = random.nextInt(3600) * S;
                long constant = random.nextInt(3) == 0 ? 0 : random.nextInt(3_000_000);
                long growth = random.nextInt(3) == 0 ? random.nextInt(200) : 0;
                int chance = random.nextBoolean() ? 1 : 400_000;
                pair.delay[i] = at -> constant + growth * (at - 100 * S) / 1000 + random.nextInt(chance);
            }
            for (int step = 0; step < 100; step++) {
                pair.advance(100 * MS);
                if (pair.isTrusted(0)) {
                    long at = pair.peers[0].earliestTime(WORKER);
                    assertTrue(at <= pair.clock(0, pair.newestSentAt) + 2, "seed " + seed);
                    long sent = pair.clock(1, pair.newestSentAt);
                    long nearest = pair.echoes.stream().mapToLong(each -> (long) (each.sentAt() + sent
                            - each.receivedAt() - PeerClock.MAX_DRIFT * (sent - each.receivedAt()))).max()
                            .orElseThrow();
                    assertEquals(Math.min(nearest, pair.clock(0)), at, 2, "seed " + seed);
                }
            }
            assertTrue(pair.isTrusted(0), "seed " + seed);
            assertTrue(pair.rejections.stream()
                    .allMatch(why -> why == null || why == DigestRejection.DUPLICATE_OR_LATE));
        }
    }

    /**
     * A peer that receives nothing from us is not trusted; once it has, the bound remains and widens with
     * drift.
     */
    @Test
    void oneWayPartitionKeepsTheLastExchange() {
        var pair = new Pair();
        pair.delay[0] = at -> NEVER;
        pair.advance(5 * S);
        assertTrue(!pair.isTrusted(0) && !pair.isTrusted(1));
        pair.delay[0] = at -> 0;
        pair.advance(300 * MS);
        assertTrue(pair.isTrusted(0) && pair.isTrusted(1));
        pair.delay[0] = at -> NEVER;
        pair.advance(10 * S);
        assertTrue(pair.isTrusted(0) && !pair.isTrusted(1));
        long bound = pair.clock(0, pair.newestSentAt) - pair.peers[0].earliestTime(WORKER);
        assertTrue(bound > 10 * S * 0.019 && bound < 10 * S * 0.025, "bound " + bound);
    }

    @Test
    void newProcessOnEitherSideStartsANewExchange() {
        for (int side = 0; side < 2; side++) {
            var pair = new Pair();
            pair.advance(2 * S);
            pair.peers[side] = new Peer();
            pair.process[side] = 33;
            pair.clockOffset[side] += 500 * S;
            pair.delay[1 - side] = at -> 0;
            long from = pair.now;
            pair.delay[side] = at -> at < from + 600 * MS ? NEVER : 0;
            pair.advance(600 * MS);
            assertTrue(!pair.isTrusted(side), "echoes are for its former process");
            pair.advance(400 * MS);
            assertTrue(pair.isTrusted(0) && pair.isTrusted(1));
            assertTrue(pair.rejections.stream().allMatch(why -> why == null));
        }
    }

    /** A suspended machine's clock may have stopped; what was queued for it then arrives at once. */
    @Test
    void stoppedOrJumpedClocksRecoverWithinASecond() {
        for (long shift : new long[] {-10 * S, -S, S, 10 * S}) {
            for (int side = 0; side < 2; side++) {
                var pair = new Pair();
                pair.advance(5 * S);
                pair.clockOffset[side] += shift;
                if (shift < 0) {
                    pair.now -= shift;
                }
                pair.advance(S);
                assertTrue(pair.isTrusted(0) && pair.isTrusted(1), shift + " at " + side);
                assertTrue(!pair.rejections.contains(DigestRejection.IMPLAUSIBLE), shift + " at " + side);
                assertEquals(pair.clock(0, pair.newestSentAt), pair.peers[0].earliestTime(WORKER), 50 * MS);
            }
        }
    }

    private static DigestRejection receive(Peer peer, long now, long sequence, long sent, Echo echo) {
        return peer.receive(now, 11, new Digest(1, 22, sequence, sent, echo, List.of()), tale -> true);
    }

    @Test
    void impossibleTimestampsSuspendThePeer() {
        long now = 100 * S;
        for (var echo : List.of(new Echo(11, now + 1, 5 * S), new Echo(11, now, 5 * S + 1),
                new Echo(11, -2, 5 * S), new Echo(11, now, -1), new Echo(11, NEVER, 5 * S),
                new Echo(12, now, 5 * S + 1))) {
            var peer = new Peer();
            assertEquals(DigestRejection.IMPLAUSIBLE, receive(peer, now, 1, 5 * S, echo), echo.toString());
            assertTrue(!peer.isTrusted(now));
            assertEquals(DigestRejection.SUSPENDED,
                    receive(peer, now + S, 2, 6 * S, new Echo(11, now, 5 * S)));
            assertNull(receive(peer, now + Peer.SUSPENSION, 3, 15 * S, new Echo(11, now, 5 * S)));
            assertTrue(peer.isTrusted(now + Peer.SUSPENSION));
            assertEquals(DigestRejection.IMPLAUSIBLE,
                    receive(peer, now + Peer.SUSPENSION, 4, 15 * S - 1, null), "send time decreases");
        }
        for (long sent : new long[] {-1, Long.MIN_VALUE, NEVER, Long.MAX_VALUE}) {
            assertEquals(DigestRejection.IMPLAUSIBLE, receive(new Peer(), now, 1, sent, null));
        }
    }

    /**
     * The peer claims to have held our digests for longer than they were in flight: once a clock may have
     * jumped, twice in a row is impossible.
     */
    @Test
    void tooLongEchoDelaysSuspendThePeer() {
        var peer = new Peer();
        assertNull(receive(peer, 100 * S, 1, 50 * S, new Echo(11, 99 * S, 49 * S)));
        assertTrue(peer.isTrusted(100 * S));
        assertNull(receive(peer, 101 * S, 2, 60 * S, new Echo(11, 100 * S, 50 * S)));
        assertTrue(!peer.isTrusted(101 * S), "it is unknown whose clock has jumped");
        assertNull(receive(peer, 102 * S, 3, 61 * S, new Echo(11, 101 * S, 50 * S)), "from before the jump");
        assertEquals(DigestRejection.IMPLAUSIBLE,
                receive(peer, 102 * S + 1, 4, 62 * S, new Echo(11, 102 * S, 50 * S)));
    }

    /** Whatever timestamps are sent, nothing is dated later than its receipt, and nothing is thrown. */
    @Test
    void falseTimestampsOnlyMakeReportsOlder() {
        var random = new Random(1);
        int accepted = 0;
        for (int i = 0; i < 200_000; i++) {
            var peer = new Peer();
            long now = 100 * S;
            for (int k = 1; k <= 3; k++, now += S / 10) {
                long sent = randomTime(random, k * S);
                var digest = new Digest(1, 22, k, sent, random.nextInt(4) == 0 ? null
                        : new Echo(random.nextInt(4) == 0 ? 12 : 11, randomTime(random, now),
                        randomTime(random, sent)),
                        List.of(new WorkerReport(WORKER, 1, 1, 1, 1, 0, 1, 0)));
                if (peer.receive(now, 11, digest, tale -> true) == null && peer.isTrusted(now)) {
                    accepted++;
                    assertTrue(peer.earliestTime(WORKER) <= now && peer.loadWeight(WORKER, now) <= 1);
                }
            }
        }
        assertNotEquals(0, accepted);
    }

    private static long randomTime(Random random, long near) {
        return random.nextInt(8) == 0 ? random.nextLong() : near + random.nextInt(4 * (int) S) - 3 * S;
    }
}
