package ryemast.reservation;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;

/**
 * How one member's part of each reservation leans to where its clients are. Guarantees, beside even parts
 * that add up to at most one whole ({@link ryemast.fleet.choices.SettledMembers}), that the parts made of
 * them here do as well, without members agreeing on anything: whoever takes a part by what is wanted of it is
 * counted by everyone who takes one, with at least as much.
 *
 * <p>How: each member says with its heartbeat what is wanted of it. More than before counts at once with all
 * who read it, and with its own member when it has been listed there for twice the time to settle; less
 * counts with its own member from before it is written, and with others a time to settle after they read it.
 * These are the times of {@link ryemast.fleet.choices.SettledMembers}, for the same reason: nobody acts by a
 * list that is older (Gray and Cheriton's leases, 1989). With e the even part, a what the member goes by and
 * W that and what it counts of all others, the part is (e + 9a) / (1 + 9W): as nobody's W is less than the
 * sum of all a, the parts add up to at most 1.
 *
 * <p>A member that is off the list wants nothing, and is counted for a time to settle more. While anyone
 * listed does not say what is wanted of it, no part is larger than the even one, as that one goes by it.
 */
final class Leaning {

    /** All of a reservation; more makes no larger a claim, so that retries don't. */
    static final int WHOLE = 100;
    /**
     * What is wanted against what is even: of a reservation that is asked for whole a tenth stays even, for
     * clients that turn to another member, until that one has said so.
     */
    private static final double WEIGHT = 9;
    private static final long NEVER = Long.MAX_VALUE;

    /** What counts of one member: what it says, and for a while what it said. */
    private static final class Count {
        int says;
        int said;
        long until = Long.MIN_VALUE;

        int at(long now) {
            return now <= until ? Math.max(says, said) : says;
        }
    }

    /** One service's. */
    private static final class Line {
        final Map<String, Count> counts = new HashMap<>();
        int own;
        /** What it goes by from then on; as {@code own} where nothing is to grow. */
        int next;
        long nextAt;
        int sum;
        /** For how long the sum is right. */
        long sumUntil;
    }

    private final String self;
    private final long hold;
    private final long wait;
    private final Map<String, Line> lines = new HashMap<>();
    /** What this member's heartbeats say from now on, whichever of them is listed. */
    private Map<String, Integer> tells = Map.of();
    /** Until when no part is larger than the even one. */
    private long evenUntil = Long.MIN_VALUE;

    /**
     * @param hold  for how long what was said counts after less was read: the time to settle
     * @param wait  for how long more must have been listed until this member goes by it: twice that
     */
    Leaning(String self, long hold, long wait) {
        this.self = self;
        this.hold = hold;
        this.wait = wait;
    }

    /**
     * What this member's next heartbeat says. It goes by no more from now on: of a heartbeat that said less
     * and was soon followed by one that says more, it may never see the former listed, as others do.
     */
    void tells(long now, Map<String, Integer> wants) {
        tells = Map.copyOf(wants);
        lines.forEach((service, line) -> {
            int most = tells.getOrDefault(service, 0);
            line.own = Math.min(own(now, line), most);
            line.next = Math.max(line.own, Math.min(line.next, most));
        });
    }

    /** A list has come. */
    void seen(long now, Collection<Listed> listed) {
        boolean silent = false;
        var wants = new HashMap<String, Map<String, Integer>>();
        for (var each : listed) {
            silent |= each.wants() == null;
            if (each.wants() != null) {
                each.wants().forEach((service, want) -> wants.computeIfAbsent(service, key -> new HashMap<>())
                        .put(each.name(), Math.max(0, Math.min(WHOLE, want))));
            }
        }
        evenUntil = silent ? NEVER : evenUntil == NEVER ? now + hold : evenUntil;
        wants.keySet().forEach(service -> lines.computeIfAbsent(service, key -> new Line()));
        lines.forEach((service, line) -> {
            var its = wants.getOrDefault(service, Map.<String, Integer>of());
            seen(now, line, its);
            own(now, line, Math.min(its.getOrDefault(self, 0), tells.getOrDefault(service, 0)));
        });
        lines.values().removeIf(line -> line.counts.isEmpty());
    }

    private void seen(long now, Line line, Map<String, Integer> wants) {
        var names = new HashSet<>(line.counts.keySet());
        names.addAll(wants.keySet());
        for (var name : names) {
            var count = line.counts.computeIfAbsent(name, key -> new Count());
            int says = wants.getOrDefault(name, 0);
            if (says < count.says) {
                count.said = count.at(now);
                count.until = now + hold;
            }
            count.says = says;
        }
        line.counts.values().removeIf(count -> count.says == 0 && now > count.until);
        line.sumUntil = Long.MIN_VALUE;
    }

    private void own(long now, Line line, int says) {
        line.own = own(now, line);
        if (says <= line.own) {
            line.own = says;
        } else if (says > line.next || line.next <= line.own) {
            line.nextAt = now + wait;
        }
        line.next = says;
    }

    private static int own(long now, Line line) {
        return line.next > line.own && now >= line.nextAt ? line.next : line.own;
    }

    /** This member's part of a service's reservation; {@code even}: its even one, 0 if it has none now. */
    double part(String service, double even, long now) {
        var line = lines.get(service);
        if (line == null || even == 0) {
            return even;
        }
        // Of itself it counts what it goes by, not what it says: else a rise would cost it what it has.
        int own = own(now, line);
        double part = (even + WEIGHT * own / WHOLE) / (1 + WEIGHT * (others(now, line) + own) / WHOLE);
        return now <= evenUntil ? Math.min(even, part) : part;
    }

    private int others(long now, Line line) {
        if (now > line.sumUntil) {
            line.sum = 0;
            line.sumUntil = NEVER;
            line.counts.forEach((name, count) -> {
                line.sum += name.equals(self) ? 0 : count.at(now);
                if (now <= count.until) {
                    line.sumUntil = Math.min(line.sumUntil, count.until);
                }
            });
        }
        return line.sum;
    }
}
