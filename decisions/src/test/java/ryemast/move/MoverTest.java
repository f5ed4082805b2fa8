package ryemast.move;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What the search has no numbers for: times, versions, other sites, and what is refused before it begins. */
class MoverTest {

    private static final Load LOAD = new Load(2_000_000, 7);
    private static final Wanted TO_B = new Wanted("bills", "B", LOAD);
    private static final long HOLDS = 2_970_000;
    private static final long SETTLE = 3_030_000;
    private static final long FIRST = 10_000_000;

    private static Side side(Phase phase, String other) {
        return new Side(1, phase, other, LOAD, Side.FROM_THE_START, Side.ALL, true, SETTLE);
    }

    /** Read once, at that time, and answered at once. */
    private static Sight seen(Side side, long version, long at) {
        return Sight.NEVER.next(side, version, at, at, true);
    }

    private static Here here(String peer, long now, boolean mayAct, long claimedAt) {
        return new Here("A", peer, now, mayAct, FIRST, TO_B, true, HOLDS, SETTLE, 0, claimedAt, 0, true, true,
                true);
    }

    private static boolean isStep(Next next, Phase to) {
        return next instanceof Next.Step step && step.to().phase() == to;
    }

    @Test
    void theTargetOpensWhenTheVersionHasStoodForTheTimeToSettle() {
        var own = seen(side(Phase.TAKEN, "B"), 4, FIRST);
        var closed = side(Phase.CLOSED, "A");
        var first = Sight.NEVER.next(closed, 9, FIRST, FIRST + 5_000, true);
        long due = FIRST + 5_000 + SETTLE;
        assertEquals(due, ((Next.Wait) Mover.next(here("B", FIRST, true, 0), own, first)).lookAt());
        var early = first.next(closed, 9, due - 1, due + 1, true);
        assertFalse(isStep(Mover.next(here("B", due + 1, true, 0), own, early), Phase.OPEN));
        var other = first.next(closed, 10, due, due + 1, true);
        assertFalse(isStep(Mover.next(here("B", due + 1, true, 0), own, other), Phase.OPEN));
        var settled = first.next(closed, 9, due, due + 1, true);
        assertTrue(isStep(Mover.next(here("B", due + 1, true, 0), own, settled), Phase.OPEN));
    }

    @Test
    void anAnswerThatMayBeFromThePastTellsNothing() {
        var known = seen(Side.AT_HOME, 3, FIRST);
        assertSame(known, known.next(Side.NONE, 2, FIRST + 1, FIRST + 2, false));
    }

    @Test
    void nothingIsDoneWithoutALeaseOrBeforeBothRecordsAreRead() {
        var own = seen(Side.AT_HOME, 0, FIRST);
        var there = seen(Side.NONE, 0, FIRST);
        assertTrue(isStep(Mover.next(here("B", FIRST, true, 0), own, there), Phase.ASKED));
        assertTrue(Mover.next(here("B", FIRST, false, 0), own, there) instanceof Next.Wait);
        assertTrue(Mover.next(here("B", FIRST, true, 0), Sight.NEVER, there) instanceof Next.Wait);
        assertTrue(Mover.next(here("B", FIRST, true, 0), own, Sight.NEVER) instanceof Next.Wait);
        var before = seen(Side.NONE, 0, FIRST - 1);
        assertTrue(Mover.next(here("B", FIRST, true, 0), own, before) instanceof Next.Wait);
    }

    @Test
    void theSourceClosesByMarksReadUnderItsOwnRecordOnly() {
        var own = seen(side(Phase.CLOSING, "B").upTo(Phase.CLOSING, 60), 5, FIRST);
        var ready = seen(side(Phase.READY, "A"), 2, FIRST);
        assertTrue(Mover.next(here("B", FIRST, true, 4), own, ready) instanceof Next.Wait);
        var step = (Next.Step) Mover.next(here("B", FIRST, true, 5), own, ready);
        assertEquals(List.of(5L, Phase.CLOSED, 60L, Next.Room.GIVE_UP),
                List.of(step.version(), step.to().phase(), step.to().upTo(), step.room()));
    }

    @Test
    void aThirdSiteIsNoPartOfTheMove() {
        var own = seen(side(Phase.ASKED, "B"), 5, FIRST);
        var ready = seen(side(Phase.READY, "A"), 2, FIRST);
        assertTrue(Mover.next(here("C", FIRST, true, 5), own, ready) instanceof Next.Wait);
        var away = seen(new Side(4, Phase.AWAY, "D", LOAD, 60, 90, true, SETTLE), 2, FIRST);
        assertTrue(isStep(Mover.next(here("C", FIRST, true, 5), own, away), Phase.CLOSING));
    }

    @Test
    void aReadingIsActedOnForLessThanTheLease() {
        var own = seen(side(Phase.ASKED, "B"), 5, FIRST);
        var there = seen(side(Phase.HELD, "A"), 2, FIRST);
        assertTrue(Mover.standing(here("B", FIRST + HOLDS - 1, true, 5), own, there).active());
        var late = Mover.standing(here("B", FIRST + HOLDS, true, 5), own, there);
        assertFalse(late.active());
        assertTrue(late.refuses());
    }

    @Test
    void whatCannotBeDoneIsRefusedBeforeTheFirstStep() throws MoveException {
        var services = List.of("bills", "mail");
        var sites = List.of("B", "C");
        TO_B.check("A", services, sites, List.of(new Wanted("mail", "C", LOAD)), 2_000_000);
        TO_B.check("A", services, sites, List.of(), Wanted.UNKNOWN);
        refused(MoveException.ToItself.class, "B", services, sites, List.of(), 2_000_000);
        refused(MoveException.UnknownSite.class, "A", services, List.of("C"), List.of(), 2_000_000);
        refused(MoveException.NoSuchService.class, "A", List.of("mail"), sites, List.of(), 2_000_000);
        refused(MoveException.OnTheMove.class, "A", services, sites, List.of(new Wanted("bills", "C", LOAD)),
                2_000_000);
        refused(MoveException.CannotFit.class, "A", services, sites, List.of(), 1_999_999);
    }

    private static void refused(Class<? extends MoveException> as, String me, List<String> services,
            List<String> sites, List<Wanted> others, long promises) {
        var refusal = assertThrows(as, () -> TO_B.check(me, services, sites, others, promises));
        assertEquals("bills", refusal.service());
        assertTrue(refusal.getMessage().contains("It is not begun"));
    }
}
