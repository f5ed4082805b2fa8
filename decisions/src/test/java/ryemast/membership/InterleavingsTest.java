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

/** Random words of several sources and of an operator, in random orders. */
class InterleavingsTest {

    private static final long MS = 1_000;
    private static final int BOXES = 7;
    private static final String[] SOURCES = {"consul/a", "consul/b", "discovery"};

    /** One thing that happens; those of one time may come in any order, but for words of one source. */
    private record Event(long at, String source, Listing listing, Map<String, String> drained, String heard) {

        void tell(Membership members, long now) {
            if (drained != null) {
                members.drain(drained);
            } else if (heard != null) {
                members.heard(now, heard);
            } else if (listing == null) {
                members.failed(now, source);
            } else {
                members.observe(now, listing);
            }
        }
    }

    private static Sighting sighting(Random random, String id) {
        var conditions = Condition.values();
        int draw = random.nextInt(12);
        var condition = draw < 7 ? Condition.PASSING : draw < 11 ? conditions[draw - 7] : Condition.GONE;
        int place = random.nextInt(20) == 0 ? random.nextInt(BOXES) : Integer.parseInt(id.substring(1));
        return new Sighting(id, "10.0.0." + place + ":80", condition, 0, 0, 0, 1,
                random.nextInt(4) == 0 ? 1 + random.nextInt(3) : 0, random.nextInt(3), 0, "");
    }

    private static List<Event> script(Random random) {
        var events = new ArrayList<Event>();
        var versions = new HashMap<String, Long>();
        long at = 1_000_000_000;
        for (int i = 0; i < 60; i++) {
            at += random.nextInt(3) == 0 ? 0 : random.nextInt(4_000) * MS;
            int draw = random.nextInt(20);
            if (draw == 0) {
                var drained = new LinkedHashMap<String, String>();
                for (int box = random.nextInt(3); box > 0; box--) {
                    drained.put("b" + random.nextInt(BOXES), "x");
                }
                events.add(new Event(at, "operator", null, drained, null));
            } else if (draw < 4) {
                events.add(new Event(at, "calls", null, null, "b" + random.nextInt(BOXES)));
            } else {
                var source = SOURCES[random.nextInt(SOURCES.length)];
                if (draw < 6) {
                    events.add(new Event(at, source, null, null, null));
                    continue;
                }
                long step = random.nextInt(10) == 0 ? -3 : random.nextInt(2);
                long version =
                        versions.merge(source, Math.max(1, step), (old, more) -> Math.max(1, old + step));
                var sightings = new ArrayList<Sighting>();
                boolean complete = random.nextInt(4) > 0;
                for (int box = 0; box < BOXES; box++) {
                    if (random.nextInt(complete ? 10 : 2) > 0) {
                        sightings.add(sighting(random, "b" + box));
                    }
                }
                Collections.shuffle(sightings, random);
                long age = random.nextInt(8) == 0 ? 20_000_000 : 0;
                events.add(new Event(at, source, new Listing(source, version, complete, age, sightings), null,
                        null));
            }
        }
        return events;
    }

    /** Plays a script with a look at each time that membership asks for, and at every {@code tick} beside. */
    private static Membership play(List<Event> events, long tick, Runnable[] afterEach) {
        var members = new Membership(Bounds.DEFAULT);
        members.authority("discovery");
        long now = events.get(0).at();
        for (var event : events) {
            now = pass(members, now, event.at(), tick);
            event.tell(members, now);
            members.settle(now);
            if (afterEach != null) {
                afterEach[0].run();
            }
        }
        pass(members, now, events.get(events.size() - 1).at() + 5_000_000, tick);
        return members;
    }

    private static long pass(Membership members, long from, long to, long tick) {
        long now = from;
        while (now < to) {
            now = Math.min(to, Math.min(members.nextDue(now), now + tick));
            members.settle(now);
        }
        return now;
    }

    private static Map<String, String> shown(Membership members) {
        var found = new TreeMap<String, String>();
        members.members()
                .forEach(each -> found.put(each.id(), each.info() + " " + each.address() + " " + each.why()
                + " " + each.words()));
        return found;
    }

    /** Words of one time in any order of their sources, and entries in any order. */
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
            // Each source's own words keep their order.
            var queues = new HashMap<String, ArrayList<Event>>();
            same.forEach(each -> queues.computeIfAbsent(each.source(), key -> new ArrayList<>()).add(each));
            order.forEach(each -> found.add(queues.get(each.source()).remove(0)));
            from = to;
        }
        return found;
    }

    @Property(seed = "11", tries = 400)
    void theOrderOfWordsOfOneTimeMakesNoDifference(@ForAll long seed) {
        var random = new Random(seed);
        var events = script(random);
        var one = shown(play(events, Long.MAX_VALUE / 4, null));
        for (int i = 0; i < 3; i++) {
            assertEquals(one, shown(play(shuffled(events, random), Long.MAX_VALUE / 4, null)));
        }
    }

    @Property(seed = "12", tries = 200)
    void looksThatNobodyAskedForChangeNothing(@ForAll long seed) {
        var events = script(new Random(seed));
        assertEquals(shown(play(events, Long.MAX_VALUE / 4, null)), shown(play(events, 130 * MS, null)));
    }

    @Property(seed = "13", tries = 300)
    void noDrainedBoxIsEverOffered(@ForAll long seed) {
        var events = script(new Random(seed));
        var members = new Membership(Bounds.DEFAULT);
        members.authority("discovery");
        var words = new HashMap<String, Map<String, Condition>>();
        var operators = new HashMap<String, String>();
        long now = events.get(0).at();
        for (var event : events) {
            now = pass(members, now, event.at(), Long.MAX_VALUE / 4);
            event.tell(members, now);
            members.settle(now);
            if (event.drained() != null) {
                operators.clear();
                operators.putAll(event.drained());
            } else if (event.listing() != null) {
                var said = words.computeIfAbsent(event.source(), key -> new HashMap<>());
                if (event.listing().complete()) {
                    said.clear();
                }
                // Of two entries for one box the stricter or later one counts; here each box has but one.
                event.listing().sightings().forEach(each -> said.put(each.id(), each.condition()));
            }
            for (var each : members.members()) {
                boolean drained = operators.containsKey(each.id()) || words.values().stream()
                        .anyMatch(said -> said.get(each.id()) == Condition.DRAINING);
                assertTrue(!drained || each.info().state() != WorkerState.READY, () -> each + " in " + words);
            }
        }
    }

    @Property(seed = "14", tries = 300)
    void silenceLeavesNobodyOutAndNoFindingLeavesNobodyLeft(@ForAll long seed) {
        var random = new Random(seed);
        var members = new Membership(Bounds.DEFAULT);
        long now = 1_000_000_000;
        long version = 1;
        var all = new ArrayList<Sighting>();
        int boxes = 1 + random.nextInt(BOXES);
        for (int i = 0; i < boxes; i++) {
            all.add(MembershipTest.box("b" + i, Condition.PASSING));
        }
        members.observe(now, new Listing("consul/a", version, true, 0, all));
        members.settle(now);
        for (int i = 0; i < 30; i++) {
            now = pass(members, now, now + random.nextInt(30_000) * MS, Long.MAX_VALUE / 4);
            if (random.nextInt(3) == 0) {
                long before = ready(members);
                members.failed(now, "consul/a");
                now = pass(members, now, now + 7_200_000_000L, Long.MAX_VALUE / 4);
                assertTrue(ready(members) >= before, "silence left somebody out");
            } else {
                var some = new ArrayList<Sighting>();
                all.forEach(each -> {
                    if (random.nextInt(3) > 0) {
                        some.add(each.as(random.nextBoolean() ? Condition.CRITICAL : Condition.PASSING, ""));
                    }
                });
                members.observe(now, new Listing("consul/a", ++version, true, 0, some));
                members.settle(now);
            }
            assertTrue(ready(members) >= 1, "nobody is left");
        }
    }

    private static long ready(Membership members) {
        return members.members().stream().filter(each -> each.info().state() == WorkerState.READY).count();
    }
}
