package ryemast.move;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.junit.jupiter.api.io.TempDir;
import ryemast.PlantedFaultLoader;

/**
 * Searches every reachable state of the two sites for one that violates an invariant: active at both sites,
 * a closed migration without its reservation, reserved beyond capacity, an execution claimed at both sites
 * or at neither, active after closing, a reservation that is dropped, or a state from which the migration
 * does not complete when faults end. The same search runs over sources with one planted fault each, to show
 * that it detects them. With {@code -Dmoves.deep=true} it goes deeper, for some minutes; the results are in
 * docs/moves.md.
 */
class MigrationSearchTest {

    private static final int NEITHER = -1;
    private static final int A = 0;
    private static final int B = 1;
    private static final boolean DEEP = Boolean.getBoolean("moves.deep");
    /** Deeper than any path: all reachable states. */
    private static final int ALL = 999;
    private static final String ABORTED = "aborted, stale responses";
    private static final String CAPACITY_LOST = "a worker lost";
    private static final String SOURCE_RESTORED = "source restored";
    private static final String SOURCE_RESTORED_ONLY = "source restored, file unchanged";
    private static final String EXECUTIONS_RESTORED = "executions, source restored";
    private static final String TWO_COORDINATORS = "two coordinators a site";
    private static final String TWO_SERVICES = "two services, a worker lost";

    /** {@code minStates}: guards against a model in which nothing happens. */
    private record Configuration(MigrationModel.Setup setup, int minStates) {
    }

    private static final Map<String, Configuration> CONFIGURATIONS = new LinkedHashMap<>();

    private static void configuration(String name, int services, int coordinators, int requestChanges,
            boolean staleReads, int restoredSite,
            boolean migratesBack, int jobs, boolean losesCapacity, int epochs, int depth, int minStates) {
        CONFIGURATIONS.put(name,
                new Configuration(new MigrationModel.Setup(services, coordinators, requestChanges, staleReads,
                restoredSite, migratesBack, jobs,
                migratesBack ? 9 : services, losesCapacity, epochs, depth), minStates));
    }

    static {
        configuration(ABORTED, 1, 1, 2, true, NEITHER, false, 0, false, 3, ALL, 80_000);
        configuration(CAPACITY_LOST, 1, 1, 1, true, NEITHER, false, 0, true, 2, ALL, 50_000);
        configuration("migration back", 1, 1, 0, true, NEITHER, true, 0, false, 3, ALL, 5_000);
        configuration(SOURCE_RESTORED, 1, 1, 2, false, A, false, 0, false, 1, ALL, 100_000);
        configuration(SOURCE_RESTORED_ONLY, 1, 1, 0, false, A, false, 0, false, 1, ALL, 13_000);
        configuration("target restored", 1, 1, 1, false, B, false, 0, false, 2, ALL, 80_000);
        configuration("source restored, migration back", 1, 1, 0, false, A, true, 0, false, 3, ALL, 100_000);
        configuration("target restored, migration back", 1, 1, 0, false, B, true, 0, false, 3, ALL, 100_000);
        configuration("executions", 1, 1, 0, false, NEITHER, false, 2, false, 1, ALL, 30_000);
        configuration("executions, migration back", 1, 1, 0, false, NEITHER, true, 2, false, 2, ALL, 100_000);
        configuration(EXECUTIONS_RESTORED, 1, 1, 0, false, A, false, 1, false, 1, ALL, 100_000);
        configuration(TWO_COORDINATORS, 1, 2, 0, false, NEITHER, false, 0, false, 1, ALL, 130_000);
        configuration(TWO_SERVICES, 2, 1, 0, false, NEITHER, false, 0, true, 1, 16, 150_000);
        if (DEEP) {
            configuration("deep: coordinators, aborted", 1, 2, 1, false, NEITHER, false, 0, false, 1, ALL, 1);
            configuration("deep: coordinators, stale responses", 1, 2, 0, true, NEITHER, false, 0, false, 1,
                    ALL, 1);
            configuration("deep: coordinators, source restored", 1, 2, 0, false, A, false, 0, false, 1, ALL,
                    1);
            configuration("deep: coordinators, target restored", 1, 2, 0, false, B, false, 0, false, 1, ALL,
                    1);
            configuration("deep: coordinators, executions", 1, 2, 0, false, NEITHER, false, 1, false, 1, ALL,
                    1);
            configuration("deep: coordinators, migration back", 1, 2, 0, false, NEITHER, true, 0, false, 2,
                    ALL, 1);
            configuration("deep: source restored", 1, 1, 2, false, A, false, 0, false, 2, ALL, 1);
            configuration("deep: source restored, a worker lost", 1, 1, 1, false, A, false, 0, true, 2, ALL,
                    1);
            configuration("deep: target restored, a worker lost", 1, 1, 1, false, B, false, 0, true, 2, ALL,
                    1);
            configuration("deep: executions, changed, source restored", 1, 1, 1, false, A, false, 1, false, 2,
                    ALL, 1);
            configuration("deep: executions, source restored, back", 1, 1, 0, false, A, true, 1, false, 2,
                    ALL, 1);
            configuration("deep: executions, changed, a worker lost", 1, 1, 1, false, NEITHER, false, 2, true,
                    2, ALL, 1);
            configuration("deep: coordinators, changed, source restored", 1, 2, 1, false, A, false, 0, false,
                    2, 17, 1);
            configuration("deep: coordinators, changed, target restored", 1, 2, 1, false, B, false, 0, false,
                    2, 17, 1);
            configuration("deep: two jobs, source restored", 1, 1, 0, false, A, false, 2, false, 1, ALL, 1);
            configuration("deep: two services", 2, 1, 0, false, NEITHER, false, 0, true, 1, 28, 1);
            configuration("deep: coordinators, aborted, stale", 1, 2, 1, true, NEITHER, false, 0, false, 1,
                    18, 1);
        }
    }

    /** {@code detectedBy}: the configuration whose search detects it. */
    private record Fault(String name, String file, String from, String to, String detectedBy) {
    }

    private static final String COORDINATOR = "ryemast/move/MigrationCoordinator";
    private static final String SOURCE = "ryemast/move/Source";
    private static final String TARGET = "ryemast/move/Target";
    private static final String RECORD = "ryemast/move/SiteRecord";

    private static final List<Fault> FAULTS = List.of(
            new Fault("the target opens at once", TARGET, "other.firstSeenAt() + peer.settleTime()",
            "other.firstSeenAt()",
                    ABORTED),
            new Fault("the target opens without reading again", TARGET,
            "other.isReadAfter(own) && other.requestedAt()",
                    "other.requestedAt()", SOURCE_RESTORED_ONLY),
            new Fault("the target opens without recording its intent", TARGET,
            "new SiteRecord(record.epoch(), Phase.ACQUIRED",
                    "new SiteRecord(record.epoch(), Phase.OPEN", ABORTED),
            new Fault("the target releases without the source's record", TARGET,
            "return aborted && other.isReadAfter(own)",
                    "return true", CAPACITY_LOST),
            new Fault("the target releases without reading again", TARGET,
            "return aborted && other.isReadAfter(own)",
                    "return aborted", SOURCE_RESTORED),
            new Fault("the target reserves without the ledger", TARGET, "Reservation.RESERVE",
            "Reservation.UNCHANGED", TWO_SERVICES),
            new Fault("the source ignores a rejection", SOURCE,
                    "peer.phase() == Phase.RELEASED || peer.phase() == Phase.RELEASING", "false",
                    CAPACITY_LOST),
            new Fault("leftover executions are not taken over", RECORD, "source.watermarksExact, settleTime",
            "false, settleTime",
                    "executions"),
            new Fault("the source closes by an older migration's reservation", SOURCE,
                    "ready = peer.epoch() == record.epoch() && peer", "ready = peer", ABORTED),
            new Fault("a closed migration is aborted", SOURCE, "case CLOSED -> closed(context, own, peer)",
                    "case CLOSED -> requesting(context, own, other)", ABORTED),
            new Fault("the source departs before the target has opened", SOURCE,
            "return open && context.unfinished() == 0",
                    "return context.unfinished() == 0", TWO_COORDINATORS),
            new Fault("the source closes though later executions are claimed", SOURCE,
                    " || context.latestClaimed() > record.scheduledUpTo()", "", "executions"),
            new Fault("a source serves without reading the target's record", COORDINATOR,
                    "(atRest || isReadSinceKnown(context, other))", "true", SOURCE_RESTORED_ONLY),
            new Fault("a source serves against what the target proves", COORDINATOR,
                    " && !other.record().provesDeparted(own.record(), context.site())", "",
                    SOURCE_RESTORED_ONLY),
            new Fault("a source does not repair its record", COORDINATOR,
                    "if (peer.provesDeparted(record, context.site()))", "if (false)", SOURCE_RESTORED_ONLY),
            new Fault("a source does not recover a lost request", COORDINATOR,
            "peer.provesRequested(record, context.site())",
                    "false", "target restored, migration back"),
            new Fault("a record is repaired without a bound on executions", SOURCE,
                    "bounded = !record.phase().active()", "bounded = true",
                    EXECUTIONS_RESTORED),
            new Fault("watermarks of a backup are trusted", SOURCE, "false, context.settleTime()",
            "true, context.settleTime()",
                    EXECUTIONS_RESTORED),
            new Fault("the target keeps the first closing bound", RECORD,
            "load, source.scheduledUpTo, UNBOUNDED,",
                    "load, scheduledAfter, UNBOUNDED,", EXECUTIONS_RESTORED));

    @TestFactory
    List<DynamicTest> noReachableStateViolatesAnInvariant() {
        return CONFIGURATIONS.entrySet().stream().map(each -> DynamicTest.dynamicTest(each.getKey(), () -> {
            long startedAt = System.nanoTime();
            var result = StateSearch.search(each.getValue().setup);
            if (DEEP) {
                System.out.println(each.getKey() + ": " + result + ", "
                        + (System.nanoTime() - startedAt) / 1_000_000 + " ms");
            }
            assertNull(result.violation());
            assertTrue(result.states() >= each.getValue().minStates, "only " + result.states() + " states");
            assertEquals(each.getValue().setup.depth() == ALL, result.complete());
        })).toList();
    }

    /** Called by name, so that it runs in the class loader that has the fault. */
    static String violation(String configuration) {
        return StateSearch.search(CONFIGURATIONS.get(configuration).setup).violation();
    }

    @TestFactory
    List<DynamicTest> eachFaultIsFound(@TempDir Path folder) {
        return FAULTS.stream().map(fault -> DynamicTest.dynamicTest(fault.name, () -> {
            var loader = PlantedFaultLoader.plant(fault.file, fault.from, fault.to,
                    folder.resolve(String.valueOf(FAULTS.indexOf(fault))));
            var method = loader.loadClass(MigrationSearchTest.class.getName())
                    .getDeclaredMethod("violation", String.class);
            method.setAccessible(true);
            assertNotNull(method.invoke(null, fault.detectedBy),
                    "not detected by '" + fault.detectedBy + "'");
        })).toList();
    }
}
