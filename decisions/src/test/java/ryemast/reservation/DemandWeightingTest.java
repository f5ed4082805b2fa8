package ryemast.reservation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ryemast.reservation.LedgerSimulation.S;
import static ryemast.reservation.LedgerSimulation.SETTLE;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ryemast.reservation.AdmissionDecision.Kind;

/** Quotas of one reservation in a stable fleet whose clients choose their members. */
class DemandWeightingTest {

    private static final long STEP = S / 10;
    private static final double JOB = 100_000;
    private static final Reservation PACK =
            new Reservation(new Service("pack", 0, Set.of()), 10 * S, List.of(), 0, true);

    private final List<MemberQuotas> fleet = new ArrayList<>();
    private final SplittableRandom random = new SplittableRandom(7);
    private List<String> names;
    private List<Map<String, Integer>> lastReports = List.of();
    private long now;
    private double largestSum;
    private int reportChanges;
    private double[] admittedWork;

    private void start(int members) {
        names = IntStream.range(0, members).mapToObj(each -> "member-" + each).toList();
        names.forEach(name -> fleet.add(new MemberQuotas(name, LedgerSimulation.SETTINGS)));
        admittedWork = new double[members];
        run(4 * SETTLE, new double[members]);
    }

    /** {@code asked}: the demand at each member, in reservations per second, as jobs with random arrivals. */
    private void run(long length, double... asked) {
        var state = new LedgerState(1, 100 * S, 0, List.of(new Grant(PACK, 1, PACK.perSecond())), List.of(),
                LedgerSimulation.SETTINGS);
        for (long end = now + length; now < end; now += STEP) {
            if (now % S == 0) {
                var reports = fleet.stream().map(each -> each.reportDemand(now)).toList();
                reportChanges += reports.equals(lastReports) ? 0 : 1;
                lastReports = reports;
                var listed = IntStream.range(0, names.size())
                        .mapToObj(each -> new ListedMember(names.get(each), reports.get(each))).toList();
                fleet.forEach(each -> {
                    each.updateMembers(now, now, listed);
                    each.updateLedger(now, now, state);
                });
            }
            for (int i = 0; i < asked.length; i++) {
                double pending = asked[i] * PACK.perSecond() * STEP / S;
                while (random.nextDouble() < pending / (pending + JOB)) {
                    admittedWork[i] += fleet.get(i).acquire(0, 0, JOB, 0, now).kind() == Kind.RESERVED ? JOB
                            : 0;
                }
            }
            largestSum = Math.max(largestSum, fleet.stream().mapToDouble(each -> each.quota("pack", now))
                    .sum());
        }
    }

    private double quota(int member) {
        return fleet.get(member).quota("pack", now);
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 6, 14, 100})
    void quotasFollowTheClients(int members) {
        start(members);
        assertEquals(1.0 / members, quota(0), 1e-9, "equal without demand");
        run(30 * S, 1.2);
        assertTrue(quota(0) > 0.85, "quota follows the demand: " + quota(0));
        admittedWork[0] = 0;
        run(20 * S, 1.2);
        assertTrue(admittedWork[0] > 0.85 * 20 * PACK.perSecond(),
                "which admits that much: " + admittedWork[0] / 20);
        run(40 * S, 0, 1.2);
        assertTrue(quota(1) > 0.85, "quota follows to the next member: " + quota(1));
        run(60 * S, 0, 0);
        assertEquals(1.0 / members, quota(1), 1e-9, "equal again");
        assertTrue(largestSum <= 1 + 1e-9, "sum of all quotas: " + largestSum);
    }

    @Test
    void steadyDemandIsNotReportedAgain() {
        start(6);
        var asked = new double[] {0.8, 0.5, 0.2, 0.2, 0.05, 0};
        run(40 * S, asked);
        reportChanges = 0;
        run(600 * S, asked);
        assertTrue(reportChanges <= 2, "changes in ten minutes: " + reportChanges);
        assertTrue(quota(0) > 2 * quota(2) && quota(2) > quota(5), "by demand");
    }

    /**
     * Otherwise it could use the larger demand reported before and after, while others count the smaller one
     * between.
     */
    @Test
    void decreaseAppliesToItsMemberAtOnce() {
        var weighting = new DemandWeighting("a", SETTLE, 2 * SETTLE);
        var more = List.of(new ListedMember("a", Map.of("pack", 100)), new ListedMember("b", Map.of()));
        weighting.setReported(0, Map.of("pack", 100));
        weighting.updateMembers(0, more);
        assertEquals(0.95, weighting.quota("pack", 0.5, 2 * SETTLE), 1e-9);
        weighting.setReported(2 * SETTLE, Map.of());
        weighting.updateMembers(2 * SETTLE, more);
        assertEquals(0.5, weighting.quota("pack", 0.5, 5 * SETTLE), 1e-9);
        weighting.setReported(5 * SETTLE, Map.of("pack", 100));
        weighting.updateMembers(5 * SETTLE, more);
        assertEquals(0.5, weighting.quota("pack", 0.5, 7 * SETTLE - 1), 1e-9, "from then on");
        assertEquals(0.95, weighting.quota("pack", 0.5, 7 * SETTLE), 1e-9);
    }

    @Test
    void increaseDoesNotReduceTheOwnQuota() {
        var weighting = new DemandWeighting("a", SETTLE, 2 * SETTLE);
        weighting.setReported(0, Map.of("pack", 50));
        weighting.updateMembers(0, List.of(new ListedMember("a", Map.of("pack", 50))));
        assertEquals(1, weighting.quota("pack", 1, 0), "it is the only member");
        assertEquals(1, weighting.quota("pack", 1, 2 * SETTLE));
    }

    @Test
    void decreaseOrDepartureCountsForTheSettleTime() {
        var weighting = new DemandWeighting("a", SETTLE, 2 * SETTLE);
        var self = new ListedMember("a", Map.of());
        for (var later : List.of(List.of(self, new ListedMember("b", Map.of())), List.of(self))) {
            weighting.updateMembers(0, List.of(self, new ListedMember("b", Map.of("pack", 100))));
            weighting.updateMembers(SETTLE, later);
            assertEquals(0.05, weighting.quota("pack", 0.5, 2 * SETTLE), 1e-9);
            assertEquals(0.5, weighting.quota("pack", 0.5, 2 * SETTLE + 1), 1e-9);
        }
    }

    @Test
    void quotasStayEqualWhileAnOlderProgramIsListed() {
        var weighting = new DemandWeighting("a", SETTLE, 2 * SETTLE);
        var old = new ListedMember("old", null);
        var greedy = new ListedMember("a", Map.of("pack", 1_000_000));
        weighting.setReported(0, Map.of("pack", 100));
        weighting.updateMembers(0, List.of(greedy, old));
        weighting.updateMembers(2 * SETTLE, List.of(greedy, old));
        assertEquals(0.5, weighting.quota("pack", 0.5, 2 * SETTLE));
        weighting.updateMembers(3 * SETTLE, List.of(greedy));
        assertEquals(0.5, weighting.quota("pack", 0.5, 4 * SETTLE), "others may act on an older list");
        // Demand is capped at the whole reservation.
        assertEquals((1 + 9) / 10.0, weighting.quota("pack", 1, 4 * SETTLE + 1), 1e-9);
    }
}
