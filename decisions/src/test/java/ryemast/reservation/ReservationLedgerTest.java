package ryemast.reservation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ryemast.reservation.LedgerSimulation.S;
import static ryemast.reservation.LedgerSimulation.SETTLE;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Grants, refusals, yields and allocations, compared with sums over every instant. */
class ReservationLedgerTest {

    private final ReservationLedger ledger = new ReservationLedger(LedgerSimulation.SETTINGS);
    private long now = 1;

    /** Steps as by a single member every half second, where every write succeeds. */
    private void run(double seconds, long clears) {
        for (long end = now + (long) (seconds * S); now < end; now += S / 2) {
            ledger.load(ledger.state(), now);
            ledger.updateCapacity(clears, now);
            ledger.step(now, now);
        }
    }

    private List<Long> allocated() {
        return ledger.state().grants().stream().map(Grant::allocated).toList();
    }

    private static long reservedAt(List<Grant> grants, long at) {
        return grants.stream().map(Grant::reservation).filter(each -> each.isOpen(at))
                .mapToLong(Reservation::perSecond).sum();
    }

    /** Times are few and small, so that every instant can be checked. */
    @Test
    void grantsFitAtEveryInstantAndRefusalsOfferWhatFits() throws Exception {
        var random = new SplittableRandom(1);
        int refused = 0;
        for (int round = 0; round < 300; round++) {
            var ledger = new ReservationLedger(LedgerSimulation.SETTINGS);
            ledger.updateCapacity(100, 0);
            for (int i = 0; i < 12; i++) {
                long from = random.nextLong(30);
                long until = from + 1 + random.nextLong(10);
                var windows = random.nextInt(4) == 0 ? new Span[0] : new Span[] {new Span(from, until),
                    new Span(until + random.nextLong(5), until + 6 + random.nextLong(9))};
                var wanted = LedgerSimulation.reservation(random.nextInt(6), 1 + random.nextLong(60), 0,
                        windows);
                var before = ledger.state().grants();
                var others = before.stream().filter(each -> each.reservation().service().tenant()
                        != wanted.service().tenant()).toList();
                long most = 0;
                for (long at = -1; at < 70; at++) {
                    most = Math.max(most, wanted.isOpen(at) ? reservedAt(others, at) : 0);
                }
                try {
                    ledger.reserve(wanted);
                    assertTrue(most + wanted.perSecond() <= 90
                            || ledger.state().grants().size() == before.size());
                } catch (InsufficientCapacityException e) {
                    refused++;
                    assertTrue(most + wanted.perSecond() > 90);
                    assertEquals(before, ledger.state().grants());
                    assertEquals(90 - most, e.offer().perSecond());
                    assertEquals(most, reservedAt(others, e.offer().tightest()));
                    for (var span : wanted.effectiveWindows()) {
                        boolean fits = true;
                        for (long at = Math.max(-1, span.from()); at < Math.min(70, span.until()); at++) {
                            fits &= reservedAt(others, at) + wanted.perSecond() <= 90;
                        }
                        assertEquals(fits, e.offer().windows().contains(span));
                    }
                }
                for (long at = -1; at < 70; at++) {
                    assertTrue(reservedAt(ledger.state().grants(), at) <= 90);
                }
            }
        }
        assertTrue(refused > 300, "refused " + refused);
    }

    /** Yields unit by unit, from the lowest rank and within it from the latest grant. */
    private static List<Long> entitlementsUnitByUnit(List<Grant> grants, long promises) {
        var kept = new ArrayList<Long>();
        grants.forEach(each -> kept.add(each.reservation().perSecond()));
        while (kept.stream().mapToLong(each -> each).sum() > promises) {
            int yields = -1;
            for (int i = 0; i < kept.size(); i++) {
                int byRank = yields < 0 ? -1 : Integer.compare(grants.get(i).reservation().rank(),
                        grants.get(yields).reservation().rank());
                if (kept.get(i) > 0 && (byRank < 0
                        || byRank == 0 && grants.get(i).grantVersion() >= grants.get(yields)
                        .grantVersion())) {
                    yields = i;
                }
            }
            kept.set(yields, kept.get(yields) - 1);
        }
        return kept;
    }

    private static int wrongYields(int sign) {
        var random = new SplittableRandom(2);
        int wrong = 0;
        for (int round = 0; round < 200; round++) {
            var grants = new ArrayList<Grant>();
            var ranked = new ArrayList<Grant>();
            for (int i = 0; i < 6; i++) {
                long age = random.nextLong(4);
                long amount = 1 + random.nextLong(20);
                int rank = random.nextInt(3);
                grants.add(new Grant(LedgerSimulation.reservation(i, amount, rank), age, 0));
                ranked.add(new Grant(LedgerSimulation.reservation(i, amount, sign * rank), age, 0));
            }
            var ledger = new ReservationLedger(LedgerSimulation.SETTINGS);
            ledger.load(new LedgerState(1, random.nextLong(60), 0, ranked, List.of(),
                    LedgerSimulation.SETTINGS), 0);
            wrong += ledger.entitlements(0).equals(entitlementsUnitByUnit(grants,
                    ledger.reservableCapacity())) ? 0 : 1;
        }
        return wrong;
    }

    @Test
    void lowestRankYieldsFirstThenTheLatestGrant() {
        assertEquals(0, wrongYields(1));
        assertTrue(wrongYields(-1) > 100, "yielded in the wrong order");
    }

    @Test
    void capacityDropYieldsAtOnceAndRecoversInReverseOrder() throws Exception {
        run(1, 100 * S);
        ledger.reserve(LedgerSimulation.reservation(0, 30 * S, 1));
        run(1, 100 * S);
        ledger.reserve(LedgerSimulation.reservation(1, 30 * S, 0));
        ledger.reserve(LedgerSimulation.reservation(2, 20 * S, 0));
        run(8, 100 * S);
        assertEquals(List.of(30 * S, 30 * S, 20 * S), allocated());
        assertEquals(10 * S, ledger.state().free());
        run(8, 96 * S);
        assertEquals(100 * S, ledger.state().capacity(), "within the band nothing changes");
        run(0.5, 50 * S);
        assertEquals(List.of(30 * S, 15 * S, 0L), allocated(), "at once");
        run(4.5, 80 * S);
        assertEquals(List.of(30 * S, 15 * S, 0L), allocated(), "the increase is held");
        run(5, 70 * S);
        assertEquals(70 * S, ledger.state().capacity(), "the minimum over the hold time");
        assertEquals(List.of(30 * S, 30 * S, 3 * S), allocated(), "in the reverse order");
        run(8, 100 * S);
        assertEquals(List.of(30 * S, 30 * S, 20 * S), allocated());
    }

    @Test
    void allocatesSettledCapacityAndOpensWindowsOnTime() throws Exception {
        run(1, 100 * S);
        var edge = new Span[] {new Span(20 * S, 30 * S), new Span(30 * S, 40 * S)};
        ledger.reserve(LedgerSimulation.reservation(0, 60 * S, 0, edge[0]));
        run(12, 100 * S);
        assertEquals(90 * S, ledger.state().free());
        run(19.9 - now / 1e6, 100 * S);
        assertEquals(List.of(0L), allocated());
        assertEquals(30 * S, ledger.state().free(), "released before the window begins");
        run(0.6, 100 * S);
        assertEquals(List.of(60 * S), allocated(), "in time");
        ledger.reserve(LedgerSimulation.reservation(1, 60 * S, 0, edge[1]));
        run(30.6 - now / 1e6, 100 * S);
        assertEquals(List.of(0L, 0L), allocated());
        run(1 + SETTLE / 1e6, 100 * S);
        assertEquals(List.of(0L, 60 * S), allocated(), "from another window, as soon as that has settled");
        ledger.reserve(LedgerSimulation.reservation(1, 20 * S, 0, edge[1]));
        ledger.reserve(LedgerSimulation.reservation(2, 60 * S, 0));
        assertEquals(List.of(0L, 20 * S, 0L), allocated(),
                "a decrease at once, an increase when capacity has settled");
        run(2, 100 * S);
        assertEquals(0L, allocated().get(2));
        run(2.5, 100 * S);
        assertEquals(60 * S, allocated().get(2));
        ledger.cancel("service-2");
        assertEquals(2, ledger.state().grants().size());
        assertEquals(60 * S, ledger.state().released().get(0).perSecond());
    }

    private static LedgerSettings settings(long settle, double margin) {
        return new LedgerSettings(settle, margin, 0.05, 5 * S, 4 * S, 2 * S);
    }

    @Test
    void newSettingsApplyAtOnceAndANewSettleTimeOnceAllIsReleased() throws Exception {
        run(1, 100 * S);
        ledger.reserve(LedgerSimulation.reservation(0, 60 * S, 0));
        run(8, 100 * S);
        ledger.settings(settings(SETTLE, 0.5));
        run(0.5, 100 * S);
        assertEquals(List.of(50 * S), allocated());
        assertEquals(settings(SETTLE, 0.5), ledger.state().settings());
        ledger.settings(settings(SETTLE, 0.2));
        run(SETTLE / 1e6 + 1, 100 * S);
        for (long settle : new long[] {SETTLE / 3, SETTLE}) {
            var before = ledger.state().settings();
            ledger.settings(settings(settle, 0.1));
            run(1, 100 * S);
            assertEquals(List.of(0L), allocated(), "nothing is allocated meanwhile");
            assertTrue(ledger.state().free() > 0, "unreserved capacity remains");
            run(SETTLE / 1e6 - 0.5, 100 * S);
            assertEquals(before, ledger.state().settings(), "others may act on their settle time until then");
            run(1, 100 * S);
            assertEquals(settings(settle, 0.1), ledger.state().settings());
            run(SETTLE / 1e6 + 1, 100 * S);
            assertEquals(List.of(60 * S), allocated());
        }
        var e = assertThrows(SettleTimeMismatchException.class,
                () -> settings(SETTLE / 3, 0.1).requireSameSettleTime(ledger.state()));
        assertTrue(e.getMessage()
                .startsWith("the ledger has a settle time of 3.000 s, and this replica 1.000 s, from"
                + " coordination.lasts_ms"), e.getMessage());
    }

    @Test
    void errorsNameTheCauseAndTheRemedy() {
        ledger.updateCapacity(100, 0);
        var e = assertThrows(InsufficientCapacityException.class,
                () -> ledger.reserve(LedgerSimulation.reservation(3, 91, 0)));
        assertEquals("the reservation of 'service-3': 91 a second exceeds what is left of the 90 a second"
                + " that the site can reserve; reserved by []. The request is rejected, and earlier grants"
                + " stay in force. Available: 90 a second in all its windows.", e.getMessage());
        var classes = new Service("one", 3, Set.of(1, 2));
        assertThrows(ServicesOverlapException.class, () -> {
            ledger.reserve(new Reservation(classes, 1, List.of(), 0, false));
            ledger.reserve(LedgerSimulation.reservation(3, 1, 0));
        });
        assertThrows(InvalidReservationException.class, () -> LedgerSimulation.reservation(1, 0, 0));
        assertThrows(InvalidReservationException.class,
                () -> LedgerSimulation.reservation(1, 1, 0, new Span(1, 5), new Span(4, 6)));
    }
}
