package pipitladder;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pipitladder.Dispatcher.Action;
import pipitladder.Dispatcher.AttemptEnded;
import pipitladder.Dispatcher.ClientGone;
import pipitladder.Dispatcher.Effect;
import pipitladder.Dispatcher.Event;
import pipitladder.Dispatcher.Fail;
import pipitladder.Dispatcher.Limits;
import pipitladder.Dispatcher.Outcome;
import pipitladder.Dispatcher.Refuse;
import pipitladder.Dispatcher.Request;
import pipitladder.Dispatcher.Send;
import ryemast.reservation.Grant;
import ryemast.reservation.ListedMember;
import ryemast.reservation.LedgerState;
import ryemast.reservation.MemberQuotas;
import ryemast.reservation.Reservation;
import ryemast.reservation.ReservingDispatcher;
import ryemast.reservation.Service;
import ryemast.reservation.AdmissionCounts;
import ryemast.reservation.LedgerSettings;

/**
 * The dispatcher that wraps another one for reservations: it changes nothing except which requests are
 * refused.
 */
class ReservingTest {

    private static final long S = 1_000_000;
    private static final Limits LIMITS = new Limits(4, true, true, false, false, true, 3 * S, 250_000);

    private final List<Action> inner = new ArrayList<>();
    private final List<Event> passed = new ArrayList<>();
    private final MemberQuotas parts = new MemberQuotas("a", LedgerSettings.withSettleTime(3 * S));
    private final ReservingDispatcher reserving = new ReservingDispatcher((now, event, out) -> {
        if (event instanceof Request request && request.jobClass() > 9) {
            throw new IllegalArgumentException("unknown class");
        }
        passed.add(event);
        inner.forEach(out);
        inner.clear();
    }, parts, LIMITS);
    private LedgerState page;
    private long now;

    private List<Action> deliver(Event event) {
        var actions = new ArrayList<Action>();
        reserving.handle(now, event, actions::add);
        return actions;
    }

    private List<Action> request(long id, int tenant, double seconds, Action... answers) {
        inner.addAll(List.of(answers));
        return deliver(new Request(id, 0, tenant, 1, 0, (long) (seconds * S), 10 * S));
    }

    /** A capped service of tenant 0 and an uncapped one of tenant 1, one core each; one core is free. */
    private void reserve() {
        var grants = new ArrayList<Grant>();
        for (int tenant = 0; tenant < 2; tenant++) {
            var service = new Service("service-" + tenant, tenant, Set.of(0));
            grants.add(new Grant(new Reservation(service, S, List.of(), 0, tenant == 0), 1, S));
        }
        page = new LedgerState(1, 4 * S, S, grants, List.of(), LedgerSettings.withSettleTime(3 * S));
        advanceTo(15 * S);
    }

    private void advanceTo(long until) {
        for (; now <= until; now += S) {
            parts.updateMembers(now, now, List.of(new ListedMember("a", Map.of())));
            parts.updateLedger(now, now, page);
        }
    }

    /**
     * Two decision modules with one seed, one of them wrapped: for any events they act alike at the same
     * time.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void withoutReservationsEveryEventAndActionIsPassedOn(long seed) {
        var fleet = new SimulatedFleet(8, true, seed, Effect.REPEATABLE, Effect.UNSAFE);
        var settings = SimulatedFleet.settings(true, List.of(SimulatedFleet.jobClass(Effect.REPEATABLE),
                SimulatedFleet.jobClass(Effect.UNSAFE)));
        var seen = new ArrayList<Event>();
        var twin = new Brain(settings, seed);
        var wrapped = new ReservingDispatcher((at, event, out) -> {
            seen.add(event);
            twin.handle(at, event, out);
        }, parts, LIMITS);
        var expected = new ArrayList<Event>();
        var alone = fleet.brain;
        fleet.receiver = (at, event, out) -> {
            expected.add(event);
            var actions = new ArrayList<Action>();
            alone.handle(at, event, actions::add);
            var same = new ArrayList<Action>();
            if (at % 3 == 0) {
                parts.updateLedger(at, at, LedgerState.EMPTY);
                parts.updateMembers(at, at, List.of(new ListedMember("a", Map.of()),
                        new ListedMember("b", null)));
            }
            wrapped.handle(at, event, same::add);
            assertEquals(actions, same);
            actions.forEach(out);
        };
        fleet.list();
        fleet.machines.get(0).resets = 0.5;
        fleet.load(30, 20 * S, 0, 400_000, 1);
        fleet.load(20, 20 * S, 1, 300_000, 1);
        fleet.advance(40 * S);
        assertEquals(expected, seen);
        assertTrue(expected.size() > 2000 && fleet.served > 300 && fleet.refused + fleet.failed > 0,
                "" + seed);
        assertTrue(wrapped.admissionCounts().isEmpty());
    }

    @Test
    void quotaIsUsedFirstThenFreeThenBorrowedCapacity() {
        reserve();
        assertEquals(List.of(new Send(1, "w", 0)), request(1, 0, 4, new Send(1, "w", 0)));
        assertEquals(List.of(new Refuse(2, 2 * S)), request(2, 0, 2), "a capped service, its quota used up");
        request(3, 1, 4);
        request(4, 1, 4);
        assertEquals(3, passed.size(), "an uncapped service, beyond its quota");
        assertEquals(List.of(new Refuse(5, 3 * S)), request(5, 1, 4));
        assertEquals(List.of(new Refuse(6, 3 * S)), request(6, 2, 9), "never later than the settings say");
        request(7, 2, 2);
        request(8, 2, 2);
        assertEquals(5, passed.size(), "borrowed from both services");
        assertEquals(List.of(new Refuse(9, 2 * S)), request(9, 2, 2));
        assertEquals(new AdmissionCounts(0, 0, 2, 2, 4 * S), reserving.admissionCounts().get(""));
        assertEquals(new AdmissionCounts(1, 1, 0, 1, 8 * S), reserving.admissionCounts().get("service-1"));
        advanceTo(20 * S);
        request(10, 0, 4);
        assertEquals(6, passed.size());
    }

    @Test
    void workIsOutstandingUntilTheAnswerAndTheLastAttemptsEnd() {
        reserve();
        request(1, 0, 1, new Send(1, "v", 0), new Send(1, "w", 0));
        request(2, 0, 1, new Refuse(2, 0));
        request(3, 0, 1);
        assertEquals(2 * S, reserving.admissionCounts().get("service-0").workOut());
        inner.add(new Fail(3));
        deliver(new AttemptEnded(1, 0, "v", Outcome.SUCCESS, true, null));
        assertEquals(S, reserving.admissionCounts().get("service-0").workOut());
        deliver(new AttemptEnded(1, 1, "w", Outcome.CANCELLED, true, null));
        assertEquals(0, reserving.admissionCounts().get("service-0").workOut());
        request(4, 0, 1);
        deliver(new ClientGone(4));
        assertEquals(0, reserving.admissionCounts().get("service-0").workOut());
        request(5, 0, 1);
        int before = passed.size();
        deliver(new ClientGone(5));
        assertEquals(before, passed.size(), "a refused request was never passed to the inner dispatcher");
        now++;
        deliver(new ClientGone(5));
        assertEquals(before + 1, passed.size());
    }

    @Test
    void requestsThatTheInnerDispatcherRejectsUseNoCapacity() {
        reserve();
        for (int i = 0; i < 20; i++) {
            assertThrows(IllegalArgumentException.class,
                    () -> deliver(new Request(1, 10, 2, 1, 0, 4 * S, 10 * S)));
        }
        request(1, 2, 4);
        assertEquals(1, passed.size());
        assertThrows(IllegalArgumentException.class, () -> reserving.handle(0, new Request(1, 10, 2, 1, 0, 0,
                S), inner::add));
    }
}
