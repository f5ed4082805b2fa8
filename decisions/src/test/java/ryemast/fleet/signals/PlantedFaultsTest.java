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
import ryemast.Planted;

/**
 * Proof that {@link SignalsTrial} sees what it judges: each fault is planted into a copy of the source as it
 * is, compiled, and played seed by seed until a rule is broken; as in DeMillo, Lipton and Sayward, "Hints on
 * Test Data Selection" (1978). The code as it is breaks none. What a play can't judge, a test finds.
 */
class PlantedFaultsTest {

    /** Plays of the code as it is; each fault must be found within so many as well. */
    private static final int SEEDS = 20;
    private static final String SIGNALS = "ryemast/fleet/signals/Signals";
    private static final String PEER = "ryemast/fleet/signals/Peer";
    private static final String TIMING = "ryemast/fleet/signals/Timing";
    private static final String BORROWED = "ryemast/fleet/signals/Borrowed";
    private static final String RATES = "pipitladder/WorkerEstimates";
    private static final String LEDGER = "pipitladder/DispatchState";
    private static final String BOX = "ryemast/health/WorkerHealth";
    private static final String IN_PLAY = "";
    private static final String SIGNALS_TEST = "ryemast.fleet.signals.SignalsTest.";
    private static final String TIMING_TEST = "ryemast.fleet.signals.TimingTest.";
    private static final String PEERS_TOLD = "pipitladder.PeerEvidenceTest.";

    /** {@code by}: the test that finds it; {@link #IN_PLAY}: a play does. */
    private record Fault(String what, String file, String from, String to, String by) {
    }

    private static final List<Fault> FAULTS = List.of(
            new Fault("jobs that peers told of are told on", RATES, "worker.usedSlots, Math.max(",
                    "worker.usedSlots + worker.peerSlots(now), Math.max(", IN_PLAY),
            new Fault("suspicion that peers told of is told on", RATES, "box.peekLocalSickProbability(now)",
                    "box.sickProbability(now)",
                    IN_PLAY),
            new Fault("an opinion of one peer is believed", SIGNALS, "QUORUM = 2", "QUORUM = 1", IN_PLAY),
            new Fault("our own voice is left out where few tell", SIGNALS,
                    "if (sick.size() < ENOUGH || known)", "if (sick.isEmpty())", IN_PLAY),
            new Fault("the mean in place of the median", SIGNALS, "told ? median(sick) : 0",
                    "told ? sick.stream().mapToDouble(each -> each).average().orElse(0) : 0", IN_PLAY),
            new Fault("a speed is believed however far it is from our own", SIGNALS, "FACTOR = 3",
                    "FACTOR = 1e9", SIGNALS_TEST + "allThatLieAlikeAboutASpeedAreBounded"),
            new Fault("one claims any part of the fleet's jobs", SIGNALS, "MOST_OF_MEDIAN = 2",
                    "MOST_OF_MEDIAN = 1e9", IN_PLAY),
            new Fault("who tells what can't be keeps its say", PEER,
                    "!digest.tales().stream().allMatch(possible)", "false", IN_PLAY),
            new Fault("our own name is believed", SIGNALS, "digest.member() == self || ", "", IN_PLAY),
            new Fault("another peer's name is believed", SIGNALS,
                    " || i != from && peers[i].isMember(digest.member())", "", IN_PLAY),
            new Fault("the sequence is not checked", PEER, "if (behind >= 0) {", "if (behind > 1_000_000) {",
                    IN_PLAY),
            new Fault("a peer that was thought to have ended is not heard again", PEER,
                    "past.containsKey(digest.process()) && now - heardAt <= SILENT",
                    "past.containsKey(digest.process())", SIGNALS_TEST + "theProcessThatGoesOnIsHeardAgain"),
            new Fault("who has measured no speed judges those of others", SIGNALS,
                    "isMeasured(tale) && isMeasured(belief.tale())", "tale.speed() > 0", IN_PLAY),
            new Fault("what is stale does not fade", BORROWED,
                    "Math.exp(-Math.max(0, micros) / SECOND / seconds)", "1", IN_PLAY),
            new Fault("a silent peer keeps its say", PEER,
                    "&& now >= noSayUntil && now - heardAt <= SILENT", "&& now >= noSayUntil", IN_PLAY),
            new Fault("what is told counts from when it comes", PEER,
                    "return Math.min(came, timing.at(sent));", "return came;", IN_PLAY),
            new Fault("what nobody has answered is dated by when it comes", TIMING,
                    "var echo = digest.echo();", "var echo = new Echo(self, now, digest.sent());", IN_PLAY),
            new Fault("no peer is answered", PEER, "sentAt != NONE ? new Echo(process, sentAt, heardAt)",
                    "sentAt != NONE ? null", IN_PLAY),
            new Fault("an answer to our former process is believed", TIMING, "echo.process() == self && ", "",
                    IN_PLAY),
            new Fault("clocks are taken to run alike", TIMING, "(1 - LeaseTerms.DEFAULT_DRIFT) - 1;",
                    "(1 + LeaseTerms.DEFAULT_DRIFT) - 1;", IN_PLAY),
            new Fault("for how long a peer held ours is left out", TIMING, "best = echo;",
                    "best = new Echo(self, echo.sent(), digest.sent());",
                    TIMING_TEST + "isTakenToBeSentNoLaterThanItWasAndAsNearAsAnyExchangeTells"),
            new Fault("a clock that has jumped costs the say", TIMING, "return !again;", "return false;",
                    TIMING_TEST + "clocksThatStoodStillOrJumpedAreSetRightWithinASecond"),
            new Fault("what a worker's former process held counts", SIGNALS,
                    "tale == null || peer.at(code) < belief.startedAt()", "tale == null", IN_PLAY),
            new Fault("what a worker's former process showed counts", SIGNALS,
                    "peer.at(code) - tale.age() >= belief.startedAt()", "true", IN_PLAY),
            new Fault("borrowed suspicion outranks own evidence", BOX, " / (1 + evidence(now));", ";",
                    IN_PLAY),
            new Fault("borrowed suspicion sets a worker aside", BOX, "MAX_PEER_SUSPICION = 0.6",
                    "MAX_PEER_SUSPICION = 1", IN_PLAY),
            new Fault("a borrowed speed raises the cold budget", RATES,
                    "double speed = speed(worker);", "double speed = speedWithPeers(worker, now);",
                    PEERS_TOLD + "peersEvidenceNeverRaisesTheSlowStartBudget"),
            new Fault("a job is refused for what peers hold", LEDGER, "return queueWait * ownShare;",
                    "return queueWait;", PEERS_TOLD + "peersJobsCauseNoRefusal"));

    /** The first seed whose play breaks a rule; 0 if none does. */
    private static int found(Planted loader) throws ReflectiveOperationException {
        var play = loader.loadClass(SignalsTrial.class.getName()).getMethod("breaches", long.class);
        for (int seed = 1; seed <= SEEDS; seed++) {
            if (!((Map<?, ?>) play.invoke(null, (long) seed)).isEmpty()) {
                return seed;
            }
        }
        return 0;
    }

    private static boolean fails(Planted loader, String test) throws ReflectiveOperationException {
        int dot = test.lastIndexOf('.');
        var made = loader.loadClass(test.substring(0, dot)).getDeclaredConstructor();
        made.setAccessible(true);
        var method = made.getDeclaringClass().getDeclaredMethod(test.substring(dot + 1));
        method.setAccessible(true);
        try {
            method.invoke(made.newInstance());
            return false;
        } catch (InvocationTargetException e) {
            return e.getCause() instanceof AssertionError;
        }
    }

    @TestFactory
    List<DynamicTest> eachFaultIsFound(@TempDir Path folder) {
        return FAULTS.stream().map(fault -> DynamicTest.dynamicTest(fault.what, () -> {
            var loader = Planted.plant(fault.file, fault.from, fault.to,
                    folder.resolve(String.valueOf(FAULTS.indexOf(fault))));
            if (fault.by.equals(IN_PLAY)) {
                assertTrue(found(loader) > 0, "not found in " + SEEDS + " plays");
            } else {
                assertTrue(fails(loader, fault.by), fault.by + " passes");
            }
        })).toList();
    }

    @Test
    void theCodeAsItIsBreaksNoRule() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            assertEquals(Map.of(), SignalsTrial.breaches(seed), "seed " + seed);
        }
    }
}
