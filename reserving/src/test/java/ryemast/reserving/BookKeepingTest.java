package ryemast.reserving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import ryemast.coordination.Coordination;
import ryemast.coordination.Editions;
import ryemast.coordination.EmbeddedCoordination;
import ryemast.coordination.Fence;
import ryemast.coordination.FleetKeeper;
import ryemast.coordination.Step;
import ryemast.core.Loop;
import ryemast.fleet.FleetView;
import ryemast.fleet.LeaseTerms;
import ryemast.fleet.MemberRecord;
import ryemast.reservation.ReservationLedger;
import ryemast.reservation.ReleasedCapacity;
import ryemast.reservation.Grant;
import ryemast.reservation.LedgerState;
import ryemast.reservation.MemberQuotas;
import ryemast.reservation.Reservation;
import ryemast.reservation.AdmissionDecision;
import ryemast.reservation.Service;
import ryemast.reservation.Span;
import ryemast.reservation.LedgerSettings;

/** One member on the embedded store, from an empty one to a book that is kept. */
class BookKeepingTest {

    private static final LeaseTerms LEASE = new LeaseTerms(500_000, 0.01);
    private static final LedgerSettings TERMS = new LedgerSettings(505_000, 0.1, 0.05, 0, 1_000_000,
            1_000_000);
    private static final long PATIENCE_NS = 20_000_000_000L;

    @TempDir
    Path folder;
    private final Loop loop = new Loop(() -> System.nanoTime() / 1_000, 5_000);
    private final MemberQuotas parts = new MemberQuotas("one", TERMS);
    private FleetKeeper keeper;
    private BookKeeping keeping;
    private double weight = 10;

    private static Reservation exams(long perSecond, boolean capped) {
        return new Reservation(new Service("exams", 1, Set.of(0)), perSecond, List.of(), 0, capped);
    }

    private static Plan plan(long revision, Reservation... all) {
        return new Plan(new Editions.Edition(revision, "d" + revision, ""), TERMS, 1_000_000,
                wall -> List.of(all));
    }

    private void begin(Coordination records, Plan plan) {
        keeper = new FleetKeeper(loop, records, "one", "p", LEASE, new FleetKeeper.Listener() {
            @Override
            public void changed(FleetView view) {
                // It looks at each beat.
            }

            @Override
            public void listed(long askedAt, List<MemberRecord> members) {
                keeping.members(askedAt, members);
            }
        });
        keeper.listCertainly();
        keeping = new BookKeeping(loop, records, new Place() {
            @Override
            public FleetView view() {
                return keeper.view();
            }

            @Override
            public long incarnation() {
                return keeper.incarnation();
            }

            @Override
            public String self() {
                return "one";
            }

            @Override
            public Fence fence() {
                return keeper.held();
            }
        }, new ReservationLedger(TERMS), parts,
                new BookKeeping.Site(LEASE.heartbeatInterval(), TERMS.settleTime(),
                List.of("a", "b"), List.of("c")), () -> 0, () -> weight);
        keeping.begin(plan);
        keeper.start();
    }

    private void until(String what, BooleanSupplier holds) throws InterruptedException {
        for (long end = System.nanoTime() + PATIENCE_NS; !holds.getAsBoolean(); Thread.sleep(2)) {
            assertTrue(System.nanoTime() < end, what);
            loop.turn();
        }
    }

    private AdmissionDecision.Kind taken(int tenant, double work) {
        return parts.acquire(tenant, 0, work, 0, loop.now()).kind();
    }

    @Test
    void aMemberUsesWhatTheBookGivesWhileItCanProveIt() throws Exception {
        try (var records = EmbeddedCoordination.open(loop, folder, EmbeddedCoordination.Limits.DEFAULT)) {
            begin(records, plan(1, exams(2_000_000, true)));
            assertEquals(AdmissionDecision.Kind.REFUSED, taken(1, 1_000),
                    "capped, and nothing is proven yet");
            assertEquals(AdmissionDecision.Kind.FREE, taken(0, 1_000), "others go on");
            until("given", () -> parts.rate("exams", loop.now()) == 2_000_000);
            keeping.replace(plan(2, exams(3_000_000, true)));
            until("grown", () -> parts.rate("exams", loop.now()) == 3_000_000);
            weight = 2;
            until("yields", () -> parts.rate("exams", loop.now()) == 1_800_000);
            keeping.replace(plan(2));
            until("not the content of that revision", () -> parts.rate("exams", loop.now()) == 1_800_000);
            keeping.replace(plan(3));
            until("dropped", () -> taken(1, 1_000) != AdmissionDecision.Kind.REFUSED
                    && parts.rate("exams", loop.now()) == 0);
            keeping.replace(plan(4, exams(1_000_000, true)));
            until("again", () -> parts.rate("exams", loop.now()) == 1_000_000);
            keeper.close();
            until("no view any more", () -> parts.rate("exams", loop.now()) == 0);
            assertEquals(AdmissionDecision.Kind.REFUSED, taken(1, 1_000));
            keeping.close();
        }
    }

    /** A book that others keep by a longer lease, until a higher revision comes with this one. */
    @Test
    void whoSettlesInAnotherTimeTakesNoPartUntilARevisionWithItCounts() throws Exception {
        var others = new LedgerSettings(2 * TERMS.settleTime(), 0.1, 0.05, 0, 1_000_000, 1_000_000);
        var theirs = new LedgerState(5, 10_000_000, 7_000_000,
                List.of(new Grant(exams(2_000_000, true), 1, 2_000_000)), List.of(), others);
        var text = new PageText(List.of("a", "b"), List.of("c"));
        try (var records = EmbeddedCoordination.open(loop, folder, EmbeddedCoordination.Limits.DEFAULT)) {
            var put = new Step().put(BookKeeping.BOOK, text.write(theirs), Coordination.ABSENT)
                    .put(Editions.revisionKey(BookKeeping.WHAT), "{\"revision\":3,\"digest\":\"theirs\"}"
                            .getBytes(StandardCharsets.UTF_8), Coordination.ABSENT);
            records.commit(put, result -> assertEquals(Coordination.Fate.DONE, result.fate()));
            begin(records, plan(3, exams(2_000_000, true)));
            long seated = loop.now() + 6 * TERMS.settleTime();
            until("a while", () -> {
                assertEquals(0, parts.rate("exams", loop.now()));
                return loop.now() > seated;
            });
            assertEquals(AdmissionDecision.Kind.REFUSED, taken(1, 1_000));
            assertEquals(AdmissionDecision.Kind.FREE, taken(0, 1_000), "others go on");
            keeping.replace(plan(4, exams(2_000_000, true)));
            long since = loop.now();
            until("given", () -> parts.rate("exams", loop.now()) == 2_000_000);
            assertTrue(loop.now() - since > others.settleTime(), "others may have acted until then");
            keeping.close();
            keeper.close();
        }
    }

    /** As many as a file may have, each with a week of windows, fit into a record. */
    @Test
    void aFullBookFitsIntoARecord() {
        var week = LongStream.range(0, 9).map(day -> 1_800_000_000_000_000L + day * 86_400_000_000L)
                .mapToObj(begin -> new Span(begin, begin + 1)).toList();
        var grants = IntStream.range(0, 64).mapToObj(each -> new Grant(new Reservation(new Service(
                "n".repeat(77) + each, 0, Set.of(0, 1, 2)), 1_000_000_000_000L, week, 1_000, false),
                1_000_000, 1_000_000_000_000L)).toList();
        var text = new PageText(List.of("t".repeat(40)), List.of("c".repeat(40), "d".repeat(40),
                "e".repeat(40)));
        int bytes = text.write(new LedgerState(1_000_000, 1_000_000_000_000L, 0, grants, List.of(),
                TERMS)).length;
        assertTrue(bytes > 40_000 && bytes < Coordination.LONGEST_VALUE, () -> bytes + " bytes");
    }

    @Test
    void aPageComesBackAsItWasWritten() throws Exception {
        var page = new LedgerState(7, 9, 8, List.of(new Grant(new Reservation(new Service("x", 1,
                Set.of(0, 2)), 5,
                List.of(new Span(-3, 4), new Span(4, 9)), 6, true), 3, 2), new Grant(exams(4, false), 1, 0)),
                List.of(new ReleasedCapacity(6, 1)), TERMS);
        var text = new PageText(List.of("a", "b"), List.of("c", "d", "e"));
        assertEquals(page, text.read(text.write(page)));
        // Numbers are an order of the settings, names are not; what they lack makes it no page.
        var turned = new PageText(List.of("b", "a"), List.of("e", "d", "c"));
        assertEquals(0, turned.read(text.write(page)).grants().get(0).reservation().service().tenant());
        for (var other : List.of("{}", "[]", "",
                "{\"turn\":1,\"clears\":1,\"free\":0,\"grants\":[{}],\"freed\":[]}")) {
            assertThrows(PageText.FaultyPageException.class, () -> text.read(other.getBytes()), other);
        }
        assertThrows(PageText.FaultyPageException.class,
                () -> new PageText(List.of("a"), List.of("c", "d", "e")).read(text.write(page)));
    }
}
