package ryemast.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import pipitladder.Dispatcher.WorkerState;

/** Random reports of several sources and drains of an operator, in random orders. */
class MembershipOrderingTest {

    private static final long MS = 1_000;
    private static final int WORKERS = 7;
    private static final String[] SOURCES = {"consul/a", "consul/b", "discovery"};

    /** One event; events of one time may be processed in any order, except those of one source. */
    private record Event(long at, String source, SourceReport listing, Map<String, String> drained,
            String alive) {

        void apply(Membership members, long now) {
            if (drained != null) {
                members.drain(drained);
            } else if (alive != null) {
                members.recordAlive(now, alive);
            } else if (listing == null) {
                members.recordFailure(now, source);
            } else {
                members.observe(now, listing);
            }
        }
    }

    private static ListedWorker randomWorker(Random random, String id) {
        var conditions = HealthStatus.values();
        int draw = random.nextInt(12);
        var condition = draw < 7 ? HealthStatus.PASSING : draw < 11 ? conditions[draw - 7]
                : HealthStatus.GONE;
        int host = random.nextInt(20) == 0 ? random.nextInt(WORKERS) : Integer.parseInt(id.substring(1));
        return new ListedWorker(id, "10.0.0." + host + ":80", condition, 0, 0, 0, 1,
                random.nextInt(4) == 0 ? 1 + random.nextInt(3) : 0, random.nextInt(3), 0, "");
    }

    private static List<Event> randomEvents(Random random) {
        var events = new ArrayList<Event>();
        var versions = new HashMap<String, Long>();
        long at = 1_000_000_000;
        for (int i = 0; i < 60; i++) {
            at += random.nextInt(3) == 0 ? 0 : random.nextInt(4_000) * MS;
            int draw = random.nextInt(20);
            if (draw == 0) {
                var drained = new LinkedHashMap<String, String>();
                for (int count = random.nextInt(3); count > 0; count--) {
                    drained.put("b" + random.nextInt(WORKERS), "x");
                }
                events.add(new Event(at, "operator", null, drained, null));
            } else if (draw < 4) {
                events.add(new Event(at, "calls", null, null, "b" + random.nextInt(WORKERS)));
            } else {
                var source = SOURCES[random.nextInt(SOURCES.length)];
                if (draw < 6) {
                    events.add(new Event(at, source, null, null, null));
                    continue;
                }
                long step = random.nextInt(10) == 0 ? -3 : random.nextInt(2);
                long version =
                        versions.merge(source, Math.max(1, step), (old, more) -> Math.max(1, old + step));
                var sightings = new ArrayList<ListedWorker>();
                boolean complete = random.nextInt(4) > 0;
                for (int worker = 0; worker < WORKERS; worker++) {
                    if (random.nextInt(complete ? 10 : 2) > 0) {
                        sightings.add(randomWorker(random, "b" + worker));
                    }
                }
                Collections.shuffle(sightings, random);
                long age = random.nextInt(8) == 0 ? 20_000_000 : 0;
                events.add(new Event(at, source, new SourceReport(source, version, complete, age, sightings),
                        null,
                        null));
            }
        }
        return events;
    }

    /** Runs a scenario, updating whenever membership is due and additionally at every {@code tick}. */
    private static Membership run(List<Event> events, long tick, Runnable[] afterEach) {
        var members = new Membership(MembershipLimits.DEFAULT);
        members.addAuthority("discovery");
        long now = events.get(0).at();
        for (var event : events) {
            now = advance(members, now, event.at(), tick);
            event.apply(members, now);
            members.update(now);
            if (afterEach != null) {
                afterEach[0].run();
            }
        }
        advance(members, now, events.get(events.size() - 1).at() + 5_000_000, tick);
        return members;
    }

    private static long advance(Membership members, long from, long to, long tick) {
        long now = from;
        while (now < to) {
            now = Math.min(to, Math.min(members.nextDue(now), now + tick));
            members.update(now);
        }
        return now;
    }

    private static Map<String, String> states(Membership members) {
        var found = new TreeMap<String, String>();
        members.members()
                .forEach(each -> found.put(each.id(), each.info() + " " + each.address() + " " + each.reason()
                + " " + each.detail()));
        return found;
    }

    /** Reorders the events of one time that are from different sources. */
    private static List<Event> shuffled(List<Event> events, Random random) {
        var found = new ArrayList<Event>();
        for (int from = 0; from < events.size();) {
            int to = from;
            while (to < events.size() && events.get(to).at() == events.get(from).at()) {
                to++;
            }
            var same = new ArrayList<>(events.subList(from, to));
            var order = new ArrayList<>(same);
            Collections.shuffle(order, random);
            // The events of each source keep their order.
            var queues = new HashMap<String, ArrayList<Event>>();
            same.forEach(each -> queues.computeIfAbsent(each.source(), key -> new ArrayList<>()).add(each));
            order.forEach(each -> found.add(queues.get(each.source()).remove(0)));
            from = to;
        }
        return found;
    }

    @Property(seed = "11", tries = 400)
    void orderOfReportsAtOneTimeMakesNoDifference(@ForAll long seed) {
        var random = new Random(seed);
        var events = randomEvents(random);
        var expected = states(run(events, Long.MAX_VALUE / 4, null));
        for (int i = 0; i < 3; i++) {
            assertEquals(expected, states(run(shuffled(events, random), Long.MAX_VALUE / 4, null)));
        }
    }

    @Property(seed = "12", tries = 200)
    void additionalUpdatesChangeNothing(@ForAll long seed) {
        var events = randomEvents(new Random(seed));
        assertEquals(states(run(events, Long.MAX_VALUE / 4, null)), states(run(events, 130 * MS, null)));
    }

    @Property(seed = "13", tries = 300)
    void drainedWorkersAreNeverOffered(@ForAll long seed) {
        var events = randomEvents(new Random(seed));
        var members = new Membership(MembershipLimits.DEFAULT);
        members.addAuthority("discovery");
        var statuses = new HashMap<String, Map<String, HealthStatus>>();
        var operatorDrains = new HashMap<String, String>();
        long now = events.get(0).at();
        for (var event : events) {
            now = advance(members, now, event.at(), Long.MAX_VALUE / 4);
            event.apply(members, now);
            members.update(now);
            if (event.drained() != null) {
                operatorDrains.clear();
                operatorDrains.putAll(event.drained());
            } else if (event.listing() != null) {
                var reported = statuses.computeIfAbsent(event.source(), key -> new HashMap<>());
                if (event.listing().complete()) {
                    reported.clear();
                }
                // Of two entries for one worker the stricter or later one counts; here each has only one.
                event.listing().workers().forEach(each -> reported.put(each.id(), each.status()));
            }
            for (var each : members.members()) {
                boolean drained = operatorDrains.containsKey(each.id()) || statuses.values().stream()
                        .anyMatch(said -> said.get(each.id()) == HealthStatus.DRAINING);
                assertTrue(!drained || each.info().state() != WorkerState.READY,
                        () -> each + " in " + statuses);
            }
        }
    }

    @Property(seed = "14", tries = 300)
    void silentSourcesRemoveNoWorkerAndSomeWorkerAlwaysRemains(@ForAll long seed) {
        var random = new Random(seed);
        var members = new Membership(MembershipLimits.DEFAULT);
        long now = 1_000_000_000;
        long version = 1;
        var all = new ArrayList<ListedWorker>();
        int workers = 1 + random.nextInt(WORKERS);
        for (int i = 0; i < workers; i++) {
            all.add(MembershipTest.worker("b" + i, HealthStatus.PASSING));
        }
        members.observe(now, new SourceReport("consul/a", version, true, 0, all));
        members.update(now);
        for (int i = 0; i < 30; i++) {
            now = advance(members, now, now + random.nextInt(30_000) * MS, Long.MAX_VALUE / 4);
            if (random.nextInt(3) == 0) {
                long before = countReady(members);
                members.recordFailure(now, "consul/a");
                now = advance(members, now, now + 7_200_000_000L, Long.MAX_VALUE / 4);
                assertTrue(countReady(members) >= before, "a silent source removed a worker");
            } else {
                var some = new ArrayList<ListedWorker>();
                all.forEach(each -> {
                    if (random.nextInt(3) > 0) {
                        some.add(each.withStatus(random.nextBoolean() ? HealthStatus.CRITICAL
                                : HealthStatus.PASSING, ""));
                    }
                });
                members.observe(now, new SourceReport("consul/a", ++version, true, 0, some));
                members.update(now);
            }
            assertTrue(countReady(members) >= 1, "no worker remains");
        }
    }

    private static long countReady(Membership members) {
        return members.members().stream().filter(each -> each.info().state() == WorkerState.READY).count();
    }
}
