package ryemast.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import pipitladder.Dispatcher.WorkerState;

/** One case for each thing that membership settles. */
class MembershipTest {

    private static final long S = 1_000_000;
    private static final String CONSUL = "consul/box";
    private final Membership members = new Membership(Bounds.DEFAULT);
    private final List<String> news = new ArrayList<>();
    private long now = 100 * S;
    private long version = 10;

    static Sighting box(String id, Condition condition) {
        return new Sighting(id, "10.0.0." + id.charAt(id.length() - 1) + ":80", condition, 0, 0, 0, 1, 0, 5,
                0, "");
    }

    private Change settle() {
        var change = members.settle(now);
        news.addAll(change.news());
        return change;
    }

    private Change list(Sighting... sightings) {
        members.observe(now, new Listing(CONSUL, ++version, true, 0, List.of(sightings)));
        return settle();
    }

    private void passTo(long time) {
        while (members.nextDue(now) <= time) {
            now = members.nextDue(now);
            settle();
        }
        now = time;
        settle();
    }

    private String ready() {
        return members.members().stream().filter(each -> each.info().state() == WorkerState.READY)
                .map(each -> each.id() + (each.info().share() < 1 ? "*" : "")).sorted()
                .reduce("", (one, other) -> one.isEmpty() ? other : one + " " + other);
    }

    private void fleet(int size) {
        var all = new ArrayList<Sighting>();
        for (int i = 0; i < size; i++) {
            all.add(box("b" + i, Condition.PASSING));
        }
        list(all.toArray(Sighting[]::new));
    }

    /** The fleet of five with these words on some; null: not listed. */
    private void five(Map<String, Condition> words) {
        var all = new ArrayList<Sighting>();
        for (int i = 0; i < 5; i++) {
            var word = words.getOrDefault("b" + i, Condition.PASSING);
            if (word != Condition.GONE) {
                all.add(box("b" + i, word));
            }
        }
        list(all.toArray(Sighting[]::new));
    }

    @Test
    void conditionsBecomeStatesWithTheirReasons() {
        list(box("b0", Condition.PASSING), box("b1", Condition.WARNING), box("b2", Condition.DRAINING),
                box("b3", Condition.CRITICAL), box("b4", Condition.PASSING));
        assertEquals("b0 b1* b4", ready());
        assertEquals(Why.DRAINING, members.member("b2").why());
        assertEquals(WorkerState.DRAINING, members.member("b3").info().state());
        assertEquals(100 * S, members.member("b3").since());
        now += S;
        assertTrue(list(box("b0", Condition.PASSING), box("b1", Condition.WARNING),
                box("b2", Condition.DRAINING),
                box("b3", Condition.CRITICAL), box("b4", Condition.PASSING)).isEmpty());
    }

    @Test
    void ordersAreHonouredHoweverMany() {
        fleet(5);
        five(Map.of("b0", Condition.DRAINING, "b1", Condition.DRAINING, "b2", Condition.DRAINING, "b3",
                Condition.DRAINING, "b4", Condition.DRAINING));
        assertEquals("", ready());
    }

    @Test
    void oneEmptyAnswerChangesNothingButTheMark() {
        fleet(5);
        list();
        assertEquals("b0 b1 b2 b3 b4", ready());
        assertEquals(5, members.sources().get(0).withheld());
        assertTrue(members.sources().get(0).suspect() > 0);
        assertEquals(Why.KEPT, members.member("b2").why());
        fleet(5);
        assertEquals(0, members.sources().get(0).suspect());
        assertEquals(Why.LISTED, members.member("b2").why());
    }

    @Test
    void aFewAreBelievedLostAndManyAreNot() {
        fleet(5);
        five(Map.of("b0", Condition.CRITICAL));
        assertEquals("b1 b2 b3 b4", ready());
        five(Map.of("b0", Condition.CRITICAL, "b1", Condition.CRITICAL, "b2", Condition.GONE));
        assertEquals("b1 b2 b3 b4", ready());
        assertEquals(Why.KEPT, members.member("b1").why());
        // One of the two orders them off after all.
        five(Map.of("b0", Condition.CRITICAL, "b1", Condition.DRAINING, "b2", Condition.GONE));
        assertEquals("b2 b3 b4", ready());
    }

    @Test
    void whatWasKeptIsBelievedLostOnceNothingIsHeardOfIt() {
        fleet(3);
        list(box("b0", Condition.PASSING));
        assertEquals("b0 b1 b2", ready());
        for (int i = 0; i < 58; i++) {
            now += S;
            members.heard(now, "b1");
            members.unchanged(now, CONSUL);
        }
        passTo(now + 5 * S);
        assertEquals("b0 b1", ready());
        passTo(now + 20 * S);
        assertEquals("b0", ready());
        assertTrue(news.stream().anyMatch(line -> line.contains("b2 was kept for 60 s")), news::toString);
    }

    @Test
    void aSourceThatFailsTakesNothingAwayHoweverLong() {
        fleet(2);
        list(box("b0", Condition.CRITICAL), box("b1", Condition.CRITICAL));
        members.failed(now, CONSUL);
        passTo(now + 3600 * S);
        assertEquals("b0 b1", ready());
    }

    @Test
    void aSecondLookConfirmsThatWorkersAreOff() {
        fleet(5);
        list(box("b0", Condition.PASSING));
        members.confirmGone(now, CONSUL, Set.of("b0", "b4"));
        settle();
        assertEquals("b0 b4", ready());
        list();
        members.confirmGone(now, CONSUL, Set.of());
        settle();
        assertEquals("b4", ready(), "the last one is never given up on a catalogue's word");
    }

    @Test
    void aSourceThatWentBackMayOnlyTakeWorkAway() {
        five(Map.of("b4", Condition.DRAINING, "b3", Condition.GONE));
        assertEquals("b0 b1 b2", ready());
        version = 2;
        five(Map.of("b0", Condition.DRAINING, "b2", Condition.GONE));
        assertEquals("b1 b2", ready(), "neither is b3 back, nor b4 let go, nor b2 lost");
        passTo(now + 9 * S);
        assertEquals("b1 b2", ready());
        passTo(now + 2 * S);
        assertEquals("b1 b3 b4", ready());
    }

    @Test
    void whatASourceKnewLongAgoMayOnlyTakeWorkAway() {
        five(Map.of("b4", Condition.DRAINING));
        members.observe(now, new Listing(CONSUL, ++version, true, 30 * S,
                List.of(box("b0", Condition.DRAINING), box("b4", Condition.PASSING))));
        settle();
        assertEquals("b1 b2 b3", ready());
    }

    @Test
    void aBoxThatFlapsKeepsASmallShareUntilItHasBeenSteady() {
        fleet(5);
        for (int i = 0; i < 6; i++) {
            five(Map.of("b0", Condition.CRITICAL));
            passTo(now + S);
            assertEquals("b1 b2 b3 b4", ready());
            five(Map.of());
            passTo(now + S);
            assertEquals(i < 2 ? "b0 b1 b2 b3 b4" : "b0* b1 b2 b3 b4", ready(), "after fall " + i);
        }
        assertEquals(Why.HELD, members.member("b0").why());
        passTo(now + 21 * S);
        assertEquals("b0 b1 b2 b3 b4", ready());
    }

    @Test
    void aMaintenanceIsNoFlap() {
        fleet(5);
        for (int i = 0; i < 10; i++) {
            five(Map.of("b0", Condition.DRAINING));
            five(Map.of());
        }
        assertEquals("b0 b1 b2 b3 b4", ready());
    }

    @Test
    void anOperatorsDrainLiesOverAllSources() {
        fleet(2);
        members.drain(Map.of("b0", "new disk", "b9", ""));
        settle();
        assertEquals("b1", ready());
        assertEquals("new disk", members.member("b0").words());
        fleet(3);
        assertEquals("b1 b2", ready());
        members.drain(Map.of());
        settle();
        assertEquals("b0 b1 b2", ready());
    }

    @Test
    void anAuthorityIsBelievedAtOnce() {
        members.authority("discovery");
        var all = List.of(box("b0", Condition.PASSING), box("b1", Condition.PASSING));
        members.observe(now, new Listing("discovery", 5, true, 0, all));
        settle();
        assertEquals("b0 b1", ready());
        members.observe(now, new Listing("discovery", 3, true, 0, List.of()));
        settle();
        assertEquals("", ready());
        assertEquals(0, members.member("b0").info().startedAt());
    }

    @Test
    void anOrderOfAnySourceCounts() {
        fleet(2);
        members.observe(now, new Listing("other", 1, true, 0, List.of(box("b0", Condition.DRAINING))));
        settle();
        assertEquals("b1", ready());
        members.observe(now, new Listing("other", 2, true, 0, List.of()));
        settle();
        assertEquals("b0 b1", ready(), "one that lists it no more does not speak for it");
    }

    @Test
    void twoOfOneAddressAreOneProcess() {
        var old = new Sighting("old", "10.0.0.1:80", Condition.PASSING, 0, 0, 0, 1, 0, 5, 0, "");
        var young = new Sighting("young", "10.0.0.1:80", Condition.PASSING, 0, 0, 0, 1, 0, 9, 0, "");
        list(old, young);
        assertEquals("young", ready());
        assertEquals("young is at 10.0.0.1:80", members.member("old").words());
        list(old, young.as(Condition.DRAINING, ""));
        assertEquals("", ready(), "the old entry is the drained process");
        list(old);
        assertEquals("old", ready());
    }

    @Test
    void ofTwoEntriesForOneWorkerTheLaterCountsAndElseTheStricter() {
        var late = new Sighting("b0", "10.0.0.9:80", Condition.WARNING, 0, 0, 0, 1, 0, 9, 0.25, "");
        list(box("b0", Condition.PASSING), late, box("b1", Condition.PASSING), box("b1", Condition.DRAINING));
        assertEquals("10.0.0.9:80", members.member("b0").address());
        assertEquals(0.25, members.member("b0").info().share());
        assertEquals("b0*", ready());
    }

    @Test
    void aProcessThatBeganIsColdThoughItsSourceDoesNotSayWhen() {
        fleet(4);
        assertEquals(0, members.member("b0").info().startedAt(), "known since the beginning");
        now += S;
        fleet(5);
        assertEquals(now, members.member("b4").info().startedAt(), "new on the list");
        five(Map.of("b1", Condition.CRITICAL));
        now += S;
        five(Map.of());
        assertEquals(0, members.member("b1").info().startedAt(), "its check failed and passes");
        five(Map.of("b1", Condition.CRITICAL));
        members.unreachable(now, "b1");
        now += S;
        five(Map.of());
        assertEquals(now, members.member("b1").info().startedAt(), "nobody was there meanwhile");
        now += S;
        var anew = new Sighting("b2", "10.0.0.7:80", Condition.PASSING, 0, 0, 0, 1, 0, 77, 0, "");
        list(box("b0", Condition.PASSING), box("b1", Condition.PASSING), anew, box("b3", Condition.PASSING),
                box("b4", Condition.PASSING));
        assertEquals(now, members.member("b2").info().startedAt(), "registered anew, elsewhere");
        assertEquals("10.0.0.7:80", members.member("b2").address());
    }

    @Test
    void booksOfTheGoneAreForgottenInTheEnd() {
        fleet(5);
        five(Map.of("b0", Condition.GONE));
        assertEquals(WorkerState.GONE, members.member("b0").info().state());
        passTo(now + 599 * S);
        assertEquals(5, members.members().size());
        now += 2 * S;
        assertEquals(List.of("b0"), settle().forgotten());
        assertNull(members.member("b0"));
    }

    @Test
    void nonsenseIsRefused() {
        assertThrows(IllegalArgumentException.class,
                () -> new Sighting("", "a:1", Condition.PASSING, 0, 0, 0, 1, 0, 0, 0,
                ""));
        assertThrows(IllegalArgumentException.class,
                () -> new Sighting("b", null, Condition.PASSING, 0, 0, 0, 1, 0, 0, 0,
                ""));
        assertThrows(IllegalArgumentException.class,
                () -> new Sighting("b", "a:1", Condition.PASSING, 0, 0, 0, 0, 0, 0,
                0, ""));
        assertFalse(members.alive("nobody", now));
    }
}
