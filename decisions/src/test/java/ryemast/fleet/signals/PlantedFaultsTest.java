package ryemast.fleet.signals;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.InvocationTargetException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.junit.jupiter.api.io.TempDir;
import ryemast.PlantedFaultLoader;

/**
 * Shows that {@link LoadGossipSimulation} detects faults: each one is planted into a copy of a source file,
 * compiled, and simulated seed by seed until an invariant is violated (mutation analysis: DeMillo, Lipton
 * and Sayward, "Hints on Test Data Selection", 1978). The unmodified code violates none. Faults that a
 * simulation can't detect are detected by a unit test.
 */
class PlantedFaultsTest {

    /** Simulations of the unmodified code; each fault must be detected within as many. */
    private static final int SEEDS = 20;
    private static final String GOSSIP = "ryemast/fleet/signals/LoadGossip";
    private static final String PEER = "ryemast/fleet/signals/Peer";
    private static final String CLOCK = "ryemast/fleet/signals/PeerClock";
    private static final String BORROWED = "ryemast/fleet/signals/Borrowed";
    private static final String RATES = "pipitladder/WorkerEstimates";
    private static final String LEDGER = "pipitladder/DispatchState";
    private static final String BOX = "ryemast/health/WorkerHealth";
    private static final String SIMULATION = "";
    private static final String GOSSIP_TEST = "ryemast.fleet.signals.LoadGossipTest.";
    private static final String CLOCK_TEST = "ryemast.fleet.signals.PeerClockTest.";
    private static final String PEERS_TOLD_TEST = "pipitladder.PeerEvidenceTest.";

    /** {@code detectedBy}: the test that detects it, or {@link #SIMULATION}. */
    private record Fault(String name, String file, String from, String to, String detectedBy) {
    }

    private static final List<Fault> FAULTS = List.of(
            new Fault("jobs reported by peers are forwarded", RATES, "worker.usedSlots, Math.max(",
                    "worker.usedSlots + worker.peerSlots(now), Math.max(", SIMULATION),
            new Fault("suspicion reported by peers is forwarded", RATES, "box.peekLocalSickProbability(now)",
                    "box.sickProbability(now)",
                    SIMULATION),
            new Fault("an estimate of a single peer is accepted", GOSSIP, "QUORUM = 2", "QUORUM = 1",
            SIMULATION),
            new Fault("our own estimate is omitted with few peers", GOSSIP,
                    "if (suspicions.size() < MIN_VOTES || hasReport)", "if (suspicions.isEmpty())",
                    SIMULATION),
            new Fault("the mean instead of the median", GOSSIP, "hasQuorum ? median(suspicions) : 0",
                    "hasQuorum ? suspicions.stream().mapToDouble(each -> each).average().orElse(0) : 0",
                    SIMULATION),
            new Fault("a speed is accepted however far it is from our own", GOSSIP, "MAX_SPEED_FACTOR = 3",
                    "MAX_SPEED_FACTOR = 1e9", GOSSIP_TEST + "colludingFalseSpeedsAreBounded"),
            new Fault("one peer reports any share of the fleet's jobs", GOSSIP, "MAX_MEDIAN_MULTIPLE = 2",
                    "MAX_MEDIAN_MULTIPLE = 1e9", SIMULATION),
            new Fault("an implausible report does not suspend the peer", PEER,
                    "!digest.reports().stream().allMatch(plausible)", "false", SIMULATION),
            new Fault("our own name is accepted", GOSSIP, "digest.member() == self || ", "", SIMULATION),
            new Fault("another peer's name is accepted", GOSSIP,
                    " || i != peer && peers[i].isMember(digest.member())", "", SIMULATION),
            new Fault("the sequence is not checked", PEER, "if (behind >= 0) {", "if (behind > 1_000_000) {",
                    SIMULATION),
            new Fault("a process that was considered ended is never accepted again", PEER,
                    "pastProcesses.containsKey(digest.process()) && now - lastReceivedAt <= SILENCE_LIMIT",
                    "pastProcesses.containsKey(digest.process())",
                    GOSSIP_TEST + "continuingProcessIsAcceptedAgain"),
            new Fault("speeds are rejected without a measured one of our own", GOSSIP,
                    "isMeasured(report) && isMeasured(estimate.report())", "report.speed() > 0", SIMULATION),
            new Fault("stale reports do not decay", BORROWED,
                    "Math.exp(-Math.max(0, micros) / SECOND / seconds)", "1", SIMULATION),
            new Fault("a silent peer stays trusted", PEER,
                    "&& now >= suspendedUntil && now - lastReceivedAt <= SILENCE_LIMIT",
                    "&& now >= suspendedUntil", SIMULATION),
            new Fault("the age of a report counts from its receipt", PEER,
                    "return Math.min(receivedAt, clock.earliestSendTime(sentAt));", "return receivedAt;",
                    SIMULATION),
            new Fault("a digest without an echo is dated by its receipt", CLOCK,
                    "var echo = digest.echo();", "var echo = new Echo(ownProcess, now, digest.sentAt());",
                    SIMULATION),
            new Fault("no echo is sent", PEER,
            "lastSentAt != NO_TIME ? new Echo(process, lastSentAt, lastReceivedAt)",
                    "lastSentAt != NO_TIME ? null", SIMULATION),
            new Fault("an echo for our former process is accepted", CLOCK, "echo.process() == ownProcess && ",
            "",
                    SIMULATION),
            new Fault("clock drift is ignored", CLOCK, "(1 - LeaseTerms.DEFAULT_DRIFT) - 1;",
                    "(1 + LeaseTerms.DEFAULT_DRIFT) - 1;", SIMULATION),
            new Fault("the hold time of the echo is ignored", CLOCK, "bestExchange = echo;",
                    "bestExchange = new Echo(ownProcess, echo.sentAt(), digest.sentAt());",
                    CLOCK_TEST + "sendTimeIsNeverOverestimatedAndAsTightAsAnyExchangeAllows"),
            new Fault("a clock jump suspends the peer", CLOCK, "return !repeated;", "return false;",
                    CLOCK_TEST + "stoppedOrJumpedClocksRecoverWithinASecond"),
            new Fault("jobs of a worker's former process count", GOSSIP,
                    "report == null || peer.earliestTime(nameHash) < own.startedAt()", "report == null",
                    SIMULATION),
            new Fault("evidence of a worker's former process counts", GOSSIP,
                    "peer.earliestTime(nameHash) - report.age() >= own.startedAt()", "true", SIMULATION),
            new Fault("peers' suspicion outweighs own evidence", BOX, " / (1 + evidence(now));", ";",
                    SIMULATION),
            new Fault("peers' suspicion ejects a worker", BOX, "MAX_PEER_SUSPICION = 0.6",
                    "MAX_PEER_SUSPICION = 1", SIMULATION),
            new Fault("a speed from peers raises the slow-start budget", RATES,
                    "double speed = speed(worker);", "double speed = speedWithPeers(worker, now);",
                    PEERS_TOLD_TEST + "peersEvidenceNeverRaisesTheSlowStartBudget"),
            new Fault("a job is rejected for load reported by peers", LEDGER, "return queueWait * ownShare;",
                    "return queueWait;", PEERS_TOLD_TEST + "peersJobsCauseNoRefusal"));

    /** The first seed whose simulation violates an invariant; 0 if none does. */
    private static int detectingSeed(PlantedFaultLoader loader) throws ReflectiveOperationException {
        var simulation = loader.loadClass(LoadGossipSimulation.class.getName())
                .getMethod("violations", long.class);
        for (int seed = 1; seed <= SEEDS; seed++) {
            if (!((Map<?, ?>) simulation.invoke(null, (long) seed)).isEmpty()) {
                return seed;
            }
        }
        return 0;
    }

    private static boolean fails(PlantedFaultLoader loader, String test) throws ReflectiveOperationException {
        int dot = test.lastIndexOf('.');
        var constructor = loader.loadClass(test.substring(0, dot)).getDeclaredConstructor();
        constructor.setAccessible(true);
        var method = constructor.getDeclaringClass().getDeclaredMethod(test.substring(dot + 1));
        method.setAccessible(true);
        try {
            method.invoke(constructor.newInstance());
            return false;
        } catch (InvocationTargetException e) {
            return e.getCause() instanceof AssertionError;
        }
    }

    @TestFactory
    List<DynamicTest> eachFaultIsFound(@TempDir Path folder) {
        return FAULTS.stream().map(fault -> DynamicTest.dynamicTest(fault.name, () -> {
            var loader = PlantedFaultLoader.plant(fault.file, fault.from, fault.to,
                    folder.resolve(String.valueOf(FAULTS.indexOf(fault))));
            if (fault.detectedBy.equals(SIMULATION)) {
                assertTrue(detectingSeed(loader) > 0, "not detected in " + SEEDS + " simulations");
            } else {
                assertTrue(fails(loader, fault.detectedBy), fault.detectedBy + " passes");
            }
        })).toList();
    }

    @Test
    void unmodifiedCodeViolatesNoInvariant() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            assertEquals(Map.of(), LoadGossipSimulation.violations(seed), "seed " + seed);
        }
    }
}
